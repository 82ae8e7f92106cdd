Feature: Leaving interrupts nothing
  Point 8 of section 1.1 of the design.

  # Guards against new work for an upstream that is leaving, and against
  # requests cut off by the move of their keys.
  Scenario: An upstream leaves under load with long requests in flight
    Given the recorded trace "upstream_leaves"
    When it is replayed
    Then each step has its stated outcome
    And it holds that a leaving upstream got no new work after 3 s
    And it holds that no request was interrupted
    And it holds that each key had one owner at any time

  # Guards against answers and orders cut off by the stop of an instance.
  Scenario: An entry instance stops while requests are in flight
    Given the recorded trace "entry_stops"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each caller got the whole answer to its own request
