Feature: Room and time go to the requests that need them most

  # Guards against callers held beyond a time-out that was shortened.
  Scenario Outline: <kind> in flight ends at the time-out that a version sets
    Given an upstream that takes 5 s and a time-out of 4 s
    When a version with a time-out of <timeout> s comes 0.4 s after <kind>
    Then it gets 504 within 0.5 s of <end> s and is sent once

    Examples:
      | kind              | timeout | end |
      | a safe request    | 0.9     | 0.9 |
      | an unsafe request | 0.9     | 0.9 |
      | an unsafe request | 0.2     | 0.4 |
