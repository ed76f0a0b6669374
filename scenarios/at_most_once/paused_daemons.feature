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

  @pause
  Scenario: a daemon sleeps over its requests' deadlines
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 1 s
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 300 ms without an answer
    And 60 amendment requests arrive over 3 s
    And daemon 1 pauses for 3 s after 1 s
    And daemon 2 pauses for 3 s and looks at its alarms first after 1500 ms
    And 12 s pass
    Then no stage began after its request's deadline
    And no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

  @pause @store-down
  Scenario: daemons pause while the store is slow
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 4 s
    And the table takes 150 ms for each call
    When 80 booking confirmations arrive over 4 s, each retried at another daemon after 400 ms without an answer
    And daemon 1 pauses for 900 ms after 1 s
    And daemon 2 pauses for 700 ms and looks at its alarms first after 1200 ms
    And daemon 3 pauses for 2 s after 2 s
    And 14 s pass
    Then no request ran twice
    And no stage began after its request's deadline
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission
