Feature: Requests that crash upstreams, through instances in front of them
  Guards against a request that crashes each upstream that runs it and is sent
  on by instance after instance, because each copy began anew (issue 22).

  Scenario Outline: A crashing request is stopped on all instances
    Given four instances in front of six upstreams
    When a <method> that crashes upstreams is sent again for 6 s among others
    Then it crashes at most 3 upstreams once instances had time to stop it
    And the last copies are rejected at once as not run
    And ordinary requests are answered once it is stopped

    Examples:
      | method |
      | GET    |
      | POST   |

  Scenario: A quarantine outlives all processes
    Given four instances in front of six upstreams
    And a POST that crashes upstreams was stopped
    When all instances start again
    Then no copy of it reaches an upstream

  Scenario: An instance that starts during a store outage learns a quarantine
    Given four instances in front of six upstreams
    And a POST that crashes upstreams was stopped
    When one instance starts again while the store is down
    Then no copy of it reaches an upstream

  # Guards against one caller that has a popular page refused to all others.
  Scenario: Requests of other callers with the same content go on
    Given four instances in front of six upstreams
    When one caller's copies of a popular request crash upstreams for 5 s
    Then its copies are stopped
    And the other callers are answered once they are

  Scenario: Lost answers between successes quarantine nothing
    Given four instances in front of six upstreams
    When a request is answered between 4 rounds of lost answers
    Then it is answered at each instance

  # Guards against requests refused because their answers were lost by upstreams
  # that went on with everything else.
  Scenario: Answers that are lost on single connections quarantine nothing
    Given four instances in front of six upstreams
    When the answers to 8 copies of a request are lost among others
    Then it is answered at each instance

  # Guards against losses without a crash that count as one, and the reverse.
  Scenario Outline: What became of its connections tells a crash
    Given <closed> connections that an upstream closed and <open> still open
    Then it <verdict>

    Examples:
      | closed | open | verdict          |
      | 1      | 0    | crashed          |
      | 6      | 0    | crashed          |
      | 6      | 1    | crashed          |
      | 1      | 1    | went on          |
      | 2      | 9    | went on          |

  # Guards against a quarantine that ended when an instance that had counted
  # only two of the crashes told the others so.
  Scenario: An instance that counted fewer crashes ends no quarantine
    Given a request that is quarantined
    When it is told as suspect
    Then it is still quarantined
    When it is released
    Then it is quarantined no more

  # Guards against popular requests that are quarantined because copies of them
  # shared the upstreams of three crashes, as nobody had told of successes.
  Scenario: A success that an instance did not report still counts
    Given four instances in front of six upstreams
    When an order is lost, answered at another instance and lost twice more
    Then it is answered at each instance

  # Guards against a quarantine that is over at once, or never, for an
  # instance whose time of day differs from the writer's.
  Scenario Outline: A stored quarantine holds whatever the time of day is
    Given a quarantine that an instance stored
    When an instance whose time of day is <step> s ahead reads it
    Then the request is quarantined there for 500 to 600 s

    Examples:
      | step  |
      | 0     |
      | 3600  |
      | -3600 |

  # Guards against a quarantine that is not taken in because the store gave its
  # revision out a second time.
  Scenario: A quarantine written at a revision that is given out again counts
    Given a quarantine of 20 s that was read at revision 7
    When it is over and one of 600 s is read at revision 7
    Then the request is quarantined there for 500 to 600 s
