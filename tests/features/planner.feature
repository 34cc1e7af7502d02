Feature: Planner of a region
  Guards against progress notices that use up the budget for control traffic,
  and against progress that operators see late or lose.

  Scenario: Progress is told at once when it changes and otherwise renewed
    When a planner with 10 differing rates of use ticks for 30 seconds and a place comes into force after 11.2 seconds
    Then it tells progress 6 times, at the tick of the change, and no notice expires before the next
