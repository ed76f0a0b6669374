Feature: An accepted configuration is in force at every site within seconds and never reverts

  Scenario: a change is accepted
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When an operator applies a change at daemon 1
    And 10 s pass
    Then 1 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And revision 2 is in force at every daemon

  Scenario: many changes are accepted, one on top of the other
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When an operator applies a change at daemon 1
    And an operator applies a change at daemon 2 after 3 s
    And an operator applies a change at daemon 3 after 6 s
    And an operator applies a change at daemon 1 after 9 s
    And 20 s pass
    Then 4 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And no daemon went back to a lower revision
    And revision 5 is in force at every daemon

  @operators-race
  Scenario: operators race one another
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When operators apply different changes at daemon 1 and daemon 2
    And 10 s pass
    Then 1 changes were accepted
    And 1 changes met a conflict
    And every accepted change was in force everywhere within 10 s
    And no accepted change was lost
    And no daemon went back to a lower revision

  @operators-race @answer-lost
  Scenario: operators race while writes lose their answers
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table loses the answer of every 1st write
    When operators apply different changes at daemon 1 and daemon 2
    And 15 s pass
    Then 1 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And no accepted change was lost
    And no daemon went back to a lower revision

  @answer-lost @operators-race
  Scenario: a change takes effect late and another operator comes first
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table delays every 2nd write by 3 s
    When operators apply different changes at daemon 1 and daemon 2
    And 20 s pass
    Then every accepted change was in force everywhere within 10 s
    And no accepted change was lost
    And no daemon went back to a lower revision

  @store-down
  Scenario: the store goes down right after a change was accepted
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When an operator applies a change at daemon 1
    And the table hangs for 20 s after 20 ms
    And 12 s pass
    Then 1 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And revision 2 is in force at every daemon

  @answer-lost @store-down
  Scenario: the answer is lost and the store goes down
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table loses the answer of every 1st write
    When an operator applies a change at daemon 1
    And the table is down for 3 s after 100 ms
    And 20 s pass
    Then 1 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And no daemon went back to a lower revision

  @process-dies
  Scenario: the accepting daemon dies at once
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When an operator applies a change at daemon 1
    And daemon 1 dies after 20 ms
    And 12 s pass
    Then every accepted change was in force everywhere within 10 s
    And no accepted change was lost
    And revision 2 is in force at every daemon

  @pause
  Scenario: a paused daemon wakes with an old revision
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When daemon 3 pauses for 6 s
    And an operator applies a change at daemon 1 after 1 s
    And an operator applies a change at daemon 2 after 5 s
    And 18 s pass
    Then 2 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And no daemon went back to a lower revision
    And revision 3 is in force at every daemon

  @network-cut
  Scenario: a daemon that was cut off comes back
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When daemon 3 is cut off from the other daemons for 6 s
    And daemon 3 is cut off from table for 6 s
    And an operator applies a change at daemon 1 after 1 s
    And 18 s pass
    Then no daemon went back to a lower revision
    And revision 2 is in force at every daemon

  @process-dies @store-down
  Scenario: a daemon starts during an outage of the store and hears a peer that lags
    Given a site with 4 daemons, 4 engines and 2 endpoints of each other service
    When daemon 3 is cut off from the other daemons for 30 s
    And daemon 3 is cut off from table for 30 s
    And an operator applies a change at daemon 1 after 1 s
    And the table hangs for 20 s after 5 s
    And daemon 4 starts anew after 6 s
    And 12 s pass
    Then no daemon serves an older revision than one in force elsewhere for 10 s
    And no daemon went back to a lower revision

  @silent-connections
  Scenario: connections go silent while a change spreads
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When an operator applies a change at daemon 1
    And open connections of daemon 1 go silent after 10 ms
    And open connections of daemon 2 go silent after 10 ms
    And open connections of daemon 3 go silent after 10 ms
    And 12 s pass
    Then 1 changes were accepted
    And every accepted change was in force everywhere within 10 s

  @burst
  Scenario: changes arrive in a burst of load
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 400 spread plans arrive over 4 s
    And an operator applies a change at daemon 1 after 1 s
    And an operator applies a change at daemon 2 after 3500 ms
    And 14 s pass
    Then 2 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And no daemon went back to a lower revision

  @store-down
  Scenario: changes follow one another while the way to the table is slow
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the way to table takes 200 ms longer
    When an operator applies 30 changes at daemon 1 over 60 s
    And 75 s pass
    Then 30 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And no daemon went back to a lower revision
    And revision 31 is in force at every daemon

  @network-cut
  Scenario: changes follow one another while the way to one daemon is slow
    Given a site with 4 daemons, 4 engines and 2 endpoints of each other service
    And the way to daemon-1 takes 150 ms longer
    When an operator applies 60 changes at daemon 2 over 30 s
    And 40 s pass
    Then 60 changes were accepted
    And every accepted change was in force everywhere within 10 s
    And no daemon went back to a lower revision
    And revision 61 is in force at every daemon
