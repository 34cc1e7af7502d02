Feature: Many requests under faults
  Guards against faults that only show when resets, restarts, drains, crashes,
  aborts and resends coincide. JASMINEHOLD_RANDOM_REQUESTS and
  JASMINEHOLD_RANDOM_SEED change the size and the seed.

  Scenario: Answers are exact and orders run once under random faults
    When 3000 random requests run with seed 1
    Then no promise was broken and every kind of outcome occurred
