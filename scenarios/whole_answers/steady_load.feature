Feature: A caller receives the whole answer to its own request

  Scenario: steady load and nothing fails
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 40 spread plans arrive over 2 s
    And 20 booking confirmations arrive over 2 s
    And 8 s pass
    Then attainment is at least 100%
