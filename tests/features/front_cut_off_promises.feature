Feature: What instances that are cut off from the upstreams promise
  Guards against requests that run twice, or after they were refused, on their
  way through another instance, and against callers who wait for nothing.

  Background:
    Given four instances in front of two services of four upstreams

  Scenario Outline: Orders at cut-off instances keep their promises: <kind>
    When 3 instances are cut off for 6 s so that connections <kind>
    Then no order has run twice and none that was refused has run

    Examples:
      | kind    |
      | hang    |
      | reset   |
      | refuse  |
      | live on |

  # Guards against requests that wait where nobody can help.
  Scenario Outline: With all instances cut off requests are rejected: <kind>
    When 4 instances are cut off for 8 s so that connections <kind>
    Then from 3 s on each try is rejected within 0.5 s with a time
    And none of these has run

    Examples:
      | kind   |
      | hang   |
      | reset  |
      | refuse |

  # Guards against accepted requests that a planned stop of the instance that
  # helps cuts off.
  Scenario: An instance that helps stops as planned
    When 1 instance is cut off and this is known
    And two of the others stop in turn while orders take 0.5 s
    Then all tries at the cut-off instance are served or rejected as not run

  # Guards against an answer that broke off halfway and passes for a success.
  Scenario: An instance that helps crashes halfway
    When 1 instance is cut off and this is known
    And the others lose all connections again and again
    Then each success at the cut-off instance is whole
    And no order has run twice and none that was refused has run

  # Guards against a paused process that runs what was given up meanwhile.
  Scenario: An instance that helps stands still for a while
    When 1 instance is cut off and this is known
    And the others stand still for 3 s
    Then no order has run twice and none that was refused has run

  # Guards against requests that wait at an instance that stands still while
  # others could help.
  Scenario: One of the instances that help stands still for a while
    When 1 instance is cut off and this is known
    And the nearest one stands still for 3 s
    Then 0.95 of the tries at the cut-off instance are served meanwhile
    And no order has run twice and none that was refused has run
