Feature: Overload, retries, crashing requests and upstream health
  Guards against goodput that collapses under overload, retries that multiply
  the load, and one request or one bad measurement emptying a service.

  Scenario: Goodput holds under twice the capacity
    Then at twice the capacity goodput is at least 95 percent of that at once
    And without the rules the same trace misses that target

  Scenario: Orders are served before look-ups under overload
    Then at twice the capacity at least 99 percent of orders are answered

  Scenario: Retries add at most a tenth in a brown-out
    Then with 30 and 100 percent failing attempts the load grows by 10 percent at most
    And without the rules the same failures miss that target

  Scenario: A crashing request takes down at most two servers
    Then with seeds 1 to 6 a crashing request takes down at most 2 servers
    And without the rules the same trace takes down more

  Scenario: A popular request that shared two crashed servers is not condemned
    Then a request that succeeds between two crashes stays clear

  Scenario: Crash reports of several instances count once
    Then repeated and reordered notices of one crash condemn nothing

  Scenario: A crash seen late still counts towards the condemnation
    Then two crashes nine minutes apart condemn a request

  Scenario: Ejection leaves enough upstreams in service
    Then whatever fails at most a third of the upstreams are out

  Scenario: A returned upstream starts slowly
    Then an ejected upstream returns with a weight that rises to 1

  Scenario: Good reports never raise an upstream's weight
    Then reports never raise the weight above that without a report

  Scenario: A request is not held when no slot becomes free
    Then a waiting request is refused after its longest wait, not near its deadline
