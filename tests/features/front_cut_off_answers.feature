Feature: Answers of instances that are cut off from the upstreams
  Guards against answers that differ from the upstream's, and against callers
  who are sent to instances that can't serve them.

  Background:
    Given four instances in front of two services of four upstreams

  Scenario: The directory leaves cut-off instances out
    When 3 instances are cut off and this is known
    Then the directories name the others only
    When the cut ends
    Then the directories name all instances

  Scenario: The directory names instances though all are cut off
    When 4 instances are cut off and this is known
    Then the directories name all instances

  # Guards against an answer that changes on its way through an instance.
  Scenario Outline: The answer at a cut-off instance is the upstream's: <fault>
    When 1 instance is cut off and this is known
    Then a request with fault "<fault>" ends there as <outcome>

    Examples:
      | fault          | outcome    |
      | none           | its own    |
      | extra          | its own    |
      | foreign        | its own    |
      | large-measured | large      |
      | error          | a failure  |
      | busy           | no promise |
      | reset          | no success |
      | lost           | no success |

  Scenario: A caller of a cut-off instance that leaves ends the run
    When 1 instance is cut off and this is known
    And its caller leaves while an upstream works on the request
    Then the run is cancelled within its 0.8 s

  # Guards against a caller who makes an instance take it for another one.
  Scenario: What a caller says of instances changes nothing
    When 1 instance is cut off and this is known
    Then requests with forged headers of instances are served by all
    And no upstream sees such a header
