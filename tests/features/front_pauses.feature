Feature: Upstreams that ask for a pause
  Guards against requests to an upstream that rejected one with the time for
  which it wants nothing more from that instance.

  # Guards against more than two requests in the time that an upstream asked
  # an instance to stay away for.
  Scenario: An upstream that asks for a pause is left alone
    Given four instances in front of four upstreams and 16 callers
    When an upstream asks for a pause of 3 s in all responses for 9 s
    Then each instance sends it at most 2 requests in such a pause
    And nearly all requests are answered

  Scenario: An upstream is used again after its pause
    Given four instances in front of four upstreams and 6 callers
    When an upstream asks for a pause of 1.5 s in all responses for 4 s
    Then it gets as many requests as before within 4 s

  Scenario: Requests whose upstreams all pause are rejected at once
    Given four instances in front of four upstreams and 6 callers
    When all upstreams ask for a pause of 4 s in all responses for 4 s
    Then requests in the pause are rejected at once with the time left of it
    And the times at which they may return are spread

  Scenario: A pause outlasts the upstream's entry
    Given two upstreams of one service behind an instance
    When upstream "u1" asks for a pause of 6 s in a response
    And its entry is removed and written again 0.8 s later
    Then after 1 s no request reaches "u1"

  # Guards against an upstream that is never used again, or a fault, for a
  # value that no upstream should send.
  Scenario Outline: A time of "<value>" is read as <seconds>
    Then the retry time "<value>" is read as <seconds>

    Examples:
      | value                         | seconds |
      | 3                             | 3       |
      | 0.75                          | 0.75    |
      | 0                             | nothing |
      | -5                            | nothing |
      | nan                           | nothing |
      | inf                           | nothing |
      | 1e300                         | 3600    |
      | 99999999999999999999          | 3600    |
      | Wed, 21 Oct 2015 07:28:00 GMT | nothing |
      | soon                          | nothing |

  Scenario: A request on its way when the pause begins goes elsewhere
    Given an exchange that waits for a connection to a pausing upstream
    When the connection is ready after the pause has begun
    Then the request goes to another upstream and the connection is kept

  # Guards against requests in a pause that the upstream asked for in the
  # response to an order whose caller had left.
  Scenario: A pause counts although the caller of the request has left
    Given an order under way at an upstream, whose caller has left
    When the upstream rejects it and asks for a pause of 3 s
    Then the upstream is left alone for 3 s
