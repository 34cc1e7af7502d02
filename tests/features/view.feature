Feature: The application's view of the fleet
  Guards against a view that is built once for each of many members that
  change together, against one that is not built at all, and against services
  that are denied because this instance has not heard of them.

  Scenario: Members that change together cost one new view
    Given an application that knows no other instance
    When 300 members join at once
    Then one new view with 301 instances follows within a second
    And the same holds when 299 of them are gone at once

  # A young, partial or old copy took what it lacked for what is not declared.
  Scenario Outline: Only a complete and recent copy denies a service
    Given an application that knows no other instance
    When its copy of the configuration <state>
    Then a request and a look-up of a service that it lacks get "<kind>"

    Examples:
      | state                              | kind            |
      | is empty                           | unavailable     |
      | has no head                        | unavailable     |
      | is not known to be recent          | unavailable     |
      | was complete 6 seconds ago         | unavailable     |
      | lacks a document of the head       | unavailable     |
      | differs from the store             | unavailable     |
      | is newer than its tables           | unavailable     |
      | was complete 4 seconds ago         | unknown_service |
      | was complete a tombstone ago       | unknown_service |
      | outlived a read of an older store  | unknown_service |
