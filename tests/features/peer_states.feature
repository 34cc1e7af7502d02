Feature: Membership, documents, notices and the status tree
  Guards against documents going backwards, live instances lost for ever,
  instances that never agree again after faults, and ages younger than the
  truth.

  Scenario Outline: Invariants hold under faults and all agree afterwards
    When 24 instances run with seed <seed> for 4 rounds of 2500 steps with faults
    Then at least 10000 steps ran and all agreed within 30 periods each time

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 20   |
      | 34   |

  Scenario Outline: The checks find broken variants
    Then a variant that <fault> fails the run with seed 1

    Examples:
      | fault                      |
      | takes any version          |
      | does not refute            |
      | does not probe             |
      | does not repair            |
      | counts ages from the reply |

  Scenario: A large fleet agrees and its ages stay true down the tree
    When 80 instances run with seed 4 for 1 rounds of 600 steps with faults
    Then all agreed within 30 periods each time

  Scenario: Repair by digest gives the same as a full exchange
    Then documents repaired by digest equal the naive merge in a bounded number of rounds
    And members repaired by digest equal the naive merge in a bounded number of rounds

  Scenario: Summaries merged along any tree equal the sum
    Then summaries merged in any grouping equal the naive sum

  Scenario: The tree survives failed parents
    Then a tree of 100 nodes counts every live node within 8 periods after any 30 fail

  Scenario: Expired notices do not come back
    Then a late copy of an expired notice is not taken

  Scenario: A renewal is not lost to a shorter one
    Then the longer of two renewals made at once is kept
    And a new instance publishes over a notice that expired before

  Scenario: A paused instance does not suspect the others
    Then an instance that was paused for 60 seconds suspects nobody

  Scenario: A cut that ended removes no member that is heard
    Then a claim that a heard member is gone is passed to it and not applied

  Scenario: Malformed messages of an authenticated peer are refused
    Then arbitrary messages raise only the documented errors and the state still works
