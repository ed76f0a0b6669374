Feature: Every planned stop is a graceful shutdown

  Scenario: a daemon is stopped under load
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s from patient callers
    And 30 booking confirmations arrive over 3 s from patient callers
    And daemon 1 is stopped after 1 s
    And 10 s pass
    Then the planned stops cut off nothing
    And no answer was foreign, cut or doubled
    And no request ran twice
    And no refusal said not_run of a request that ran
    And attainment is at least 100%

  Scenario: every daemon is stopped and started, one after the other
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 240 spread plans arrive over 16 s from patient callers
    And 120 booking confirmations arrive over 16 s from patient callers
    And daemon 1 is stopped and starts anew once it has ended after 1 s
    And daemon 2 is stopped and starts anew once it has ended after 6 s
    And daemon 3 is stopped and starts anew once it has ended after 11 s
    And 22 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And no answer was foreign, cut or doubled
    And no refusal said not_run of a request that ran
    And attainment is at least 100%

  @stage-fails
  Scenario: a daemon is stopped while stages are slow
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine is slower by a factor of 20
    And callers have a deadline of 10 s
    When 30 spread plans arrive over 1 s from patient callers
    And daemon 1 is stopped after 500 ms
    And 14 s pass
    Then the planned stops cut off nothing
    And every caller has exactly one final answer for each submission
    And no answer was foreign, cut or doubled

  @store-down
  Scenario: a daemon is stopped while the store hangs
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s from patient callers
    And the table hangs for 3 s after 900 ms
    And daemon 1 is stopped after 1 s
    And 14 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

  @answer-lost
  Scenario: a daemon is stopped while the store loses answers
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table loses the answer of every 2nd write
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 600 ms without an answer
    And daemon 1 is stopped after 1 s
    And 12 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

  @process-dies @stage-fails
  Scenario: a daemon is stopped while an endpoint dies
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s from patient callers
    And 30 booking confirmations arrive over 3 s from patient callers
    And daemon 1 is stopped after 1 s
    And engine-1 dies after 1050 ms
    And booking-1 dies after 1050 ms
    And 10 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @network-cut
  Scenario: a daemon is stopped while its peers are silent
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s from patient callers
    And daemon 1 is cut off from the other daemons for 4 s after 500 ms
    And daemon 1 is stopped after 1 s
    And 10 s pass
    Then the planned stops cut off nothing
    And attainment is at least 100%

  @pause
  Scenario: a daemon is stopped and pauses on the way
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 8 s
    When 60 spread plans arrive over 3 s
    And daemon 1 is stopped after 1 s
    And daemon 1 pauses for 2 s after 1100 ms
    And 12 s pass
    Then the planned stops cut off nothing
    And every caller has exactly one final answer for each submission

  @operators-race
  Scenario: an operator drains a daemon
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s from patient callers
    And 30 booking confirmations arrive over 3 s from patient callers
    And an operator drains daemon 1 after 1 s
    And daemon 1 is stopped after 4 s
    And 10 s pass
    Then daemon 1 took no request from 2 s to 10 s
    And the planned stops cut off nothing
    And no request ran twice
    And no answer was foreign, cut or doubled
    And attainment is at least 100%

  @burst @operators-race
  Scenario: two daemons are stopped in a burst
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 30 spread plans arrive over 3 s
    And 150 spread plans arrive over 1 s from patient callers after 3 s
    And 60 booking confirmations arrive over 1 s from patient callers after 3 s
    And daemon 1 is stopped after 3500 ms
    And daemon 2 is stopped after 3700 ms
    And 14 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

  @process-dies
  Scenario: another daemon dies while one is stopped
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s from patient callers
    And 40 booking confirmations arrive over 3 s from patient callers
    And daemon 1 is stopped after 1 s
    And daemon 2 dies after 1050 ms
    And 12 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @silent-connections
  Scenario: open connections go silent while a daemon is stopped
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s from patient callers
    And 40 booking confirmations arrive over 3 s from patient callers
    And daemon 1 is stopped after 1 s
    And open connections of daemon 1 go silent after 1020 ms
    And 12 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @store-down
  Scenario: a daemon is stopped with claims open and the store down for longer
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 25 s
    When 60 booking confirmations arrive over 3 s, each asked of another daemon again 9 s after its answer
    And the table is down for 4 s after 1 s
    And daemon 1 is stopped after 1050 ms
    And 20 s pass
    Then the planned stops cut off nothing
    And no request ran twice
    And every answer that was asked for again was given again
