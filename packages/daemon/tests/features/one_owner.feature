Feature: A key has one owner at any time
  Point 1 of section 1.1 of the design. Owners are taken from the requests that
  the upstreams recorded, not from the state of the instances.

  # Guards against two upstreams that run requests of one key at the same time,
  # and against a request under an older grant after one under a newer grant.
  Scenario: Instances and upstreams pause, restart and are cut off under load
    Given the recorded trace "one_owner"
    When it is replayed
    Then it holds that each key had one owner at any time
    And it holds that keys moved
    And each step has its stated outcome

  # Guards against instances that resume after a pause and send requests under
  # expired assignments, to upstreams that do not check fences.
  Scenario: Instances pause while keys move between upstreams without fences
    Given the recorded trace "one_owner_unfenced"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each key had one owner at any time
    And it holds that keys moved
