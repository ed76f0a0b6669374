Feature: No stage result is lost, doubled or foreign, though stages fail

  @stage-fails
  Scenario Outline: <service> <fault>
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s
    And <service> <fault> after 1 s
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least <attainment>

    Examples:
      | service    | fault                                  | attainment |
      | engine-1   | dies                                   | 90%        |
      | reranker-1 | dies                                   | 90%        |
      | engine-1   | cuts every 2nd answer short            | 90%        |
      | engine-1   | leaves a piece out of every 2nd answer | 90%        |
      | engine-1   | loses the answer of every 2nd call     | 90%        |
      | engine-1   | never answers every 2nd call           | 90%        |
      | reranker-1 | leaves a piece out of every 2nd answer | 90%        |
      | reranker-1 | cuts every 2nd answer short            | 90%        |
      | retriever-1 | never answers every 2nd call          | 90%        |
      | encoder-1  | is slower by a factor of 30            | 90%        |

  @process-dies @stage-fails
  Scenario: engines die and come back while daemons do
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 80 spread plans arrive over 4 s from patient callers
    And engine-1 dies after 1 s
    And engine-1 starts anew after 2 s
    And engine-2 dies after 2 s
    And engine-2 starts anew after 3 s
    And daemon 2 dies after 1500 ms
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 90%

  @process-dies
  Scenario: an engine is replaced under its address in the middle of answers
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 60 spread plans arrive over 3 s from patient callers
    And engine-1 is replaced under its address after 1 s
    And 10 s pass
    Then no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission
    And attainment is at least 95%
