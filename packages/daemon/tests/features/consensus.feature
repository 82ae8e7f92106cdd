Feature: Control instances stay consistent through long partitions
  Point 3 of section 1.1 of the design.

  # Guards against a partitioned leader that answers reads from its stale state
  # or accepts commands, and against a disturbance when it returns.
  Scenario: The leader is cut off silently for two minutes
    Given the recorded trace "leader_cut_off"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or applied twice

  # Guards against a returning member whose later term deposes the leader.
  Scenario: A follower is cut off silently for two minutes
    Given the recorded trace "follower_cut_off"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or applied twice
