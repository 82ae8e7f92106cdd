Feature: A key has one owner at any time
  Point 1 of section 1.1 of the design. Owners are compared as the upstreams
  recorded the runs of requests, not as the instances believe.

  # Guards against two upstreams that run requests of one key at a time, and
  # against an older grant that runs after a newer one.
  Scenario: Instances and upstreams pause, restart and are cut off under load
    Given the recorded trace "one_owner"
    When it is replayed
    Then it holds that each key had one owner at any time
    And it holds that keys moved
    And each step has its stated outcome

  # Guards against instances that resume after a pause and write requests by
  # assignments that ended meanwhile, to upstreams that check nothing.
  Scenario: Instances pause while keys move between upstreams without fences
    Given the recorded trace "one_owner_unfenced"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each key had one owner at any time
    And it holds that keys moved
