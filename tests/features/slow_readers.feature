Feature: Memory held for callers and upstreams that read slowly
  Guards against an instance that is killed for the memory that it holds for
  slow readers, and against a broken-off response that looks whole.

  Scenario Outline: Beyond the bound the largest for the longest time goes first
    Given <holders> hold responses of a process with 112 MB
    When 2 MB more are held
    Then these are cut off: <cut>
    And at most 39.2 MB were held at any time

    Examples:
      | holders                                | cut     |
      | a 20 MB 9 s, b 10 MB 30 s, c 4 MB 60 s | b       |
      | a 20 MB 9 s, b 5 MB 30 s, c 9 MB 9 s   | a       |
      | a 34 MB 0 s, b 0.9 MB 1 s              | b, a    |
      | request 30 MB 90 s, b 4.9 MB 1 s       | b       |
      | a 20 MB 9 s, b 12 MB 30 s              | nothing |

  Scenario: Four hundred slow callers disturb no others at an instance of 200 MB
    Given an instance of 200 MB
    And the p99 of callers that read at once
    When 400 callers that read 2 kB/s ask for 540 kB each
    Then the p99 of others beside is within 1.2 times of that without
    And at most 35% of its memory was held at any time
    And each response is whole, still coming, or broken off before its end

  Scenario: A caller that takes no responses gets no further ones
    Given an instance of 100 MB
    When a caller asks 14 times for 1 MB on one connection and takes nothing
    Then at most 8 of these run
    When it takes them
    Then all 14 responses are whole

  Scenario: Requests that an upstream does not take are bounded
    Given an instance of 20 MB with an upstream that takes nothing
    When 30 callers send 1 MB each
    Then some are refused at once and did not run
    And at most 35% of its memory was held at any time
    When the callers have left
    Then nothing is held within 6 s
