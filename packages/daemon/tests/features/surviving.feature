Feature: What was acknowledged survives losses
  Point 2 of section 1.1 of the design. Commands stand for contracts,
  assignments and configuration: all are entries of the control group's log.

  # Guards against a minority of empty disks that helps to form a majority
  # without acknowledged commands, and against a repair that leaves data on too
  # few disks when a second member is lost right after it.
  Scenario: A disk is lost, and a second one right after the repair
    Given the recorded trace "disks_lost"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or doubled

  # Guards against commands acknowledged before they were synced.
  Scenario: All processes are lost at once, twice
    Given the recorded trace "all_processes_lost"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or doubled

  # Guards against a member that acknowledges or votes on a disk that failed.
  Scenario: A write fails in part, and another disk fills up
    Given the recorded trace "writes_fail"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or doubled

  # Guards against a member that cannot return once entries were compacted.
  Scenario: A member restarts after hundreds of changes
    Given the recorded trace "restart_after_changes"
    When it is replayed
    Then each step has its stated outcome
    And it holds that a snapshot was used to catch up
    And it holds that no acknowledged command is lost or doubled
