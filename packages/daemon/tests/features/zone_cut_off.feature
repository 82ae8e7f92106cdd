Feature: A partitioned zone serves the keys that it still owns
  Point 14 of section 1.1 of the design. Keys with `zone_loss: hold` stay with
  the zone; keys with `zone_loss: lapse` move to another zone after the lease.

  # Guards against two zones that serve one key, keys that no zone serves,
  # contracts that are lost when the zone rejoins, and a burst of moves then.
  Scenario: A zone is cut off for ten minutes and rejoins
    Given the recorded trace "zone_cut_off"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no request ran in a zone that does not own its key
    And it holds that all refusals in the cut-off zone say that nothing ran
    And it holds that no accepted contract is lost or reverted
    And it holds that no more keys moved in a second than the stated rate
