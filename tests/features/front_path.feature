Feature: Requests through an instance in front of upstreams
  Guards against repeated orders, foreign or partial answers passed on, false
  promises that a request has not run, and lost pipelined requests.

  Background:
    Given two upstreams of one service behind an instance

  Scenario: A request is passed on whole and its answer is unchanged
    When a caller asks for "/browse/a?x=1"
    Then the status is 200 and the answer names the request
    And the upstream saw its own id and less time than the caller has

  Scenario: The longest prefix decides the service
    When a caller asks for "/browse/special/a"
    Then the status is 200 and upstream "w1" ran it

  Scenario: A path without a route gets 404
    Given the instance has held its copy of the store for 5 s
    When a caller asks for "/nothing/a"
    Then the status is 404

  Scenario Outline: A safe request is repeated after a faulty answer
    When a caller asks for "/browse/a" with fault "<fault>" at one upstream
    Then the status is 200 and the answer names the request
    And it ran <runs> times

    Examples:
      | fault    | runs |
      | shed     | 1    |
      | lost     | 2    |
      | reset    | 2    |
      | cut      | 2    |
      | encoded  | 2    |
      | bare     | 2    |
      | broken-head | 2 |
      | error    | 2    |
      | unframed | 1    |
      | foreign  | 1    |

  Scenario Outline: An order is never sent again unless it has not run
    When a caller orders with fault "<fault>" at one upstream
    Then the status is <status>
    And it ran <runs> times

    Examples:
      | fault    | status | runs |
      | shed     | 200    | 1    |
      | lost     | 502    | 1    |
      | reset    | 502    | 1    |
      | broken-head | 502 | 1    |
      | busy     | 502    | 1    |
      | error    | 500    | 1    |
      | unframed | 200    | 1    |
      | foreign  | 200    | 1    |

  Scenario: A second answer on a kept connection reaches no caller
    When a caller sends 6 requests one after the other with fault "extra"
    Then each answer names its own request

  Scenario: Pipelined requests run together and are answered in order
    When a caller pipelines 3 requests that take 0.4 s each
    Then the answers come in order within 1.0 s

  Scenario: An address that was given to another upstream runs nothing
    Given the entry of upstream "u1" names the address of "w1"
    When 6 callers order
    Then all orders ran once and none at "w1"

  Scenario: A caller that leaves has its work cancelled
    When a caller leaves 0.1 s after it asked for work of 1.5 s
    Then the upstream notices within 0.5 s

  Scenario: Nothing is sent again for a caller that has left
    When a caller leaves 0.1 s after an order that is rejected after 0.4 s
    Then one request reached the upstreams within 1 s

  Scenario: A request that may have run is not said not to have run
    Given upstream "u2" stopped without a word
    When a caller reads "/browse/a" with fault "lost" at "u1"
    Then the status is 502

  Scenario: A request without an answer ends at the route's time-out
    When a caller asks for work of 3 s on a route of 0.5 s
    Then the status is 504 within 0.9 s

  Scenario: An upstream that refuses connections does not lose an order
    Given upstream "u1" stopped without a word
    When 6 callers order
    Then all orders ran once

  # Guards against a request whose rest is read as another one, and against a
  # rejection that comes again for the next request.
  Scenario Outline: A rejection that comes before the request is sent: <case>
    When an upstream rejects a request of which <unsent> bytes are unsent
    Then the request was rejected and its connection is <state>

    Examples:
      | case            | unsent | state  |
      | a part of it    | 5000   | closed |
      | the whole of it | 0      | kept   |

  # Guards against a head that ends early and makes an empty, whole answer. A
  # body without a length is whole when its connection closes.
  Scenario Outline: A response that ends early is not complete: <name>, <way>
    When a "<name>" response ends after each of its bytes, "<way>"
    Then it is complete with "<left>" bytes left out

    Examples:
      | name          | way    | left          |
      | measured      | closed | 0             |
      | measured      | reset  | 0             |
      | empty         | closed | 0             |
      | empty         | reset  | 0             |
      | chunked       | closed | 0             |
      | chunked       | reset  | 0             |
      | unframed      | closed | 0, 1, 2, 3, 4 |
      | unframed      | reset  | no            |
      | bare lines    | closed | 0             |
      | after interim | closed | 0             |
      | after another | closed | 0             |
      | after another | reset  | 0             |
