Feature: A short fault soak of real processes
  Guards against faults that only real sockets, signals and restarts show.
  `tests/soak/run.py` plays many seeds by hand.

  Scenario Outline: A seeded run with series of faults breaks no promise
    When the soak plays seed <seed> for 20 s
    Then no promise is broken

    Examples:
      | seed     | cause of an earlier failure                               |
      | 7        | none                                                      |
      | 3009     | upstreams that rejected once by chance were taken as full |
      | 26120537 | popular contents that shared crashes stayed quarantined   |
      | 26120542 | popular contents that shared crashes stayed quarantined   |
      | 26120549 | popular contents that shared crashes stayed quarantined   |

  Scenario Outline: A seeded run with cut-off instances breaks no promise
    When the soak plays seed <seed> for 20 s with cuts from the upstreams
    Then no promise is broken

    Examples:
      | seed     | cause of an earlier failure                              |
      | 41       | contents whose connections were reset stayed quarantined |
      | 42       | requests waited for upstreams that the instance lost     |
      | 33121008 | popular contents that shared three crashes: open         |
      | 33121108 | popular contents that shared three crashes: open         |
      | 33121114 | an upstream that left got one request much later: open   |
      | 33121120 | a helper that stops leaves some requests unserved: open  |

  Scenario Outline: The checks notice a broken record
    Given a record in which <what>
    Then the check "<check>" fails and no other

    Examples:
      | what                                     | check                      |
      | an order ran twice                       | runs_at_most_once          |
      | an order that ran was promised not to    | promise_is_true            |
      | an answer names another request          | answer_is_own_and_whole    |
      | a drained upstream got a request         | drained_gets_nothing       |
      | an evacuated place got a request         | evacuated_gets_nothing     |
      | an instance went back to a configuration | newest_configuration_holds |
      | repeats exceed the budget                | repeats_stay_in_budget     |
      | an upstream got more than its limit      | limits_hold                |
      | an upstream that leaves got a request    | leaving_gets_nothing       |
      | an upstream got requests in its pause    | pauses_hold                |
      | an endless answer held a request         | endless_answers_end        |
      | a crashing request was sent on           | crashing_requests_are_stopped |
      | a planned stop cut a request             | planned_stop_cuts_nothing  |
      | callers of a cut-off instance go unserved | cut_off_is_served         |
      | nothing is served after the faults       | service_returns            |
