Feature: A non-idempotent request runs at most once, though it is delivered twice

  Scenario: the same booking reaches two daemons at once
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 30 booking confirmations arrive over 2 s, each sent to two daemons at once
    And 8 s pass
    Then no request ran twice
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  Scenario: the same booking reaches one daemon twice
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 30 booking confirmations arrive over 2 s, each sent twice at once to one daemon
    And 30 bound booking confirmations arrive over 2 s, each sent twice at once to one daemon
    And 8 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And attainment is at least 100%

  Scenario: the same amendment reaches two daemons at once
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 30 amendment requests arrive over 2 s, each sent to two daemons at once
    And 8 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @store-down
  Scenario: the same booking reaches two daemons at once and the store is slow
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table takes 300 ms for each call
    When 30 booking confirmations arrive over 2 s, each sent to two daemons at once
    And 8 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran
    And attainment is at least 90%
