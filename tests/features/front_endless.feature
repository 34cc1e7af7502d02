Feature: Upstreams that send bytes that are no answer, without end
  Guards against callers that wait for nothing, and against memory and time
  that such bytes take from other requests, until a connection is closed.

  # Guards against a request that is held until its deadline by a response
  # that never begins.
  Scenario Outline: A request whose owner sends <fault> is answered elsewhere
    Given two upstreams of one service behind an instance
    When a caller asks for "/browse/a" with fault "<fault>" at one upstream
    Then the status is 200 within 1 s
    And the upstream's connection is closed

    Examples:
      | fault            |
      | endless-interim  |
      | endless-status   |
      | endless-header   |
      | endless-headers  |
      | endless-foreign  |
      | endless-chunk    |
      | endless-trailers |

  Scenario Outline: An order whose owner sends <fault> is not sent again
    Given two upstreams of one service behind an instance
    When a caller orders with fault "<fault>" at one upstream
    Then the status is 502 within 1 s
    And it ran 1 times

    Examples:
      | fault           |
      | endless-interim |
      | endless-foreign |

  Scenario: An upstream that answers without end is left out at once
    Given two upstreams of one service behind an instance
    When a caller asks for "/browse/a" with fault "endless-interim" at one upstream
    Then that upstream is left out

  Scenario: A whole answer with bytes without end behind it is delivered
    Given two upstreams of one service behind an instance
    When a caller asks for "/browse/a" with fault "endless-behind" at one upstream
    Then the status is 200 and the answer names the request
    And the upstream's connection is closed

  Scenario Outline: An honest <framing> answer of 16 MiB is delivered whole
    Given two upstreams of one service behind an instance
    When a caller asks for an honest <framing> answer of 16777216 bytes
    Then it gets all of them

    Examples:
      | framing   |
      | measured  |
      | chunked   |

  # Guards against responses that together take the memory of the process.
  Scenario Outline: 100 <framing> bodies without end take little memory
    Given a pool of connections with 100 <framing> bodies without end under way
    When each has sent <mb> MB
    Then the pool holds at most 24 MB of them
    And a small response on another connection is complete

    Examples:
      | framing   | mb |
      | unframed  | 2  |
      | chunked   | 2  |

  Scenario: Bodies in chunks of a byte are given up
    Given a pool of connections with 5 tiny bodies without end under way
    When each has sent 1 MB
    Then all of them were given up

  Scenario: A store that answers without end ends the call
    Given a client of a store that sends interim responses without end
    Then a call fails within 1 s and its connection is closed
