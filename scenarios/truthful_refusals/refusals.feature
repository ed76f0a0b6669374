Feature: When a refusal says a request was not run, it was not run

  @stage-fails
  Scenario Outline: the booking service <fault>
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every booking <fault>
    When 40 booking confirmations arrive over 3 s
    And 20 bound booking confirmations arrive over 3 s
    And 8 s pass
    Then no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission

    Examples:
      | fault                                  |
      | fails every 2nd call                   |
      | loses the answer of every 2nd call     |
      | never answers every 2nd call           |
      | cuts every 2nd answer short            |
      | leaves a piece out of every 2nd answer |
      | is slower by a factor of 100           |

  @process-dies @stage-fails
  Scenario: every endpoint of the booking service dies
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 40 booking confirmations arrive over 3 s
    And booking-1 dies after 1 s
    And booking-2 dies after 1100 ms
    And 8 s pass
    Then no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission
    And every refusal came within 2 s

  @store-down
  Scenario: the store hangs and refusals come early
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 40 booking confirmations arrive over 4 s
    And the table hangs for 10 s after 500 ms
    And 8 s pass
    Then no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission
    And every refusal came within 2 s

  @store-down
  Scenario: the store is down and refusals come at once
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 40 booking confirmations arrive over 4 s
    And 40 bound booking confirmations arrive over 4 s
    And the table is down for 10 s after 500 ms
    And 8 s pass
    Then no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission
    And every refusal came within 1 s
    And attainment is at least 50%

  @answer-lost
  Scenario: a late write takes effect after its request was refused
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 400 ms
    And the table delays every 2nd write by 600 ms
    When 40 booking confirmations arrive over 3 s, each retried at another daemon after 300 ms without an answer
    And 8 s pass
    Then no refusal said not_run of a request that ran
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @pause @store-down
  Scenario: a caller that got no answer is refused elsewhere while its daemon is paused
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 6 s
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 300 ms without an answer
    And daemon 1 pauses for 3 s after 1 s
    And the table is down for 2 s after 1200 ms
    And 12 s pass
    Then no refusal said not_run of a request that ran
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @process-dies @answer-lost
  Scenario: a daemon dies and callers ask the one that starts in its place
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s, each retried at another daemon after 500 ms without an answer
    And 30 keyed spread plans arrive over 3 s, each retried at another daemon after 500 ms without an answer
    And daemon 1 dies after 1 s
    And daemon 1 starts anew after 1100 ms
    And the table loses the answer of every 3rd write after 900 ms
    And 10 s pass
    Then no refusal said not_run of a request that ran
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @burst
  Scenario: a burst beyond what the site can do is refused early
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 30 spread plans arrive over 3 s
    And 600 spread plans arrive over 1 s after 3 s
    And 10 s pass
    Then no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission
    And no answer was foreign, cut or doubled
    And every refusal came within 3100 ms

  @store-down
  Scenario: a caller comes back to the daemon that it left for another
    Given a site with 2 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 6 s
    And the table takes 320 ms for each call
    When 60 booking confirmations arrive over 4 s, each retried at another daemon after 300 ms without an answer
    And 60 amendment requests arrive over 4 s, each retried at another daemon after 300 ms without an answer
    And 14 s pass
    Then no refusal said not_run of a request that ran
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @process-dies @store-down
  Scenario: a caller comes back to a daemon that starts anew and knows nothing
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 6 s
    When 60 booking confirmations arrive over 4 s, each retried at another daemon after 100 ms without an answer
    And the table hangs for 4 s after 2 s
    And daemon 2 starts anew after 2 s
    And 14 s pass
    Then no refusal said not_run of a request that ran
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @operators-race
  Scenario: a daemon that is stopped refuses new bookings
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s
    And operators apply different changes at daemon 2 and daemon 3 after 900 ms
    And an operator drains daemon 2 after 1 s
    And daemon 1 is stopped after 1 s
    And 10 s pass
    Then no refusal said not_run of a request that ran
    And every caller has exactly one final answer for each submission
    And every refusal came within 100 ms

  @silent-connections
  Scenario: open connections to the booking service go silent
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s from patient callers
    And 30 bound booking confirmations arrive over 3 s from patient callers
    And open connections to booking-1 go silent after 1 s
    And open connections to booking-2 go silent after 1500 ms
    And open connections of daemon 1 go silent after 2 s
    And 10 s pass
    Then no refusal said not_run of a request that ran
    And no request ran twice
    And every caller has exactly one final answer for each submission

  @network-cut
  Scenario: a daemon that is cut off from the booking service
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 booking confirmations arrive over 3 s from patient callers
    And daemon 1 is cut off from booking-1 for 2 s after 1 s
    And daemon 1 is cut off from booking-2 for 2 s after 1 s
    And 10 s pass
    Then no refusal said not_run of a request that ran
    And no request ran twice
    And every caller has exactly one final answer for each submission
