Feature: Dead connections and paused processes are recognized as such
  Points 10 and 11 of section 1.1 of the design.

  # Guards against an upstream that is taken for crashed, or an order that runs
  # twice, because its existing connections are dead while new ones work.
  Scenario: Connections to an upstream go silent
    Given the recorded trace "silent_connections"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no crash of an upstream was reported
    And it holds that each order ran at most once

  # Guards against one order with an unknown outcome for each idle connection
  # that is dead: after the first order without an answer, all idle connections
  # must be suspected.
  Scenario: Only orders use connections that went silent
    Given the recorded trace "silent_connections_orders_only"
    When it is replayed
    Then each step has its stated outcome

  # Guards against keys that move because the path to one instance is broken.
  Scenario: One instance is cut off while upstreams reach the others
    Given the recorded trace "silent_path"
    When it is replayed
    Then each step has its stated outcome

  # Guards against grants, leases and requests from before a pause that are
  # still used after it.
  Scenario: An upstream and an instance freeze and return, twice
    Given the recorded trace "frozen_and_back"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each key had one owner at any time
