Feature: False reports of upstreams do no harm
  Point 12 of section 1.1 of the design. Unproved: the scenario passes also with
  the bounds of reports switched off; see docs/proofs.md.

  # Guards against an upstream that drives its keys away, or draws all keys to
  # it, by reporting a load that callers do not see.
  Scenario: One upstream reports far too much, the other one nothing
    Given the recorded trace "false_reports"
    When it is replayed
    Then each step has its stated outcome
