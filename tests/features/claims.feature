Feature: Claims
  Guards against one idempotency key granted twice, and against a claim
  reported as not made that is stored.

  Scenario: A key is granted at most once, whatever fails
    Then no interleaving of two owners grants a key twice

  Scenario: An owner that ignores a failed compare-and-swap is caught
    Then the same search fails when an owner ignores a failed compare-and-swap

  Scenario: An owner that takes a lost reply for a failure is caught
    Then the same search fails when a lost reply is taken for a failure

  Scenario: Repeats, reused keys and releases get their results
    Given one owner on a simulated platform
    Then a repeat is taken, another request is key_reused, a release frees it

  Scenario: Claims of a busy second form few writes
    Given one owner on a simulated platform
    Then 1000 claims a second need at most 36 writes a second for one shard

  Scenario: Claims survive the owner and expire after their time
    Given one owner on a simulated platform
    Then a new owner knows 3000 claims and forgets them and their segments

  Scenario: An outage refuses new claims as not made and known keys are known
    Given one owner on a simulated platform
    Then during an outage a new key is unavailable and a known one is taken

  Scenario: Claims run at the holder of the shard's duty
    Given two instances with duties on an embedded platform
    Then a claim made at either instance is granted once and seen by both

  Scenario: A former owner's late segment is removed while the owner stays
    Given one owner on a simulated platform
    Then a late segment is removed and a later owner's segments never are

  Scenario: The memory of claims is bounded and no claim is forgotten for it
    Given one owner on a simulated platform
    Then claims beyond the limit are refused until older ones expire
    And as many claims as allowed by default take at most 64 MB
