Feature: Faults around the instances, with real processes
  Guards against a platform, a network, an upstream or operators that make
  instances run work twice, exceed limits, report what is not true or stop.

  Scenario: An instance starts while the platform is down
    Given a running fleet of processes without instance i5 under load
    When the platform is down and instance i5 starts
    Then i5 takes callers and has the others' configuration within 8 seconds
    And the invariants hold

  Scenario: The platform loses replies of writes
    Given a running fleet of processes under load
    When the platform loses half of its replies and 12 changes are made
    Then each accepted change is in the audit trail once and none was undone
    And the invariants hold

  Scenario: Two regions lose each other
    Given a running fleet of processes under load
    When se-mid is cut off from the others for 9 seconds
    Then requests were answered in se-mid during the cut
    And a change made afterwards is in force everywhere within 10 s
    And the invariants hold

  Scenario Outline: An upstream fails
    Given a running fleet of processes under load
    When upstream <name> is <state> for 6 seconds
    Then most requests of the last 2 seconds were answered
    And the invariants hold

    Examples:
      | name            | state  |
      | lager-app-mid-a | killed |
      | lager-app-mid-a | frozen |

  Scenario: Two operators change the same resource through two instances
    Given a running fleet of processes
    When two operators change a resource 15 times from the same version
    Then each time one wins and the other one is told of the conflict
    And all instances hold the last winner's document
