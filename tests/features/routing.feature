Feature: Routing decisions
  Guards against wrong sites, blocks that change place without need, and
  movements that pass their caps.

  Scenario: The block map agrees with trying every block
    Then for any documents and changes the block map equals the naive search

  Scenario: A movement re-maps only blocks of its source
    Then raising a moved share only moves blocks from its source to its target

  Scenario: Segments get their declared shares
    Then 20000 blocks fall into segments within 2 percent of the shares

  Scenario: The older system's blocks at a lower share are a subset
    Then lowering the older system's share only releases blocks

  Scenario: A movement never passes its cap, its room or its step
    Then for any signals each step of a movement stays within its bounds

  Scenario: A movement steps back from a target that does not cope
    Given a movement that reached a share of 0.3
    When the target sheds load for three step periods
    Then the moved share is lower and the reason is shown

  Scenario: A movement holds while measurements are missing
    Given a movement that reached a share of 0.3
    When no measurement arrives for an hour
    Then the moved share stays the same

  Scenario: Changes of shares do not hold up a movement
    Then a step is in force once all instances have the plan that made it

  Scenario: Noise does not change the order of places
    Then 1000 measurements with 15 percent noise never change the order

  Scenario: A silent instance keeps a drain from being empty
    Then a drain with a missing report is not empty

  Scenario: Loans beyond a share that was cut do not stop the choice
    Then an upstream with free slots and no share of its own is chosen

  Scenario: Callers of a lost region are given an instance elsewhere
    Then a look-up answer names an instance of another region
    And suspect instances come after those of another region

  Scenario: A look-up is not held until near its deadline
    Given a look-up that waits for a slot with a deadline in 10 seconds
    When no slot becomes free for 1.1 seconds
    Then the look-up is given up on and a waiting order is not

  Scenario: A movement does not wait for plans that only change shares
    Then a step is in force once every instance applies its plan or a later one

  Scenario: A waiting request counts once in the demand for its place
    Given an instance without free slots
    When one request waits for 20 dispatch periods
    Then the demand for its place is that of one request

  Scenario: A movement needs the share of its source
    Then a movement without a traffic split holds and says so

  Scenario: A waiting retry borrows slots that it can use
    Given an instance without free slots
    When a request that tried "u" waits while "v" refuses connections
    Then loans are asked for the slots of "w" only
