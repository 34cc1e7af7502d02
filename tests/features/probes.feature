Feature: Upstreams' own reports
  Guards against reports that stop the loop, cost more with more upstreams, or
  are not heard.

  Scenario: Load and leaving are heard within two periods of a lagging report
    Given 3 upstreams that are probed at /load
    When the first one is drained
    Then its leaving and the load of all are heard within 4 seconds

  Scenario: Malformed answers are refused
    Then any bytes give a report or a ValueError
