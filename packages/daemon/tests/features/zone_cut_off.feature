Feature: A zone that is cut off serves what it can
  Point 14 of section 1.1 of the design. Keys with `zone_loss: hold` stay with
  the zone; keys with `zone_loss: lapse` move to another zone after the lease.

  # Guards against two zones that serve one key, keys lost on both sides,
  # contracts lost at the return, and a storm of moves after it.
  Scenario: A zone is cut off for ten minutes and rejoins
    Given the recorded trace "zone_cut_off"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no request ran in a zone that does not own its key
    And it holds that all refusals inside say that nothing ran
    And it holds that no accepted contract is lost or reverted
    And it holds that no more keys moved in a second than the stated rate
