Feature: The retry budget of the whole fleet
  Guards against more repeats than the fleet may send: parts that each
  instance kept to added up to more than the whole when load moved, processes
  started again or settings were read again (issue 16).

  Scenario Outline: Repeats stay within the fleet's budget: <event>
    Given <count> instances that get 600 requests a second evenly
    When upstreams reject from 20 s to 40 s and from 22 s on <event>
    Then no 10 s hold more repeats than the fleet may send
    And at least 0.7 of the budget is used

    Examples:
      | count | event                                             |
      | 12    | nothing else happens                              |
      | 12    | half of the callers move to the other instances   |
      | 12    | callers move to one instance after another        |
      | 12    | all processes start again                         |
      | 12    | all processes start again every 3 s               |
      | 12    | one process after another starts again            |
      | 12    | load swings between the regions                   |
      | 80    | all processes start again                         |
      | 80    | processes and callers come and go at random       |
      | 300   | nothing else happens                              |

  Scenario: Reading the settings again forgets no repeat
    Given an instance whose repeats have used up its part of the budget
    When its settings are read again with the same bounds
    Then it repeats nothing more at once

  # Guards against parts of the burst that others have divided among them.
  Scenario Outline: An instance of which the others may not know has no burst
    Given an instance among 12 that are listed
    When it is <state> for <seconds> s
    Then its part of the burst is <part>

    Examples:
      | state            | seconds | part |
      | listed           | 60      | 1/12 |
      | cut off          | 9       | 1/12 |
      | cut off          | 11      | 0    |
      | missing          | 9       | 1/12 |
      | missing          | 11      | 0    |
