Feature: Non-repeatable operations run at most once in a zone
  Point 7 of section 1.1 of the design, across instances, moves and restarts.

  # Guards against a second run when a resend reaches another instance after
  # the loss of the first one or of the leader, or after a move of the key.
  Scenario: Orders are sent again through other instances after losses
    Given the recorded trace "orders_across_instances"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each order ran at most once
