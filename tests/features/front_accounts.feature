Feature: Client accounts and their keys
  Guards against requests that run for somebody who holds no key or another
  account's, and against keys that leave the instance.

  # Guards against a key that upstreams get, and a name that a caller chose.
  Scenario: Upstreams get the account's name instead of the key
    Given an instance with accounts "ada" and "bo"
    When a request has the key of "ada" and states the account "bo"
    Then it ran for "ada" and its key was not passed on

  Scenario: Requests without one valid key are refused and run nothing
    Given an instance with accounts "ada" and "bo"
    Then these requests are answered and do not run
      | request                | status |
      | no key                 | 401    |
      | an empty key           | 401    |
      | two keys               | 401    |
      | the same key twice     | 401    |
      | a key of 9,000 bytes   | 401    |
      | a key of 64 KiB        | 431    |
      | a key beyond ASCII     | 401    |
      | a key with a space     | 401    |
      | another account's name | 401    |

  # Guards against a key that was just added and is denied for good.
  Scenario: A key that no version held is denied once a newer copy lacks it
    Given an instance with accounts "ada" and "bo"
    When a request presents an unknown key
    Then it is answered 503 and did not run
    And later ones with that key are answered 401

  Scenario: A key that a newer version lacks is refused at once
    Given an instance with accounts "ada" and "bo"
    When the key of "bo" is withdrawn
    Then a request with the key of "bo" is answered 401
    And a request with the key of "ada" runs for "ada"
    When the key of "bo" is added again
    Then a request with the key of "bo" runs for "bo"

  # Guards against a retry that raises once the accounts are gone.
  Scenario: A request goes on when the configuration loses its accounts
    Given an instance with accounts "ada" and "bo"
    When a version without accounts comes while a request of "ada" runs
    Then the request may be sent again

  # Guards against deployments without accounts that lose headers.
  Scenario: Without accounts a caller's headers reach the upstream
    Given an instance without accounts
    When a request has the key of "ada" and states the account "bo"
    Then the upstream gets both headers

  Scenario: A public route needs no key and passes none on
    Given an instance with accounts "ada" and "bo"
    When a request on the public route has the key of "ada"
    Then it ran for "nobody" and its key was not passed on

  # Guards against a withdrawn key in use at an instance that cannot know.
  Scenario: Keys are not used while the copy is too old to prove them
    Given an instance with accounts "ada" and "bo"
    When the store is down for 4.2 s
    Then a request with the key of "ada" is answered 503
    And a request on the public route runs

  Scenario: A cut-off instance sends an account's request through another one
    Given four linked instances with accounts "ada" and "bo"
    When the first loses its path to the upstreams
    Then its requests with the key of "ada" run for "ada" elsewhere

  Scenario: Keys stand in no log line, metric or answer
    Given an instance with accounts "ada" and "bo"
    When requests with known, unknown and malformed keys were answered
    Then no log line, metric or answer holds a key

  Scenario Outline: Homes of the route "<route>" and of the account "<account>"
    Then homes "<route>" and "<account>" allow "<both>" of sul, norte and leste

    Examples:
      | route     | account     | both            |
      | all       | all         | leste,norte,sul |
      | sul       | all         | sul             |
      | all       | norte       | norte           |
      | sul,norte | norte,leste | norte           |
      | sul       | norte       | none            |

  Scenario Outline: A copy of proven age <age> s under a bound of <bound> s
    Then a copy of proven age <age> s under a bound of <bound> s proves "<proved>"

    Examples:
      | age | bound | proved  |
      | 3.9 | 5     | valid   |
      | 4.1 | 5     | nothing |
      | inf | 5     | nothing |
      | 99  | no    | valid   |
      | inf | no    | valid   |
