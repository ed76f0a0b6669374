Feature: No stage result is lost, doubled or delivered to a request other than its own

  @stage-fails
  Scenario Outline: every <service> <fault>
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every <service> <fault>
    When 40 spread plans arrive over 2 s from patient callers
    And 20 booking confirmations arrive over 2 s from patient callers
    And 8 s pass
    Then no answer was foreign, cut or doubled
    And no request ran twice
    And every caller has exactly one final answer for each submission
    And attainment is at least 100%

    Examples:
      | service   | fault                             |
      | engine    | mixes in records of other calls   |
      | engine    | sends every record twice          |
      | reranker  | mixes in records of other calls   |
      | encoder   | sends every record twice          |
      | booking   | mixes in records of other calls   |
      | booking   | sends every record twice          |

  @stage-fails @silent-connections
  Scenario: records of other calls come while connections go silent
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine mixes in records of other calls
    And every reranker mixes in records of other calls
    When 60 spread plans arrive over 3 s from patient callers
    And open connections to engine-1 go silent after 1 s
    And open connections to reranker-1 go silent after 1500 ms
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 90%
