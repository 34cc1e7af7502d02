Feature: Rules of routing, limits and membership of a front instance
  Guards against overload that feeds itself, fleet-wide bounds broken by
  instances that each keep their own, and stale knowledge that comes back.

  Scenario: The longest prefix of the right host wins
    Given routes for "/a/", "/a/b/" and the root of another host
    Then "/a/b/c?x" on the first host goes to "/a/b/"
    And "/a/c" on the first host goes to "/a/"
    And "/ab/c" on the first host has no route
    And "/a/b" on the first host goes to "/a/"

  Scenario: A split keeps its weights in every short span
    Given a split of 70, 20 and 10
    Then any 50 turns in a row are within 1 of the weights

  Scenario: Objects stay with their owners when an upstream leaves
    Given 16 upstreams of equal weight and 500 objects
    When one upstream leaves
    Then only objects of that upstream have another first owner

  Scenario: Owners are taken in proportion to the weights
    Given 4 upstreams of weights 1, 1, 2 and 4 and 4000 objects
    Then each first owns its share of the objects within a fifth

  Scenario: A region short of room places the rest where room is left
    Given regions with a need of 10 each and room for 4, 12 and 14
    Then the first keeps 0.4 and gives 0.2 and 0.4 to the others
    And the others keep everything

  Scenario: The fleet's size is never assumed too small for the budget
    Given 9 instances that learn of each other within 2 s of their start
    When some are killed and others start at random times for 60 s
    Then none assumes fewer than those that were known in the last 10 s

  Scenario: A single rejection that tells no load shuts no upstream out
    Given an upstream with 4 slots that tells no load
    When it rejects 1 request as full
    Then it has room for a request 0.3 s later
    When it rejects 2 more requests as full
    Then it has no room for a request 0.3 s later
    And it has room again 2 s later

  # Guards against requests at an upstream that now serves another service.
  Scenario: An entry that changes its service is used for the new one only
    Given upstreams "u1" and "u2" of one service that got requests
    When the entry of "u1" names another service
    Then requests of the first service go to "u2" only

  Scenario: Parts of the retry budget add up to the fleet's
    Given 9 instances that each repeat as often as they may
    When each has 200 requests in 10 s, unevenly in time
    Then all of them together repeat at most 0.2 of the requests and 58

  Scenario: A cold upstream is warmed by few, within its bound
    Given 12 instances that send to a cold upstream as often as they may
    When the bound is 8.15 requests a second
    Then at most 8 requests arrive in any second and some do in each

  # Guards against senders that each took another fleet for the whole one.
  Scenario Outline: A cold upstream keeps its bound while <event>
    Given 12 instances that send to a cold upstream as often as they may
    When the bound is 21.5 requests a second and <event>
    Then at most 21 requests arrive in any second and some do in each

    Examples:
      | event                                              |
      | both its senders are cut off                       |
      | all start and learn of each other only in 1.5 s    |

  Scenario: Readers follow each other when one falls silent
    Given 21 instances of a region that know each other
    When all hear the first reader
    Then only the first one reads, at most twice a second
    When the first two fall silent
    Then the copies of the others are never older than 1.6 s

  Scenario: The copy of the store never goes back
    Given histories of a store that are told late, twice and in parts
    Then the copy equals the store's keys at its revision

  # Guards against a drain that an instance never hears of because the news of
  # one reader, which leaves out what it knows, overtook those of another.
  Scenario: Copies of the same revision agree, whoever told them
    Given copies that read a store at any time and tell what is new
    Then each copy has the store's states at its revision

  # Guards against copies that look fresh and complete but lack changes.
  Scenario: News reach to the revision and the time of the read, not further
    Given a reader with a read sent at 101.0 s
    When a peer tells revision 60 of 101.4 s before the answer with revision 55
    Then the reader's news have revision 55 and are of 101.0 s

  Scenario: A lapsed entry that returns unchanged is told
    Given a copy that keeps the lapsed key "servers/a" after an outage
    When it reads that "servers/a" is back as it was
    Then it tells "servers/a"

  Scenario: A copy with lapsed keys does not bring them back elsewhere
    Given a copy that keeps the lapsed key "servers/a" after an outage
    And a copy of a peer that saw "servers/a" deleted
    When the peer takes the first copy's list
    Then the peer does not know "servers/a"
    And after 2.2 s the first copy does not either

  Scenario: After a cut of one instance its old knowledge is dropped at once
    Given a copy that keeps the lapsed key "servers/a" after an outage
    When a peer tells that its copy has been fresh for 2.2 s
    Then the lapsed key "servers/a" is dropped at once

  Scenario: Reports of a former incarnation are ignored
    Given an upstream that started anew under its id
    When a report of its former start arrives late
    Then the newer one stays in use

  Scenario: A drain is not taken back
    Given an upstream that reported that it is leaving
    When an older report without the drain is listed again
    Then it stays out of use, also after its entry went and came back

  # Guards against news that look fresh after the links of a choked instance
  # were opened again, or that look old after its machine started again.
  Scenario Outline: The delay of a message is told by the others: <sent> at <now>
    Given messages of 100 s and 101 s by the sender's clock took 0.1 s
    When one of <sent> s by the sender's clock arrives at <now> s
    Then it was under way for <delay> s beyond the usual

    Examples:
      | sent | now   | delay |
      | 102  | 2.1   | 0     |
      | 102  | 5.1   | 3     |
      | 3    | 5.1   | 0     |
      | 131  | 31.1  | 0     |
      | 200  | 100.1 | 0     |
