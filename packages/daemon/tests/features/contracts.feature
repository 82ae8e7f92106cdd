Feature: Accepted contracts are in force everywhere and never revert
  Points 4 and 13 of section 1.1 of the design.

  # Guards against a contract that reaches only some instances, an older
  # contract that comes into force again, and full state transfers where a
  # delta is enough.
  Scenario: Contracts change while a zone is cut off and an instance restarts
    Given the recorded trace "contracts_in_force"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no accepted contract is lost or reverted

  # Guards against an operator who overwrites a concurrent change of another
  # one, and against a command that is applied twice when it is resent.
  Scenario: Operators race, send again and lose answers
    Given the recorded trace "operators_race"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no accepted contract is lost or reverted
