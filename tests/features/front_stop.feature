Feature: A planned stop loses nothing that an instance has read
  Guards against requests that are read and end without an answer, and against
  answers that end early, when an instance is told to stop.

  # Guards against a process that ends with answers in its write buffers.
  Scenario: Callers that read slowly get their whole answers
    Given two upstreams of one service behind an instance
    When 4 callers take 2.2 s to read an answer and the instance is told to stop
    Then each of them gets a whole answer
    And the instance has ended within its grace period

  # Guards against a reset that discards what the kernel holds of an answer, as
  # its caller goes on sending.
  Scenario: Callers that read slowly and go on sending get their whole answers
    Given two upstreams of one service behind an instance
    When 4 callers take 2 s to read an answer, go on sending, and the instance is told to stop
    Then each of them gets a whole answer

  # Guards against a connection that ends with a request under way, because an
  # earlier answer has been taken and what follows is no request.
  Scenario: A connection waits for the answers before what is no request
    When a caller sends two requests and garbage, and has the first answer
    Then its connection waits 10 s for the second one

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

  # Guards against requests that come so late that no time is left for them,
  # are passed on all the same and end without an answer.
  Scenario Outline: Late requests are answered in time or refused: <what>, <kind>
    Given two upstreams of one service behind an instance
    And each request takes <work> s, all slots free
    And the instance has a grace period of 4 s
    When orders of kind "<kind>" come every 0.08 s around a stop, <what>
    Then none that reached an upstream ends without its answer
    And the others are told at once that they have not run
    And those that come 0.7 s before it is too late are served

    Examples:
      | what                        | work | kind   |
      | on new connections          | 2.5  | unsafe |
      | on new connections          | 2.5  | safe   |
      | with bodies that take 1.2 s | 1.5  | unsafe |
      | with more signals           | 2.5  | unsafe |

  # Guards against the same at an instance that sends for another one.
  Scenario: An instance that stops leaves late requests of others to others
    Given an instance without a path to the upstreams and two that send for it
    When one of these is told to stop, before the others know
    Then late orders of the first one are refused there and served by the other
    And none of them ran twice

  # Guards against a request that is sent again when no time is left for it.
  Scenario: An instance that stops sends nothing again that would end too late
    Given two upstreams of one service behind an instance
    And each request takes 2.5 s, all slots free
    And the instance has a grace period of 4 s
    When an order is rejected by its upstream 2.5 s after a stop
    Then it is told at once that it has not run, and no upstream has run it

  Scenario Outline: Expected time of a request: <case>
    When requests took <times> s and one is under way for <age> s
    Then the next one is expected to take <least> to <most> s

    Examples:
      | case                       | times       | age | least | most |
      | nothing is known           | none        | 0.0 | 1.5   | 1.5  |
      | none was answered          | none        | 3.0 | 6.0   | 6.0  |
      | all take as long           | 2.0 * 40    | 1.0 | 2.0   | 2.2  |
      | few were answered          | 2.0 * 1     | 0.0 | 4.0   | 4.0  |
      | times differ               | 1.0 * 40, 3.0 | 0.0 | 3.5 | 4.5  |
      | one takes longer than all  | 2.0 * 40    | 4.0 | 4.8   | 4.8  |
      | the long ones are long ago | 9.0 * 9, 0.0 * 9, 0.0 * 9 | 0.0 | 0.0 | 0.1 |

  # Guards against any order of events in which a request that was read gets
  # no answer, or is read behind one that closes its connection.
  Scenario: Random stops keep what was read
    When callers act at random around 60 stops, for 10000 steps and more
    Then no promise of a stop is broken
    And some stops ended early and some at their time
