Feature: A planned stop loses nothing that an instance has read
  Guards against requests that are read and end without an answer, and against
  answers that end early, when an instance is told to stop.

  # Guards against a process that ends with answers in its write buffers.
  Scenario: Callers that read slowly get their whole answers
    Given two upstreams of one service behind an instance
    When 4 callers take 2.2 s to read an answer and the instance is told to stop
    Then each of them gets a whole answer
    And the instance has ended within its grace period

  # Guards against callers that are never told to close, and are cut off.
  Scenario Outline: A caller that always has requests under way: <step>
    Given two upstreams of one service behind an instance
    And each request takes 0.3 s
    When a caller keeps 4 requests under way, <step>, and the instance is told to stop
    Then one answer closes its connection within 1 s
    And all requests that reached an upstream were answered before it

    Examples:
      | step                |
      | one after the other |
      | all at once         |

  # Guards against a stop that something else holds up or begins anew.
  Scenario: What happens during a stop does not change it
    Given two upstreams of one service behind an instance
    When 4 callers take 2.2 s to read an answer and the instance is told to stop
    And it is told again, the store is lost and all paths are checked
    Then each of them gets a whole answer
    And the instance has ended within its grace period

  Scenario Outline: Phases of a stop: <case>
    When an instance with 6 s of grace owes something until <until> s
    Then it accepts connections for <accepts> s and ends after <ends> s

    Examples:
      | case                       | until | accepts | ends |
      | nothing is owed            | 0.0   | 3.0     | 3.0  |
      | all is answered meanwhile  | 2.0   | 3.0     | 3.0  |
      | slow callers               | 4.5   | 3.0     | 4.5  |
      | callers slower than grace  | 9.0   | 3.0     | 5.9  |

  # Guards against any order of events in which a request that was read gets
  # no answer, or is read behind one that closes its connection.
  Scenario: Random stops keep what was read
    When callers act at random around 60 stops, for 10000 steps and more
    Then no promise of a stop is broken
    And some stops ended early and some at their time
