Feature: Keys that were withdrawn are out of use everywhere in time
  Guards against a request that an instance lets pass later than 5 s after the
  acknowledgement of the configuration that took its key away, whatever
  happens to machines, links and the store in between.

  Scenario: No instance lets a withdrawn key pass later than the bound
    Given instances, links and a store that fail, stop and go back at random
    Then no request with a withdrawn key passes after 5 s
    And many requests pass while the key is held

  Scenario: A quiet fleet uses keys all the time, with no more reads
    Given three instances in simulated time
    When 60 s pass
    Then no request was refused
    And the store was read at most 1.8 times a second

  Scenario: An instance whose news prove nothing reads for itself
    Given three instances in simulated time
    When the news to "i1" take 3 s
    And 30 s pass
    Then no request was refused

  Scenario Outline: A withdrawn key at an instance that is <trouble>
    Given three instances in simulated time
    When "i1" is <trouble> and the key is withdrawn
    And 20 s pass
    Then no request with a withdrawn key passed after 5 s
    When all troubles end and the key is added again
    Then each instance lets it pass within 2.5 s

    Examples:
      | trouble |
      | cut off from the store and the others       |
      | cut off from the store                      |
      | frozen for 8 s                              |
      | suspended for 8 s                           |
      | suspended for 0.45 s again and again        |
      | on links that take 6 s                      |
      | started on links that take 6 s, and cut off |
      | cut off and started from a peer's copy      |
      | started, suspended until the peer answered  |
      | the only one that starts, in a former era   |

  # Guards against the withdrawal that the store lost and no instance had read.
  Scenario: What was read from a store that went back proves nothing at first
    Given three instances in simulated time
    When the key is withdrawn and the store goes back at once
    And 20 s pass
    Then no request with a withdrawn key passed after 5 s

  # Guards against a read that looks as young as its answer.
  Scenario Outline: A read that was sent before a suspension is as old as it is
    Given a reader with a read sent at 101 s
    When its machine is suspended for <seconds> s before it takes the answer
    Then the copy is proven to be at least <seconds> s old
    And so are its news

    Examples:
      | seconds |
      | 8       |
      | 0.3     |

  Scenario: A message proves when it was sent only by a round trip
    Given a message of process 1 that waited 8 s before it was read
    Then it proves nothing
    When process 1 tells its clock in a round trip of 0.04 s
    Then that message proves an age of 8 to 8.1 s
    And a message of process 2 proves nothing
    And a message from the future proves nothing, and none after it
