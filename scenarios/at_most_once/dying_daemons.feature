Feature: A non-idempotent request runs at most once, though daemons die

  @process-dies
  Scenario: daemons die while bookings are under way
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every booking is slower by a factor of 10
    When 60 booking confirmations arrive over 3 s from patient callers
    And daemon 1 dies after 700 ms
    And daemon 1 starts anew after 1500 ms
    And daemon 2 dies after 2100 ms
    And 12 s pass
    Then no request ran twice
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @process-dies @store-down
  Scenario: a daemon dies with the store
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every booking is slower by a factor of 10
    When 60 booking confirmations arrive over 3 s from patient callers
    And daemon 1 dies after 700 ms
    And the table hangs for 2 s after 600 ms
    And 12 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @process-dies
  Scenario: a daemon that minted keys dies and starts anew
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every booking is slower by a factor of 10
    When 60 bound booking confirmations arrive over 3 s from patient callers
    And daemon 1 dies after 700 ms
    And daemon 1 starts anew after 800 ms
    And 12 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @burst @process-dies
  Scenario: a burst of bookings and a daemon that dies in it
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every booking is slower by a factor of 10
    When 30 booking confirmations arrive over 3 s from patient callers
    And 200 booking confirmations arrive over 1 s after 3 s
    And daemon 1 dies after 3500 ms
    And 12 s pass
    Then no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

  @store-down
  Scenario: the store is down for long and comes back
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 100 booking confirmations arrive over 10 s, each retried at another daemon after 500 ms without an answer
    And the table hangs for 5 s after 2 s
    And 18 s pass
    Then no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

  @operators-race
  Scenario: operators race and stop a daemon while bookings are retried
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 200 ms without an answer
    And operators apply different changes at daemon 1 and daemon 2 after 1 s
    And daemon 1 is stopped after 1 s
    And an operator drains booking-1 at daemon 2 after 1500 ms
    And 12 s pass
    Then no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

  @network-cut @store-down
  Scenario: a daemon is cut off from the store and from its peers while it holds claims
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 8 s
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 250 ms without an answer
    And daemon 1 is cut off from table for 3 s after 1 s
    And daemon 1 is cut off from the other daemons for 4 s after 1 s
    And 15 s pass
    Then no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission
