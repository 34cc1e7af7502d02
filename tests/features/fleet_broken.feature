Feature: Broken rules in a fleet under faults
  Guards against a check of the fleet's limits that sees nothing. Apart from
  the other scenarios of the fleet so that both run side by side.

  Scenario Outline: A broken rule is noticed
    When a fleet runs with <fault>, seed <seed>, for at most 5000 steps
    Then a limit was exceeded

    Examples:
      | fault                 | seed |
      | R1 ignored            | 1    |
      | R2 wait left out      | 1    |
      | loan wait left out    | 2    |
      | deadline ignored      | 2    |
      | any one witness       | 5    |
      | expiry from receipt   | 8    |
      | early acknowledgement | 1    |
