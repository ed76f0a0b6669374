Feature: A non-idempotent request runs at most once, though writes lose their answers

  @answer-lost @process-dies
  Scenario: the answer of the claim's write is lost and the caller retries elsewhere
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table loses the answer of every 2nd write
    When 20 booking confirmations arrive over 2 s, each retried at another daemon after 500 ms without an answer
    And daemon 1 dies after 700 ms
    And 10 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @answer-lost
  Scenario: the claim's write takes effect late and the caller retries elsewhere
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table delays every 2nd write by 600 ms
    When 20 booking confirmations arrive over 2 s, each retried at another daemon after 200 ms without an answer
    And 10 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran

  @answer-lost @silent-connections
  Scenario: the claim's answer never comes and its connection stays open
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table swallows the answer of every 3rd write
    When 20 booking confirmations arrive over 2 s, each retried at another daemon after 300 ms without an answer
    And 10 s pass
    Then no request ran twice
    And every caller has exactly one final answer for each submission
    And no refusal said not_run of a request that ran
