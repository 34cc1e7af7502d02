Feature: What callers may send to an instance
  Guards against smuggled requests, unbounded input, and bodies that upstreams
  get in another form than they were sent.

  Background:
    Given two upstreams of one service behind an instance

  Scenario: A chunked body reaches the upstream whole
    When a caller sends a chunked order of 3 chunks of 1000 bytes
    Then the answer tells a body of 3000 bytes

  Scenario: A connection that the caller wants closed is closed
    When a caller asks with "Connection: close"
    Then it is answered and the connection ends

  # The first rows guard against denials by limits of a former configuration.
  Scenario Outline: Input beyond the limits is refused and runs nothing
    Given the instance has held its copy of the store for <held> s
    When a caller gives <input>
    Then the status line says <status> and nothing ran

    Examples:
      | held | input                            | status |
      | 5    | a header of 20000 bytes          | 431    |
      | 0    | a header of 20000 bytes          | 503    |
      | 5    | a body announced with 2000000 b  | 413    |
      | 0    | a body announced with 2000000 b  | 503    |
      | 0    | two different lengths            | 400    |
      | 0    | a length and a chunked body      | 400    |
      | 0    | no HTTP at all                   | 400    |

  Scenario: A route with home regions is served there only
    Given a route "homely" with home region "norte"
    And an upstream "n1" in place "norte-a"
    When 12 callers ask for objects of "homely"
    Then all of them were served by "n1"

  Scenario: A cold upstream gets few requests until it is warm
    Given an upstream "c1" that is cold for 3 s with 2 requests a second
    When callers ask for 200 objects within 1 s
    Then "c1" got at most 8 requests
