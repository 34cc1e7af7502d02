Feature: A store that comes back from an older copy
  Guards against instances that take what the store says afterwards for old
  news, and against what was acknowledged before coming undone.

  # Guards against a route that is never served because its version came at a
  # revision that had been given out before.
  Scenario: A version written after the store went back is in force everywhere
    Given a fleet of four instances whose store goes back by 300 revisions
    When the operator and the upstreams write theirs again
    And 2 s later a new version adds a route
    Then all instances serve the new route within 3 s
    And all instances know the same upstreams and members as the store

  Scenario: Two drills in a row and one within an outage lose no change
    Given a fleet of four instances whose store goes back by 300 revisions
    When the store goes back again 1 s later during an outage of 3 s
    And the operator and the upstreams write theirs again
    And 2 s later a new version adds a route
    Then all instances serve the new route within 3 s

  # Guards against a renewal that keeps the lease of another owner alive.
  Scenario: A lease of a former era is neither renewed nor revoked
    Given a fleet of four instances whose store goes back by 300 revisions
    Then all members are in the store again within 2 s
    And no lease was used outside the era in which it was granted
    And they made at most 12 calls each for that

  Scenario: A stop right after a drill revokes no lease
    Given a fleet of four instances whose store goes back by 300 revisions
    When an instance is told to stop at once
    Then no lease was used outside the era in which it was granted

  Scenario: What was acknowledged stays in force until it is written again
    Given a fleet of four instances
    And a copy of the store's data
    When upstream "u1" reports that it is leaving
    And the entry of "u2" is removed
    And the operator evacuates "sul-b"
    And version 7 without the route "browse" is in force everywhere
    And the store goes back to that copy
    Then for 1.5 s no instance uses "u1", "u2" or "sul-b" or an older version

  Scenario: An evacuation that was taken back ends in the end
    Given a fleet of four instances
    When the operator evacuates "sul-b" and all know it
    And the store goes back to a copy with it and the operator takes it back
    Then no instance takes "sul-b" for evacuated within 8 s

  Scenario: Copies agree whatever they hear of several eras, and when
    Given stores that go back at any time, and copies that hear of it in parts
    Then all copies end as the store's keys once all is written again

  Scenario: An instance of a former era changes nothing
    Given a copy of era 2 at revision 50
    When it hears changes, differences and lists of era 1 at revision 90
    Then it is as before

  # Guards against keys that a second list of the era drops too early.
  Scenario: What the store lost outlasts a second list of the era
    Given a copy of era 1 that knows "op/evacuate/a"
    When era 2 begins without it and is read again 3 s later
    Then the copy knows "op/evacuate/a"
    And not any more 5 s after the era began

  Scenario: A withdrawn key does not come back
    Given a copy of era 1 that saw "jasminehold/quarantine/aa" deleted
    When era 2 begins with "jasminehold/quarantine/aa" in the store
    Then the copy does not know "jasminehold/quarantine/aa", also 10 s later
    When era 2 has "jasminehold/quarantine/aa" written again
    Then the copy knows "jasminehold/quarantine/aa"

  # Guards against an instance that starts after a drill and denies, or uses
  # again, what its peers know better.
  Scenario Outline: An instance that starts after a drill knows what peers keep
    Given a fleet of four instances
    And a copy of the store's data
    When <change> is known everywhere
    And the store goes back to that copy while "i1" restarts
    Then for 2 s "i1" answers "not run" or knows <change>

    Examples:
      | change                       |
      | a new route                  |
      | an evacuation                |
      | the leaving of an upstream   |
      | the removal of an upstream   |
      | the removal of a quarantine  |

  # Guards against a 404 where nobody can know, and against 503 for ever.
  Scenario: No route is denied while no instance can know
    Given a fleet of four instances
    And a copy of the store's data
    When a new route is known everywhere
    And the store goes back to that copy while all instances restart
    Then for 2 s all instances answer "not run" on the new route
    When a new route is known everywhere
    Then all instances serve the new route within 3 s
    And all instances deny a route that never was within 5 s

  # Guards against a start that waits although a peer knows for certain.
  Scenario: A peer that has held its copy confirms that of one that starts
    Given a fleet of four instances
    And it has held its copy for 5 s
    When "i1" restarts
    Then "i1" serves and denies a route that never was within 0.6 s

  # Guards against two instances that take each other's list for certain.
  Scenario Outline: Only a copy that has been held confirms another
    Given a copy that has been held for <seconds> s, <how>
    When another copy starts and hears from it
    Then the other copy is <confirmed>

    Examples:
      | seconds | how                              | confirmed     |
      | 0       | without a word from a peer       | not confirmed |
      | 4.9     | without a word from a peer       | not confirmed |
      | 5       | without a word from a peer       | confirmed     |
      | 0       | confirmed by an older one        | confirmed     |
      | 5       | then without the store for 3 s   | not confirmed |
      | 4       | then in a new era for 2 s        | not confirmed |
      | 6       | then in a new era for 2 s        | confirmed     |
      | 6       | then in a new era after 3 s      | not confirmed |

  # Guards against live upstreams that drop out because a peer missed them.
  Scenario: What a peer that was behind doubts is no doubt for others
    Given a copy that has been held for 10 s without the store, and a new era
    When another copy starts and hears from it
    Then the other copy still has all that it read

  # Guards against denials by a copy that had not read the newest version.
  Scenario: No copy denies anything just after the store went back
    Given a copy that has been held for 6 s, then in a new era for 2 s
    When another copy starts and hears from it
    Then neither denies what it lacks before 5 s of the era have passed

  # Guards against requests and look-ups that are refused because each instance
  # of a fleet that starts at once waits for peers that know no more than it.
  Scenario: A fleet that starts at once in a settled era does not wait
    Given a fleet of four instances
    And it has held its copy for 7 s
    When all instances start at once
    Then each has its first list in force within 0.3 s

  Scenario Outline: A first list waits only if the store may have lost something
    Given a first list of era <era> that <says>
    Then it waits for <wait> s

    Examples:
      | era | says                            | wait |
      | 0   | says nothing                    | 0    |
      | 3   | says nothing                    | 0.6  |
      | 3   | says that era 2 is settled      | 0.6  |
      | 3   | says that era 3 is settled      | 0    |
