Feature: Instances that fail, as real processes
  Guards against faults that show only between processes: work that runs
  twice, shares used by two, answers that are cut or belong to another request,
  and duties that nobody takes over.

  Background:
    Given a running fleet of processes under load

  Scenario: An instance is killed
    When instance i1 is killed
    And 6 seconds pass
    Then most requests of the last 3 seconds were answered
    And the invariants hold

  Scenario: A stopped instance cuts off no request
    When instance i2 is stopped by SIGTERM
    Then it ends with status 0 within 15 seconds
    And no request to it was cut off
    And the invariants hold

  Scenario Outline: The holder of a duty is frozen and continues
    When the holder of <duty> is frozen for 9 seconds
    Then another instance holds its duties with a later token
    And a change made meanwhile reaches all instances within 5 seconds
    And the frozen instance gave up its duties and takes callers again
    And the invariants hold

    Examples:
      | duty           |
      | planner/se-mid |
      | relay/se-mid/0 |
      | claims/1       |
