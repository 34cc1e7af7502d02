Feature: Rejections that an upstream sends again
  Guards against a rejection that is taken for the answer to another send: an
  order whose caller is told that it has not run runs all the same, or twice.

  Background:
    Given two upstreams of one service behind an instance
    And each request takes 0.3 s

  # Guards against an order that runs twice, or that runs though it was
  # refused, as its first rejection was taken for that of its second send.
  Scenario Outline: A rejection that comes again is no answer: <how>
    When a caller orders with fault "repeat-<how>" at one upstream
    Then the status is 200
    And it ran 1 times

    Examples:
      | how        |
      | late       |
      | unnamed    |
      | renamed    |
      | behind     |
      | everywhere |

  # Guards against the same at the next request of the connection.
  Scenario Outline: The next order on the connection is answered: <how>
    When a caller orders with fault "repeat-<how>", and another one right after
    Then all were answered with 200 and ran once

    Examples:
      | how        |
      | late       |
      | unnamed    |
      | renamed    |
      | everywhere |

  # Guards against a promise that rests on the rejection of another send.
  Scenario Outline: An order that all upstreams reject ran as told: <how>
    When 6 callers order with fault "repeat-<how>" at all upstreams
    Then no order that was refused has run, and none ran twice

    Examples:
      | how        |
      | late       |
      | unnamed    |
      | everywhere |

  # Guards against a safe request that is sent to one more upstream than it
  # needs.
  Scenario: A safe request waits for the answer to its own send
    When a caller asks for "/browse/a" with fault "repeat-late" at one upstream
    Then the status is 200 and the answer names the request
    And it ran 1 times
