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

  Scenario Outline: One service at <load> times its room with three priorities
    Given a service with requests of three priorities
    When it is played alone and at <load> times its room
    Then the most urgent are in time within 2 points of the share alone
    And its slots are busy at least 0.97 of the time
    And no priority is served less than a quarter as often as all

    Examples:
      | load |
      | 1.5  |
      | 3    |

  Scenario: One of ten accounts sends ten times its usual
    Given a service with ten accounts at 0.9 times its room
    When one account sends 10 times its usual
    Then the share in time of the others falls by less than 2 points

  Scenario: A third of the callers repeat three times at once
    Given a service at 1.5 times its room
    When a third of the callers repeat 3 times at once when refused
    Then they are in time no more often than the patient ones

  # Guards against deployments being served by the rule without their asking.
  Scenario: Nobody gives way unless the settings say so
    Given a service with requests of three priorities
    And its settings let nobody give way
    When it is played alone and at 3 times its room
    Then the priorities are in time within 5 points of each other

  Scenario: Accounts are cut to a max-min fair level by weight
    Then these demands cut to a part have this level
      | demands          | weights | part | level |
      | 10, 1, 1         | 1, 1, 1 | 0.5  | 4     |
      | 10, 1, 1         | 1, 1, 1 | 0.2  | 0.8   |
      | 10, 10           | 3, 1    | 0.4  | 2     |
      | 4, 4             | 1, 1    | 1    | 4     |

  Scenario: Refused callers are told times that they honour
    Then any refused caller comes back within a third of its time
    And the most urgent come back first
