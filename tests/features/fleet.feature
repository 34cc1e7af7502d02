Feature: A fleet under faults
  Guards against any sequence of faults that makes the use that is possible
  over all instances exceed a limit, and against a check that sees nothing.

  Scenario Outline: No limit is exceeded and shares come back
    When a fleet of <deployment> runs 10000 steps with faults, seed <seed>
    Then 150 seconds after the faults at least 95% of each limit is usable

    Examples:
      | deployment   | seed |
      | ferromodelos | 7    |
      | kedjeverk    | 7    |
