Feature: Callers get complete answers to their own requests, and true outcomes
  Points 5, 6 and 7 of section 1.1 of the design, at one entry instance.

  # Guards against an answer to another request, a truncated answer that is
  # taken for a complete one, and bytes left on a connection that are read as
  # the answer to the next request.
  Scenario: Answers are late, crossed, truncated, duplicated or not waited for
    Given the recorded trace "faulty_answers"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each caller got the whole answer to its own request

  # Guards against "not run" for a request that ran, and against a retry of a
  # request that may have run.
  Scenario: Requests fail before and after they were written
    Given the recorded trace "truthful_refusals"
    When it is replayed
    Then each step has its stated outcome
    And it holds that no request that ran was reported as not run
    And it holds that each order ran at most once

  # Guards against a second run of an order that its caller resends.
  Scenario: An order is sent again after lost and stored answers
    Given the recorded trace "orders_sent_again"
    When it is replayed
    Then each step has its stated outcome
    And it holds that each order ran at most once
