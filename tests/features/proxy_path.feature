Feature: The request path
  Guards against wrong framing, mixed-up or truncated answers, false "not run"
  statements, repeated orders and work that stays behind after its caller left.

  Scenario Outline: Input that cannot be served is refused before it runs
    Given the rig "proxies with small limits"
    When a caller sends the raw input "<input>"
    Then the answer is <status> "<kind>" and says "not-run"
    And no request ran

    Examples:
      | input                 | status | kind              |
      | both lengths          | 400    | bad_request       |
      | two lengths           | 400    | bad_request       |
      | not http              | 400    | bad_request       |
      | old version           | 400    | bad_request       |
      | bad chunk             | 400    | bad_request       |
      | bad deadline          | 400    | bad_request       |
      | large head            | 431    | headers_too_large |
      | endless head          | 431    | headers_too_large |
      | many headers          | 431    | headers_too_large |
      | large body            | 413    | body_too_large    |
      | large chunked body    | 413    | body_too_large    |
      | connect               | 405    | method_not_allowed |
      | bad service           | 404    | unknown_service   |
      | deadline passed       | 504    | deadline_not_run  |
      | slow head             | 400    | bad_request       |
      | slow body             | 400    | bad_request       |

  Scenario: A body found too large after bytes were sent is not "not run"
    Given the rig "proxies with a body limit above what is read before sending"
    When a caller sends the raw input "large chunked body"
    Then the answer is 502 "outcome_unknown" and says "unknown"

  Scenario: A kept connection without requests is closed
    Given the rig "proxies with small limits"
    Then the connection of a caller that sends nothing is closed

  Scenario Outline: A fault of the upstream never becomes a wrong answer
    Given the rig "proxies"
    When a caller sends <method> with the fault "<fault>" at "<where>"
    Then the outcome is "<outcome>" with <runs> executions
    And the next request of the caller is answered correctly

    Examples:
      | method | fault    | where | outcome          | runs |
      | GET    | reset    | all   | cut              | 1    |
      | GET    | short    | all   | cut              | 1    |
      | POST   | reset    | all   | cut              | 1    |
      | GET    | drop     | all   | upstream_failed  | 2    |
      | GET    | drop     | a     | answer           | any  |
      | POST   | drop     | all   | outcome_unknown  | 1    |
      | POST   | foreign  | all   | outcome_unknown  | 1    |
      | POST   | unframed | all   | outcome_unknown  | 1    |
      | POST   | both     | all   | outcome_unknown  | 1    |
      | GET    | foreign  | all   | upstream_failed  | 2    |
      | POST   | interim  | all   | outcome_unknown  | 1    |
      | GET    | double   | all   | answer           | 1    |
      | POST   | late     | all   | deadline_unknown | 1    |
      | GET    | late     | all   | deadline_unknown | 1    |

  # Guards against a promise that rests on the refusal of an earlier request.
  Scenario: A refusal that names no request may be that of another
    Given the rig "proxies with one upstream"
    When a caller sends POST with the fault "unnamed" at "all"
    And a caller sends POST with the fault "stale-refusal" at "all"
    Then the outcome is "outcome_unknown" with 2 executions

  Scenario: A shed request is not run and says so
    Given the rig "proxies with one slot and no queue"
    Then of 6 slow requests at once 2 run, others get "overloaded"

  Scenario: Connections to an upstream are bounded
    Given the rig "proxies with one connection to each upstream"
    Then of 6 slow requests at once 2 run, others get "overloaded"

  Scenario: Callers beyond the limit are turned away
    Given the rig "proxies that accept no caller"
    Then the connection of a caller that sends nothing is closed

  Scenario: Draining upstreams get no new work
    Given the rig "proxies"
    When upstream "a" drains over its control port
    Then 10 requests are all answered by "b"
    When upstream "b" drains over its control port
    Then a request ends as "overloaded" without executions

  Scenario: Work past its deadline is not started
    Given the rig "proxies with one slot"
    Then a request that waits for a slot past its deadline does not run

  Scenario: A caller that leaves stops the work
    Given the rig "proxies with one slot"
    Then work is cancelled and its slot released when its caller leaves

  Scenario: An order whose caller left runs once and its answer is kept
    Given the rig "proxies with one slot"
    When the caller of an order leaves and another sends it again
    Then the order ran once and its key is refused for another body

  Scenario: An order whose caller stopped reading and left is completed
    Given the rig "proxies"
    Then a claimed order is completed after its caller stopped reading

  Scenario: Large bodies flow both ways within bounded buffers
    Given the rig "proxies"
    Then 8000000 bytes up and 20000000 down use less than 1500000

  Scenario: Headers of one hop stay there and the deadline is bounded
    Given the rig "proxies"
    Then the upstream sees no headers of one hop and a bounded deadline

  Scenario: A target that comes after its caller left is released
    Given the rig "proxies"
    Then a target that comes after its caller left is released
    And no request ran

  Scenario: A caller that does not read its answer is cut off at the deadline
    Given the rig "proxies"
    Then a caller that does not read 30000000 bytes is cut off in time

  Scenario: Pipelined requests are answered in order
    Given the rig "proxies"
    Then 20 requests in one write are answered in order

  Scenario: A caller that expects it is asked to continue
    Given the rig "proxies"
    Then a caller that waits for 100 Continue gets it and its answer

  Scenario: Upstream connections are reused
    Given the rig "proxies with one upstream"
    Then 40 requests in turn use one upstream connection

  Scenario: A crash is reported with the requests in flight
    Given the rig "proxies"
    Then a request that crashes its upstream is reported with the crash

  Scenario: A graceful stop cuts nothing off
    Given the rig "proxies"
    When the proxy drains while a slow request is in flight
    Then it is answered, new ones get "leaving", and the drain ends

  # Guards against a process that ends with answers in its write buffers.
  Scenario: A graceful stop waits for callers that read slowly
    Given the rig "proxies"
    When the proxy drains while a caller has not taken its answer
    Then the drain ends when it has, and not before

  # Guards against a reset that discards what the kernel holds of an answer, as
  # its caller goes on sending.
  Scenario: A graceful stop waits for callers that go on sending
    Given the rig "proxies with one upstream"
    When the proxy drains while a caller takes 1 s to read and goes on sending
    Then it gets its whole answer

  # Guards against requests that are passed on though the instance stops before
  # they can end.
  Scenario: A stop passes nothing on that would end too late
    Given the rig "proxies"
    When the body of a slow request ends 0.4 s before the proxy stops
    Then it ends as "leaving" at once, and no upstream runs it

  Scenario: A hard stop ends requests in flight with a kind that is certain
    Given the rig "proxies"
    Then a slow request ends as "outcome_unknown" when the proxy stops

  Scenario: Look-ups are answered and bounded
    Given the rig "proxies"
    Then look-ups by GET and POST are answered
    And 1001 queries, bad JSON and a missing block are refused
