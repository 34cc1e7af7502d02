Feature: Operators' writes
  Guards against lost updates, outcomes reported wrongly after a lost reply,
  and changes that are missing from the audit trail.

  Background:
    Given a fake platform

  Scenario: The generation rises only when the spec changes
    Then puts of capacities 400, 400, 500 have generations 1, 1, 2 and audit entries

  Scenario: Two updates from one version have one winner
    Given region sul is declared
    Then of two updates at the same time one succeeds and one is stale

  Scenario: Declaring an existing resource changes nothing
    Given region sul is declared
    Then declaring it again is stale and leaves the platform unchanged

  Scenario: A deleted resource leaves a tombstone and can be declared again
    Given region sul is declared
    Then a delete stores a tombstone, a further one finds nothing and a declaration continues at generation 3

  Scenario Outline: Faults of the platform during an update
    Given region sul is declared
    When an update meets <faults> and then <others> other writers with audit <audit>
    Then it ends with <outcome>

    Examples:
      | faults | others | audit | outcome |
      | lost | 0 | missing | success |
      | late | 0 | missing | success |
      | late | 1 | missing | StaleVersion |
      | lost | 1 | complete | success |
      | lost | 2 | complete | success |
      | lost | 2 | missing | OutcomeUnknown |
      | down | 0 | missing | PlatformUnavailable |
      | late, down, down, down, down | 0 | missing | OutcomeUnknown |

  Scenario: A late copy of a write cannot take effect after its outcome is told
    Given region sul is declared
    When an update meets late and then 0 other writers with audit missing
    Then it ends with success
    And the late copy is refused by its version

  Scenario: The audit trail is completed once
    Then after a declaration without audit entry the first of two relays writes it and the second nothing

  Scenario: A relay holds no second copy of the documents
    Then a relay's head has the digest of the documents it passed on and it keeps none of their values

  # The relay counted tombstones, the instances do not: after a deletion no
  # instance knew its copy to be complete for a day.
  Scenario: A relay that passed a deletion on agrees with the instances
    Then a relay's head after a deletion has the digest of the others' copy

  # A relay that starts after the store went back cannot tell that it did.
  Scenario: A relay vouches for the store once it has settled
    Given a relay that has just read the store
    Then it tells of the reads that it sends 5 s later, not of earlier ones
    When the store comes back from a copy without region sul
    Then the same holds for its digest of that copy

  # Guards against one odd document after which no instance hears of any
  # further change.
  Scenario: Odd documents of another writer stop no relay
    Given a relay of a store in which another writer leaves odd documents
    Then it goes on to read, and publishes the documents written after them
    And its head has the digest of what it published

  # Guards against an odd document after which no operator's call is answered.
  Scenario: Odd documents of another writer are told to operators
    Then a write to each odd document ends with an error at once
    And the audit trail is completed behind odd documents

  # Guards against one odd entry after which no new member is heard of.
  Scenario: Odd entries of another writer hide no instance
    Then the platform's list names its real members only

  Scenario: Old tombstones are purged
    Given region sul is declared
    Then a purge removes its tombstone after the time to keep, not before
