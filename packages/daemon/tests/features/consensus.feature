Feature: Control instances agree, also after long partitions
  Point 3 of section 1.1 of the design.

  # Guards against a leader behind a silent partition that answers reads from
  # its old state or accepts commands, and against its return.
  Scenario: The leader is cut off silently for two minutes
    Given the recorded trace "leader_cut_off"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or doubled

  # Guards against a returning member whose later term deposes the leader.
  Scenario: A follower is cut off silently for two minutes
    Given the recorded trace "follower_cut_off"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or doubled
