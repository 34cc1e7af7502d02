Feature: News within a region
  Guards against readers whose own traffic grows with the region, instances
  that no news reach, and a region that reads the store once for each instance.

  Scenario Outline: Streams form a tree with short ways
    Given a region of <count> instances in <zones> zones
    Then every instance is reached from every other
    And both ends of each stream know of it
    And no instance has more than <links> streams
    And between zones there are <between> streams

    Examples:
      | count | zones | links | between |
      | 3     | 2     | 2     | 2       |
      | 6     | 2     | 5     | 9       |
      | 7     | 2     | 9     | 1       |
      | 26    | 3     | 10    | 2       |
      | 100   | 2     | 9     | 1       |
      | 725   | 3     | 10    | 2       |

  Scenario: The loss of an instance leaves the others in few parts
    Given a region of 100 instances in 2 zones
    Then the loss of any one leaves at most 10 parts

  Scenario: One instance reads for a region of nine
    Given nine instances of one region with a stand-in store
    When upstream "u1" reports that it is leaving
    Then all instances know it within 1.5 s
    And a second passes with at most 6 reads of the store

  Scenario: The reader of a region is killed
    Given nine instances of one region with a stand-in store
    When the first reader is killed
    And upstream "u1" reports that it is leaving
    Then all instances know it within 2.5 s

  Scenario: Changes missed in an outage are told as a difference
    Given nine instances of one region with a stand-in store
    When the store is "silent" for 3.5 s
    And upstream "u1" reports that it is leaving
    Then all instances know it within 2.5 s
    And no instance asked another for its whole copy
