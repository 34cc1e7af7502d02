Feature: Orders over real processes under faults
  Guards against an order that runs twice, an answer that says not-run about
  work that ran, a wrong or cut body that passes for whole, and a request that
  ends without an answer; and against checks that see none of this.

  Scenario: Orders run at most once while everything fails
    When callers send 3000 requests under faults, seed 1
    Then no check of the orders fails

  Scenario Outline: A broken rule for orders is noticed
    When callers send 1200 requests under faults to instances with <fault>
    Then a check of the orders fails with "<text>"

    Examples:
      | fault                   | text           |
      | claims granted unstored | ran 2 times    |
      | losses repeated         | ran 2 times    |
      | losses called not run   | but it ran     |

