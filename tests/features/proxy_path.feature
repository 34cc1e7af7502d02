Feature: The request path
  Guards against wrong framing, mixed-up or truncated answers, false "not run"
  statements, repeated orders and work that stays behind after its caller left.

  Scenario Outline: Input that cannot be served is refused before it runs
    Given proxies with small limits
    When a caller sends the raw input "<input>"
    Then the answer has status <status> and kind "<kind>" and says "not-run"
    And nothing ran

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
    Given proxies with a body limit above what is read before sending
    When a caller sends the raw input "large chunked body"
    Then the answer has kind "outcome_unknown" and says "unknown"

  Scenario: A kept connection without requests is closed
    Given proxies with small limits
    When a caller connects and sends nothing
    Then its connection is closed

  Scenario Outline: A fault of the upstream never becomes a wrong answer
    Given proxies
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
      | GET    | double   | all   | answer           | 1    |
      | POST   | late     | all   | deadline_unknown | 1    |
      | GET    | late     | all   | deadline_unknown | 1    |

  Scenario: A shed request is not run and says so
    Given proxies with one slot and no queue
    When 6 callers send slow POST requests at once
    Then 2 are answered and the others end as "overloaded" without executions

  Scenario: Draining upstreams get no new work
    Given proxies
    When upstream "a" drains over its control port
    Then 10 requests are all answered by "b"
    When upstream "b" drains over its control port
    Then a request ends as "overloaded" without executions

  Scenario: Work past its deadline is not started
    Given proxies with one slot
    When 2 slow requests hold the slots and one with a short deadline waits
    Then the waiting one ends without executions

  Scenario: A caller that leaves stops the work
    Given proxies with one slot
    When a caller sends a slow "GET" and leaves
    Then the work is cancelled, the slot is free and the target released

  Scenario: An order whose caller left runs once and its answer is kept
    Given proxies with one slot
    When a caller sends a slow "POST" and leaves
    And the order is sent again until it is answered
    Then the order ran once
    And the same key with another body is refused as "key_reused"

  Scenario: Large bodies flow both ways within bounded buffers
    Given proxies
    When a caller sends 8000000 bytes, asks for 20000000 and reads slowly
    Then it gets its whole answer and buffers stayed under 1500000 bytes

  Scenario: Headers of one hop stay there and the deadline is bounded
    Given proxies
    When a caller sends a request with headers of one hop and a deadline
    Then the upstream saw none of these headers and less time than allowed

  Scenario: A target that comes after its caller left is released
    Given proxies
    When a caller leaves while its request waits for a target
    Then the late target is released and nothing ran

  Scenario: A caller that does not read its answer is cut off at the deadline
    Given proxies
    When a caller asks for 30000000 bytes and does not read
    Then its request ends and the work is cancelled

  Scenario: Pipelined requests are answered in order
    Given proxies
    When a caller sends 20 requests in one write
    Then the 20 answers come in order

  Scenario: A caller that expects it is asked to continue
    Given proxies
    When a caller sends a head with Expect and waits
    Then it is asked to continue and answered

  Scenario: Upstream connections are reused
    Given proxies with one upstream
    When a caller sends 40 requests in turn
    Then one upstream connection was opened

  Scenario: A crash is reported with the requests in flight
    Given proxies
    When a caller sends a request that crashes its upstream
    Then the crash is reported with that request

  Scenario: A graceful stop cuts nothing off
    Given proxies
    When the proxy drains while a slow request is in flight
    Then that request is answered, a new one gets "leaving", and drain ends

  Scenario: A hard stop ends requests in flight with a kind that is certain
    Given proxies
    When the proxy stops while a slow request is in flight
    Then that request ends as "outcome_unknown"

  Scenario: Look-ups are answered and bounded
    Given proxies
    Then look-ups by GET and POST are answered
    And 1001 queries, bad JSON and a missing block are refused
