Feature: The command line
  Guards against scripts that take a refused, lost or unsent change for a
  made one.

  Background:
    Given an operators' API
    And files with resources and settings

  Scenario Outline: Exit statuses
    When the command "<command>" runs
    Then it exits with <status> and prints "<text>"

    Examples: SERVER is the API, DOWN a port without listener
      | command | status | text |
      | check-settings good.json | 0 | valid; place sul-1 |
      | check-settings bad.json | 2 | usage or settings: claim_shards: allowed: |
      | check-settings none.json | 2 | No such file |
      | list region --servers SERVER | 0 | NAME |
      | list region --servers DOWN,SERVER | 0 | NAME |
      | list region --servers DOWN | 3 | unreachable: 127.0.0.1 |
      | list region | 2 | give --servers or set JASMINEHOLD_SERVERS |
      | list region --servers SERVER --output yaml | 2 | --output: must be table or json |
      | list sector --servers SERVER | 1 | refused: Unknown kind |
      | list region --servers SERVER --token no | 1 | refused: A valid token |
      | get region none --servers SERVER | 1 | refused: No such resource |
      | get region A --servers SERVER | 1 | refused: The name must be |
      | delete region none --servers SERVER | 1 | refused: No such resource |
      | delete region --servers SERVER | 2 | name |
      | apply all.json --servers SERVER | 0 | place/sul-1 declared (version |
      | apply invalid.json --servers SERVER | 1 | spec.capacity_rps: must be a number |
      | apply invalid.json --servers DOWN | 1 | spec.capacity_rps: must be a number |
      | apply stale.json --servers SERVER | 1 | refused: The resource version is stale |
      | apply shapeless.json --servers SERVER | 2 | kind: must be one of |
      | audit --servers SERVER --after x | 2 | --after: must be a whole number |
      | bogus | 2 | bogus |

  Scenario: Unknown flags are refused before anything is changed
    Given the resources are applied
    When the command "delete region sul --servers SERVER --typo 1" runs
    Then it exits with 2 and prints "--typo"
    And region sul still exists

  Scenario: Applying twice changes nothing, applying a change updates
    Given the resources are applied
    When the command "apply all.json --servers SERVER" runs
    Then it exits with 0 and prints "region/sul unchanged (version 1, generation 1)"
    When the command "apply changed.json --servers SERVER" runs
    Then it exits with 0 and prints "region/sul updated (version"

  Scenario: An unknown outcome has its own exit status
    Given the resources are applied
    When a command updates it while the platform loses the outcome
    Then it exits with 4 and prints "outcome unknown: "
    When a command updates it on a server that closes after reading
    Then it exits with 4 and prints "the change may have been made"

  Scenario: Output for programs, the audit trail and the watch
    Given the resources are applied
    Then get, list, audit and watch print JSON that programs can parse

  Scenario: A watch that meets another instance lists again
    Given the resources are applied
    Then a watch that moves to another instance prints its resources anew

  Scenario: Commands of other modules are started with their arguments
    Then serve and stand-in call the run functions of their modules

  Scenario Outline: Completion scripts name the commands
    When an operator asks for the completion of <shell>
    Then the script names "check-settings", "explain" and "status"

    Examples:
      | shell |
      | bash  |
      | fish  |
