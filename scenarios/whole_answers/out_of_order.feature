Feature: A caller receives the whole answer to its own request, though records come late or out of order

  @stage-fails
  Scenario Outline: every <service> <fault>
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every <service> <fault>
    When 40 spread plans arrive over 2 s
    And 20 booking confirmations arrive over 2 s
    And 8 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 100%

    Examples:
      | service   | fault                            |
      | engine    | sends records out of order       |
      | retriever | sends records out of order       |
      | booking   | sends records out of order       |
      | engine    | splits characters between pieces |

  @process-dies @stage-fails
  Scenario: records come twice and out of order from an engine that dies
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine sends records out of order
    And every engine sends every record twice
    When 60 spread plans arrive over 3 s from patient callers
    And engine-1 dies after 1 s
    And engine-2 dies after 2 s
    And 8 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 85%

  @silent-connections @stage-fails
  Scenario: a slow network and silent connections
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine sends records out of order
    When 60 spread plans arrive over 3 s from patient callers
    And open connections to engine-1 go silent after 1 s
    And open connections to engine-2 go silent after 1 s
    And open connections to engine-3 go silent after 1 s
    And open connections to engine-4 go silent after 1 s
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 90%

  @stage-fails
  Scenario: a caller leaves a silent daemon and another answers
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine is slower by a factor of 5
    When 40 keyed spread plans arrive over 3 s, each retried at another daemon after 400 ms without an answer
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
