Feature: Acknowledged commands survive the loss of disks and processes
  Point 2 of section 1.1 of the design. Commands stand for contracts,
  assignments and configuration: all are entries of the control group's log.

  # Guards against members with empty disks that complete a majority without the
  # acknowledged commands, and against a repair that ends before the data is on
  # enough disks to survive the loss of a second member.
  Scenario: A disk is lost, and a second one right after the repair
    Given the recorded trace "disks_lost"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or applied twice

  # Guards against commands that are acknowledged before they are on disk.
  Scenario: All processes are lost at once, twice
    Given the recorded trace "all_processes_lost"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or applied twice

  # Guards against a member that acknowledges or votes after its disk failed.
  Scenario: A write fails in part, and another disk fills up
    Given the recorded trace "writes_fail"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no acknowledged command is lost or applied twice

  # Guards against a member that cannot catch up once entries are compacted.
  Scenario: A member restarts after hundreds of changes
    Given the recorded trace "restart_after_changes"
    When it is replayed
    Then each step has its stated outcome
    And it holds that a snapshot was used to catch up
    And it holds that no acknowledged command is lost or applied twice
