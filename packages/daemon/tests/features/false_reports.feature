Feature: False load reports of an upstream have bounded effect
  Point 12 of section 1.1 of the design. Unproved: the scenario passes also with
  the bounds of reports switched off; see docs/proofs.md.

  # Guards against an upstream that loses all its keys, or attracts all keys, by
  # a reported load that differs from what the entry instances observe.
  Scenario: One upstream reports far too much, the other one nothing
    Given the recorded trace "false_reports"
    When it is replayed
    Then each step has its stated outcome
