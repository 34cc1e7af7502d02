Feature: The platform's client and stand-in
  Guards against writes reported wrongly, repeated silently or sent in a
  burst after an outage.

  Scenario: Compare-and-swap, lists, watches and leases work
    Given an embedded platform
    Then compare-and-swap refuses a stale version and reports the current one
    And a list is paged and a watch returns later changes and deletions
    And keys end with their lease and a compacted watch says so

  Scenario: A refused connection is reported as certainly not applied
    Given an embedded platform
    When the platform is down by "refuse"
    Then a put fails with PlatformUnavailable and has no effect

  Scenario: A call that is never answered has an unknown outcome
    Given an embedded platform
    When the platform is down by "silent"
    Then a put fails with OutcomeUnknown and has no effect

  Scenario: A write whose reply is lost is sent once and reported as unknown
    Given an embedded platform
    When the next write loses its reply
    Then a put fails with OutcomeUnknown and took effect once

  Scenario: Reconnection after an outage is bounded
    Given an embedded platform
    When the platform refuses for 2 s while 200 calls a second are made
    Then few connections were tried and the platform is used again

  Scenario: The instance list lags and survives an outage
    Given an embedded platform
    Then a registered instance appears and disappears after the lag

  Scenario: A write that is executed late holds to its condition
    Given an embedded platform
    When two writes on the same condition are lost and run 0.5 s late
    Then only one of them took effect

  Scenario: A value under a lease that ended is not written late
    Given an embedded platform
    When a write is lost and runs 0.5 s late, after its lease has ended
    Then it took no effect

  Scenario: Entries that are no documents are left out of the list
    Given an embedded platform
    When the list holds an entry with broken bytes beside a good one
    Then the list has the good one only
