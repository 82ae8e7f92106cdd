Feature: A graceful stop interrupts no request
  Point 8 of section 1.1 of the design.

  # Guards against new requests for a draining upstream, and against requests
  # that are aborted when their keys move.
  Scenario: An upstream leaves under load with long requests in flight
    Given the recorded trace "upstream_leaves"
    When it is replayed
    Then each step has its stated outcome
    And it holds that a draining upstream got no new requests after 3 s
    And it holds that no request was interrupted
    And it holds that each key had one owner at any time

  # Guards against answers and orders that the stop of an instance aborts.
  Scenario: An entry instance stops while requests are in flight
    Given the recorded trace "entry_stops"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each caller got the whole answer to its own request
