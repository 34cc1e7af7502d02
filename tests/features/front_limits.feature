Feature: Limits that upstreams name, through instances in front of them
  Guards against more requests to an upstream than the limit that it names for
  all instances together, because no instance read it (issue 22).

  Scenario Outline: A limit holds over all instances
    Given four instances in front of four upstreams and 6 callers
    When an upstream names a limit of <limit> a second for 8 s
    Then no 4 s hold more requests than it allows
    And nearly all requests are answered

    Examples:
      | limit |
      | 2     |
      | 0.5   |

  Scenario: A limit that is no longer named ends
    Given four instances in front of four upstreams and 6 callers
    When an upstream names a limit of 2 a second for 4 s
    Then it gets as many requests as before within 5 s

  Scenario: Requests that fit no upstream are rejected at once
    Given four instances in front of four upstreams and 6 callers
    When all upstreams name a limit of 0.5 a second for 8 s
    Then no 4 s hold more requests than it allows
    And requests that are not answered are rejected at once with a time

  # Guards against parts of a small limit that add up to more in a large fleet.
  Scenario Outline: A limit of <limit> holds for <count> instances while <event>
    Given <count> instances whose callers all want one upstream
    When it names a limit of <limit> a second and <event>
    Then no 4 s hold more requests from told instances than it allows
    And some arrive

    Examples:
      | count | limit | event                                     |
      | 3     | 0     | nothing else happens                      |
      | 9     | 1     | nothing else happens                      |
      | 9     | 1.9   | one process after another starts again    |
      | 9     | 1     | all processes start again every 5 s       |
      | 9     | 2     | half of the instances are cut off for 9 s |
      | 9     | 40    | half of the instances are cut off for 9 s |
      | 80    | 0.5   | nothing else happens                      |
      | 80    | 1     | nothing else happens for 40 s             |
      | 300   | 3     | nothing else happens for 40 s             |
      | 80    | 1     | half of the instances are cut off for 9 s |
      | 80    | 10    | one process after another starts again    |
      | 80    | 100   | half of the instances are cut off for 9 s |
      | 300   | 3     | half of the instances are cut off for 9 s |
      | 80    | 1     | all its senders are cut off for 9 s       |
      | 300   | 30    | all its senders are cut off for 9 s       |

  # Guards against an upstream that nobody uses because its senders have no
  # callers for it.
  Scenario Outline: The end of a limit is found by the instances with callers
    Given <count> instances of which <part> want one upstream
    When it names a limit of 1 a second for 10 s
    Then its end is known to all within <seconds> s

    Examples:
      | count | part | seconds |
      | 9     | 1    | 6       |
      | 9     | 0.1  | 60      |
      | 80    | 1    | 6       |
      | 26    | 0.04 | 90      |

  # Guards against callers that are turned away because only the upstream's own
  # region, which has none for it, may send to it.
  Scenario: Another region may use a limited upstream that its own leaves idle
    Given an upstream under a limit of 1 a second, 3 near instances and 6 others
    Then only near instances may send to it while it responds
    And all may after 20 s without a response, within the same sum
