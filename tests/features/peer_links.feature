Feature: Authenticated streams between instances
  Guards against forged, replayed or oversized input, unbounded buffers and
  messages lost while keys are rotated.

  Scenario: An instance with another secret gets no link
    Given instances a and b whose secrets differ under the same key id
    When a asks b
    Then the ask fails as not sent and a counts wrong key
    And a logs one failed handshake for wrong key

  Scenario: A request and its reply cross a link opened on demand
    Given instances a and b
    When a asks b
    Then the reply is right

  Scenario: Bytes of open and of closed links are counted
    Given instances a and b
    When a asks b
    Then both count the same bytes, before and after the link closes

  Scenario: Requests that cannot be answered end with an error
    Given instances a and b
    Then an unknown type, a faulty handler, a silent handler and an unknown instance each end the request once

  Scenario Outline: A changed stream is closed and nothing of it is delivered twice
    Given instances a and b with a relay that <fault> the third message
    When a sends 6 numbered messages
    Then b received a prefix of them in order and counts <reason>

    Examples:
      | fault     | reason                   |
      | repeats   | frame is out of sequence |
      | swaps     | frame is out of sequence |
      | drops     | frame is out of sequence |
      | corrupts  | frame is not authentic   |
      | reflects  | frame is not authentic   |

  Scenario: A recorded stream is refused when it is played again
    Given instances a and b with a relay that records
    When the recorded stream is sent to b again
    Then b counts wrong key and received nothing twice

  Scenario: Raw garbage before authentication is closed at once
    Given instances a and b
    Then each kind of garbage closes its own connection within a second
    And a connection that sends nothing is closed by the handshake time-out

  Scenario: Nesting and the number of containers are bounded
    Then deep and wide payloads are refused in less time than a plain one of the largest size takes, times 20

  Scenario: Arbitrary bytes never raise anything but PeerError
    Then arbitrary bytes and arbitrary chunks are handled

  Scenario: A peer that does not read is disconnected
    Given instances a and b
    When b stops reading while a sends 40 messages of 500000 bytes
    Then a closed the link for peer does not read and buffered no more than the bound

  Scenario: A restarted instance is connected again
    Given instances a and b
    When b is stopped for 1 second and started on the same port
    Then a is connected to b again within 6 seconds

  Scenario: A cut without a reset is noticed and healed
    Given instances a and b with a relay that can be cut
    When the relay passes nothing for 9 seconds
    Then b counted silent and an ask works again within 8 seconds

  Scenario: Both sides connecting at once end with one link
    Given instances a and b
    When both connect at once
    Then one link remains after the retirement time

  Scenario: Keys are rotated without loss
    Given instances a and b
    When the key is rotated in three steps while each asks the other 200 times
    Then every ask got its reply and both links use the new key
