Feature: An endpoint that is leaving receives no new work after a few seconds

  Scenario Outline: <source>
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s
    And <source> after 2 s
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s
    And every caller has exactly one final answer for each submission
    And attainment is at least 99%

    Examples:
      | source                                       |
      | the VM list shows that engine-1 is leaving   |
      | the VM list shows that reranker-1 is leaving |
      | engine-1 reports that it is leaving          |
      | encoder-1 reports that it is leaving         |
      | engine-1 answers calls that it is leaving    |
      | an operator drains engine-1 at daemon 2      |
      | an operator drains encoder-1 at daemon 3     |

  Scenario: the list goes back on what it said
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s
    And the VM list shows that engine-1 is leaving after 1 s
    And the VM list shows that engine-1 is live again after 3 s
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @store-down
  Scenario: the store is down while an endpoint leaves
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s
    And the table hangs for 8 s after 1 s
    And engine-1 reports that it is leaving after 2 s
    And the VM list shows that engine-2 is leaving after 2 s
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @store-down @operators-race
  Scenario: the store goes down once an operator has drained an endpoint
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s
    And an operator drains engine-2 at daemon 1 after 2 s
    And the table hangs for 8 s after 2100 ms
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @answer-lost
  Scenario: the drain's answer is lost
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And the table loses the answer of every 2nd write
    When 200 spread plans arrive over 8 s
    And an operator drains engine-1 at daemon 2 after 2 s
    And an operator drains engine-2 at daemon 1 after 2500 ms
    And an operator drains engine-3 at daemon 1 after 3 s
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @operators-race
  Scenario: two operators drain different endpoints at the same moment
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s
    And an operator drains engine-1 at daemon 3 after 2 s
    And an operator drains engine-2 at daemon 1 after 2 s
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @pause
  Scenario: a daemon pauses while an endpoint leaves
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s, each retried at another daemon after 1 s without an answer
    And daemon 1 pauses for 4 s after 1 s
    And engine-1 reports that it is leaving after 1500 ms
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @process-dies
  Scenario: a daemon starts while an endpoint leaves
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s from patient callers
    And an operator drains engine-2 at daemon 1 after 1 s
    And daemon 2 starts anew after 5 s
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @burst
  Scenario: a burst arrives while an endpoint leaves
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 600 spread plans arrive over 6 s
    And engine-1 reports that it is leaving after 500 ms
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @silent-connections
  Scenario: open connections go silent while an endpoint leaves
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s from patient callers
    And the VM list shows that engine-1 is leaving after 2 s
    And open connections of daemon 1 go silent after 2 s
    And open connections of daemon 2 go silent after 2500 ms
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s

  @stage-fails
  Scenario: a service is slow while one of its endpoints leaves
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    And every reranker is slower by a factor of 8
    When 200 spread plans arrive over 8 s
    And reranker-1 reports that it is leaving after 2 s
    And the VM list shows that engine-1 is leaving after 2 s
    And 14 s pass
    Then no leaving endpoint received a call later than 3 s
    And every caller has exactly one final answer for each submission

  @process-dies @stage-fails
  Scenario: an endpoint dies while another one of its service leaves
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s from patient callers
    And engine-2 dies after 2 s
    And engine-1 reports that it is leaving after 2100 ms
    And engine-2 starts anew after 5 s
    And 14 s pass
    Then no leaving endpoint received a call later than 3 s
    And every caller has exactly one final answer for each submission
    And attainment is at least 95%

  @process-dies @operators-race
  Scenario: a process starts anew on a VM that an operator drained
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s from patient callers
    And an operator drains engine-1 at daemon 2 after 1 s
    And engine-1 starts a new process and stays drained after 3 s
    And 14 s pass
    Then no leaving endpoint received a call later than 3 s

  Scenario: a new VM takes the place of one that left
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 400 spread plans arrive over 20 s from patient callers
    And the VM list shows that engine-1 is leaving after 1 s
    And engine-1 is replaced under its address after 4 s
    And 24 s pass
    Then no leaving endpoint received a call later than 3 s
    And engine-1 received calls in the last 8 s
    And attainment is at least 95%

  @silent-connections
  Scenario: an operator drains an endpoint at a daemon that its peers do not hear
    Given a site with 3 daemons, 4 engines and 2 endpoints of each other service
    When 200 spread plans arrive over 8 s
    And daemon 1 is cut off from the other daemons for 12 s after 1500 ms
    And an operator drains engine-2 at daemon 1 after 2 s
    And 12 s pass
    Then no leaving endpoint received a call later than 3 s
