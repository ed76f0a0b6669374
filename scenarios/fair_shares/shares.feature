Feature: The largest customer's traffic never starves the rest and is never starved by them

  @burst
  Scenario: the largest account bursts far beyond what the site can do
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine is slower by a factor of 5
    And callers are of growers
    When 40 spread plans arrive over 10 s
    And callers are of dispatchers
    And 40 spread plans arrive over 10 s
    And callers are of cooperative
    And 900 spread plans arrive over 8 s after 1 s
    And 16 s pass
    Then attainment of growers is at least 100%
    And attainment of dispatchers is at least 100%
    And cooperative got at least 55% of the engines' calls from 3 s to 8 s
    And every caller has exactly one final answer for each submission

  @burst
  Scenario: the others burst and the largest account keeps its share
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine is slower by a factor of 5
    And callers are of cooperative
    When 200 spread plans arrive over 10 s
    And callers are of spreaders
    And 400 spread plans arrive over 8 s after 1 s
    And callers are of growers
    And 400 spread plans arrive over 8 s after 1 s
    And 16 s pass
    Then attainment of cooperative is at least 100%
    And every caller has exactly one final answer for each submission

  @burst @process-dies
  Scenario: the largest account bursts while a daemon and an engine die
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine is slower by a factor of 5
    And callers are of growers
    When 60 spread plans arrive over 12 s from patient callers
    And callers are of cooperative
    And 700 spread plans arrive over 8 s after 1 s
    And daemon 2 dies after 4 s
    And engine-1 dies after 5 s
    And 18 s pass
    Then attainment of growers is at least 85%
    And no answer was foreign, cut or doubled
    And every caller has exactly one final answer for each submission

  @burst @network-cut
  Scenario: the largest account bursts at daemons that do not hear one another
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every engine is slower by a factor of 5
    And callers are of growers
    When 40 spread plans arrive over 10 s
    And callers are of cooperative
    And 700 spread plans arrive over 8 s after 1 s
    And daemon 1 is cut off from the other daemons for 6 s after 2 s
    And daemon 2 is cut off from the other daemons for 6 s after 2 s
    And 16 s pass
    Then attainment of growers is at least 90%
    And every caller has exactly one final answer for each submission
