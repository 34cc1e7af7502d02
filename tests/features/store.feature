Feature: Operators' writes
  Guards against lost updates, outcomes reported wrongly after a lost reply,
  and changes that are missing from the audit trail.

  Background:
    Given a fake platform

  Scenario: The generation rises only when the spec changes
    When region sul is put with capacities 400, 400, 500
    Then its generations were 1, 1, 2
    And the audit trail holds the verbs declare, update, update

  Scenario: Two updates from one version have one winner
    Given region sul is declared
    When two updates from its version run at the same time
    Then one succeeds and one ends with StaleVersion

  Scenario: Declaring an existing resource changes nothing
    Given region sul is declared
    When region sul is put from version 0
    Then it ends with StaleVersion and the platform is unchanged

  Scenario: A deleted resource leaves a tombstone and can be declared again
    Given region sul is declared
    When region sul is deleted
    Then its tombstone is stored and a further delete ends with ResourceNotFound
    And a new declaration continues at generation 3

  Scenario Outline: Faults of the platform during an update
    Given region sul is declared
    When it is updated while the puts meet <faults> and then <then>
    Then it ends with <outcome>

    Examples:
      | faults | then | outcome |
      | lost | nothing | success |
      | late | nothing | success |
      | late | another writer wins | StaleVersion |
      | lost | another writer follows | success |
      | lost | two writers follow with audit | success |
      | lost | two writers follow without audit | OutcomeUnknown |
      | down | nothing | PlatformUnavailable |
      | late, down, down, down, down | nothing | OutcomeUnknown |

  Scenario: A late copy of a write cannot take effect after its outcome is told
    Given region sul is declared
    When it is updated while the puts meet late and then nothing
    Then the late copy is refused by its version

  Scenario: The audit trail is completed once
    Given region sul is declared while audit entries cannot be written
    When two relays complete the audit trail
    Then the first wrote 1 entry, the second 0, and the entry names ana

  Scenario: Old tombstones are purged
    Given region sul is declared
    When region sul is deleted
    Then a purge after the time to keep removes it and an earlier one does not
