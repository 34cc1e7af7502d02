Feature: The story of a request from logs
  Guards against failed requests whose cause cannot be found afterwards, and
  against logs that block or flood.

  Scenario: The lines of several instances make one story
    Given log lines of two instances, one behind a collector's prefix
    When the story of request "r1" is asked for
    Then it names the upstreams, what was expected there and the outcome
    And it tells that the upstream was left out shortly before
    And it leaves out what another instance learnt

  # Guards against causes that are not found, or told in the wrong order,
  # because the time of day jumped between two lines.
  Scenario: Lines are ordered by the steady clock when the time of day jumps
    Given log lines of an instance whose time of day jumps back by 4 s
    When the story of request "r1" is asked for
    Then it tells the events before the request in their order

  Scenario: A request that went through another instance makes one story
    Given log lines of an instance without a path and of the one that helped
    When the story of request "r1" is asked for
    Then it tells the lost path, the way and the upstream

  Scenario: An unknown request is said to be unknown
    Given log lines of two instances, one behind a collector's prefix
    When the story of request "r9" is asked for
    Then it says that no line names it

  Scenario: Logging to a pipe that nobody reads does not block
    Given a pipe that nobody reads
    When 5000 long lines are logged
    Then it takes under 5 s and later lines say how many were dropped
