Feature: A request that crashes upstreams is quarantined
  Point 9 of section 1.1 of the design.

  # Guards against a crashing request that other instances still run, one whose
  # quarantine never ends, and a quarantine of requests that only ran beside it.
  Scenario: A request crashes two upstreams alone, another shares three crashes
    Given the recorded trace "crashing_request"
    When it is replayed
    Then each step has its stated outcome
