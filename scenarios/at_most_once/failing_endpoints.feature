Feature: A non-idempotent request runs at most once, though its endpoint fails

  @stage-fails
  Scenario Outline: the booking service <fault>
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every booking <fault>
    When 40 booking confirmations arrive over 3 s from patient callers
    And 10 s pass
    Then no request ran twice
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

    Examples:
      | fault                                       |
      | fails every 3rd call                        |
      | loses the answer of every 3rd call          |
      | never answers every 3rd call                |
      | cuts every 3rd answer short                 |
      | leaves a piece out of every 3rd answer      |
      | is slower by a factor of 10                 |
      | is overloaded                               |

  @process-dies @stage-fails
  Scenario: an engine dies while it writes amendments
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 40 amendment requests arrive over 3 s from patient callers
    And engine-1 dies after 1 s
    And engine-1 starts anew after 2 s
    And engine-2 dies after 2 s
    And 10 s pass
    Then no request ran twice
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @silent-connections
  Scenario: open connections to the booking service go silent
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 40 booking confirmations arrive over 3 s from patient callers
    And open connections to booking-1 go silent after 1 s
    And open connections to booking-2 go silent after 2 s
    And 10 s pass
    Then no request ran twice
    And attainment is at least 90%
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @silent-connections
  Scenario: open connections to engines go silent while amendments are written
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And callers have a deadline of 6 s
    When 40 amendment requests arrive over 3 s from patient callers
    And open connections to engine-1 go silent after 1 s
    And open connections to engine-2 go silent after 1500 ms
    And open connections to engine-3 go silent after 2 s
    And 12 s pass
    Then no request ran twice
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran
    And attainment is at least 100%
