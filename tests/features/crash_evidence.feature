Feature: What the end of a send says of its upstream
  Guards against a request that ends each upstream that runs it and is sent on,
  because the crash shows in another way than a connection that ends without a
  response (issue 33).

  Scenario Outline: A crash counts however the response to it ends
    Given four instances in front of six upstreams
    When a <method> that crashes upstreams and <end> is sent again for 6 s
    Then it crashes at most 3 upstreams once instances had time to stop it
    And the last copies are rejected at once as not run
    And ordinary requests are answered once it is stopped

    Examples:
      | method | end                    |
      | GET    | breaks off in its head |
      | POST   | breaks off in its head |
      | GET    | breaks off in its body |
      | GET    | outlasts its caller    |
      | POST   | outlasts its caller    |
      | GET    | outlasts its deadline  |

  # Guards against ordinary requests that are quarantined because single
  # answers of upstreams that go on are spoilt or late.
  Scenario Outline: Upstreams that go on quarantine nothing
    Given four instances in front of six upstreams
    When 8 copies of a request get answers that <end>, <company>
    Then it is answered at each instance

    Examples:
      | end                          | company           |
      | break off in their head      | among others      |
      | break off in their head      | with nothing else |
      | break off in their body      | with nothing else |
      | have no seal                 | with nothing else |
      | never end                    | with nothing else |
      | come after their caller left | with nothing else |
      | come after their deadline    | among others      |
      | come after their deadline    | with nothing else |

  # The same through the proxy of the product's own interface.
  Scenario Outline: A proxy reports a crash however the response to it ends
    Given a proxy in front of two upstreams
    When a <method> crashes its upstream after <after_ms> ms having sent <sent>
    And its caller waits <wait_ms> ms, its deadline being <deadline_ms> ms
    Then the crash is reported with its digest

    Examples:
      | method | after_ms | sent     | wait_ms | deadline_ms |
      | POST   | 0        | nothing  | 1000    | 2000        |
      | POST   | 20       | its head | 1000    | 2000        |
      | POST   | 20       | its body | 1000    | 2000        |
      | GET    | 80       | nothing  | 30      | 2000        |
      | GET    | 80       | nothing  | 1000    | 30          |

  Scenario Outline: A proxy reports no crash of an upstream that goes on
    Given a proxy in front of two upstreams
    When an upstream takes 80 ms for a GET and its answer has the fault <fault>
    And its caller waits <wait_ms> ms, its deadline being <deadline_ms> ms
    Then no crash is reported

    Examples:
      | fault   | wait_ms | deadline_ms |
      | drop    | 1000    | 2000        |
      | reset   | 1000    | 2000        |
      | foreign | 1000    | 2000        |
      | none    | 30      | 2000        |
      | none    | 1000    | 30          |

  # Guards against a quarantine that an instance forgets because thousands of
  # other requests are lost.
  Scenario: Requests that are only watched end no quarantine
    Given a quarantine among 10 requests at most
    When 30 other requests are watched
    Then it is still quarantined

  # Guards against an instance that sends a crashing request again and again,
  # because the verdict reached it never, or was forgotten.
  Scenario Outline: An instance that reports a known crash is told again
    Given an arbiter that has told of <crashes> crashes of a request
    When i7 reports one more
    Then i7 is told that the request is <state>

    Examples:
      | crashes | state       |
      | 2       | quarantined |
      | 3       | quarantined |

  # Guards against a quarantine that instances of another version skip.
  Scenario Outline: A stored quarantine is read by the versions before and after
    Given a quarantine of 300 s that is stored as <fields>
    Then the request is quarantined there for <low> to <high> s

    Examples:
      | fields       | low | high |
      | left_s       | 290 | 300  |
      | until        | 590 | 600  |
      | left_s,until | 290 | 300  |

  # Guards against an end of a send of which nobody decided what it tells.
  Scenario Outline: Each end of a send has a meaning
    When a send ends <end>
    Then that <meaning> the request

    Examples:
      | end          | meaning       |
      | answered     | clears        |
      | rejected     | says nothing of |
      | misdirected  | says nothing of |
      | disconnected | loses         |
      | broken_head  | doubts        |
      | broken_body  | doubts        |
      | spoilt       | doubts        |
      | endless      | doubts        |
      | timed_out    | doubts        |
      | deadline     | doubts        |
      | caller_gone  | doubts        |
      | path_silent  | says nothing of |

  Scenario: No end of a send lacks a meaning
    Then the table of ends is complete

  Scenario: A stored quarantine says what older versions read
    Given a quarantine that an instance stored
    Then each stored one has the fields left_s,until

  # Guards against ordinary requests that are quarantined because an upstream
  # that is down resets each connection that something before it accepts.
  Scenario Outline: An upstream crashes again only after a sign of life
    Given a guard whose new connections to upstreams <connections>
    When a request is lost at u1 for <times> times, <gap> s apart, <between>
    Then <counted> crashes are counted

    Examples:
      | times | gap | connections | between                        | counted |
      | 4     | 0.4 | are refused | with nothing else              | 1       |
      | 4     | 0.4 | are reset   | with nothing else              | 1       |
      | 4     | 0.4 | stay open   | with nothing else              | 4       |
      | 4     | 0.4 | are reset   | with an answer of u1 to others | 4       |
      | 4     | 0.4 | are reset   | with a rejection by u1         | 4       |
      | 4     | 2.5 | are refused | with nothing else              | 4       |
