Feature: A caller receives the whole answer to its own request, also when it asks again

  Scenario: a booking that was answered is asked for again at another daemon
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 40 booking confirmations arrive over 3 s, each asked of another daemon again 500 ms after its answer
    And 8 s pass
    Then every answer that was asked for again was given again
    And no request ran twice
    And no answer was foreign, cut or doubled

  @answer-lost
  Scenario: writes lose their answers and callers ask again
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table loses the answer of every 2nd write
    When 40 booking confirmations arrive over 3 s, each asked of another daemon again 1 s after its answer
    And 8 s pass
    Then every answer that was asked for again was given again
    And no request ran twice

  @store-down
  Scenario: the store hangs for a while and callers ask again once it is back
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 8 s
    When 20 booking confirmations arrive over 2 s, each asked of another daemon again 5 s after its answer
    And the table hangs for 2 s after 1900 ms
    And 14 s pass
    Then no request ran twice
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission

  @process-dies
  Scenario: the daemon that answered has died when its caller asks again
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 20 booking confirmations arrive over 2 s, each asked of another daemon again 2 s after its answer
    And daemon 1 dies after 3 s
    And 10 s pass
    Then no request ran twice
    And every answer that was asked for again was given again

  @pause @stage-fails
  Scenario: a daemon pauses in the middle of answers that come out of order
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine sends records out of order
    When 60 spread plans arrive over 3 s, each retried at another daemon after 1 s without an answer
    And daemon 1 pauses for 2 s after 1 s
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 90%

  @operators-race
  Scenario: operators race and drain while answers come out of order
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine sends records out of order
    When 60 spread plans arrive over 3 s
    And operators apply different changes at daemon 1 and daemon 2 after 1 s
    And an operator drains engine-2 at daemon 3 after 1 s
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 100%

  @burst
  Scenario: a burst of answers that come out of order
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine sends records out of order
    And every reranker sends records out of order
    When 30 spread plans arrive over 3 s
    And 250 spread plans arrive over 1 s after 3 s
    And 12 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
