Feature: A non-idempotent request runs at most once, though a paused daemon wakes with old beliefs

  @pause
  Scenario: a daemon pauses between its claim and its call
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 10 s
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 500 ms without an answer
    And daemon 1 pauses for 4 s after 1 s
    And 15 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @pause @answer-lost
  Scenario: a daemon pauses while the store loses answers
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 10 s
    And the table loses the answer of every 3rd write
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 500 ms without an answer
    And daemon 1 pauses for 4 s after 1 s
    And daemon 2 pauses for 3 s after 1500 ms
    And 15 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran
