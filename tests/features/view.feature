Feature: The application's view of the fleet
  Guards against a view that is built once for each of many members that
  change together, and against one that is not built at all.

  Scenario: Members that change together cost one new view
    Given an application that knows no other instance
    When 300 members join at once
    Then one new view with 301 instances follows within a second
    And the same holds when 299 of them are gone at once
