Feature: A non-idempotent request runs at most once, though daemons die

  Scenario: daemons die while bookings are under way
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s from patient callers
    And daemon 1 dies after 700 ms
    And daemon 1 starts anew after 1500 ms
    And daemon 2 dies after 2100 ms
    And 12 s pass
    Then no request ran twice
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  Scenario: a daemon dies with the store
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s from patient callers
    And daemon 1 dies after 700 ms
    And the table hangs for 2 s after 600 ms
    And 12 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  Scenario: a daemon that minted keys dies and starts anew
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 bound booking confirmations arrive over 3 s from patient callers
    And daemon 1 dies after 700 ms
    And daemon 1 starts anew after 800 ms
    And 12 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran
