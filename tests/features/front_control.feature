Feature: What an instance knows, and how it stops
  Guards against old configurations, work for upstreams that leave, silent
  loss of the store, and requests cut off by a planned stop.

  Scenario: Without a configuration a request is refused as not run
    Given an instance without a configuration
    When a caller asks for "/browse/a"
    Then the status is 503 with a time to come back

  Scenario: A newer configuration is in force soon and an older one never
    Given two upstreams of one service behind an instance
    And the instance has held its copy of the store for 5 s
    When the operator stores version 7 without the route "browse"
    And the operator stores version 5 with all routes
    Then a request on "/browse/a" gets 404 from within 1 s on

  Scenario: A draining upstream gets nothing more
    Given two upstreams of one service behind an instance
    When upstream "u1" reports that it is leaving
    Then after 1 s no request reaches "u1"

  Scenario: An evacuated place gets nothing until it is taken back
    Given two upstreams of one service behind an instance
    And an upstream "u3" in place "sul-b"
    When the operator evacuates "sul-a"
    Then after 1 s all requests reach "u3"

  Scenario Outline: Entries that cannot be read harm no other
    Given two upstreams of one service behind an instance
    When the store holds the entry <value> under "servers/bad"
    Then requests are served and no upstream "bad" is known

    Examples:
      | value                                                          |
      | "text"                                                         |
      | {}                                                             |
      | {"Service": 7, "Addr": "127.0.0.1:1", "Zone": "sul-a"}         |
      | {"Service": "loja", "Addr": "x", "Zone": "sul-a", "Slots": 3}  |
      | bytes                                                          |

  # Guards against odd entries of another writer that end instances, stop what
  # they hear of the store, or go on to linked ones.
  Scenario: Odd entries among those of the upstreams stop nothing
    Given two linked instances of one service
    When another writer writes odd entries again and again for 2 s
    Then a new version is in force at all instances within 2 s
    And an instance that starts from the peers' copy knows the upstreams
    And orders at all instances are served by the known upstreams

  # Guards against a read that is taken for complete though the response was
  # full, and against one that is too large and is tried again for ever.
  Scenario Outline: Large values of another writer delay no news: <store>
    Given two linked instances of one service
    And the store answers a read of changes with <size> bytes at most
    When another writer writes 20 values of 600000 bytes
    Then a new version is in force at all instances within 2 s

    Examples:
      | store              | size      |
      | bounded responses  | 700000    |
      | one large response | 100000000 |

  # Guards against the same under the keys that instances write themselves.
  Scenario: Odd entries under the instances' own keys stop nothing
    Given two linked instances of one service
    When another writer writes odd entries under the instances' own keys for 2 s
    Then a new version is in force at all instances within 2 s
    And an instance that starts from the peers' copy knows the upstreams
    And orders at all instances are served by the known upstreams

  Scenario: Routes and upstreams stay in use while the store is down
    Given two upstreams of one service behind an instance
    When the store is "silent" for 3 s
    Then requests are served all the while

  # Guards against a copy that is behind being taken for a denial.
  Scenario: A route that an old copy lacks is not denied
    Given two upstreams of one service behind an instance
    And the instance has held its copy of the store for 5 s
    When the store has been silent for the 2 s in which a version takes effect
    And a caller asks for "/added/a"
    Then the status is 503 with a time to come back
    When the store serves again with version 9 that has "/added/"
    Then version 9 is in force within 2.5 s
    And a request on "/nowhere/a" gets 404 from within 1 s on

  Scenario: A store that forgets its history is read anew
    Given two upstreams of one service behind an instance
    When the store forgets its history while version 9 is stored
    Then version 9 is in force within 2.5 s

  Scenario Outline: An instance catches up with many changes at once
    Given two upstreams of one service behind an instance
    When <count> changes and version 9 come within <seconds> s without the store
    Then version 9 is in force within 1.5 s

    Examples:
      | count | seconds |
      | 3000  | 3.0     |
      | 3000  | 0.5     |

  Scenario: An instance that the store refuses learns from its peers
    Given two upstreams of one service behind an instance
    And a second instance that the store refuses, with the first as seed
    Then the second instance serves within 4 s

  # Guards against news that waited on a full link being taken for fresh.
  Scenario: News that were under way for long do not make a copy look fresh
    Given two upstreams of one service behind an instance
    And a second instance in place "sul-b"
    When the second has been told of news, and the next are 3 s under way
    Then its copy is at least 3 s old

  # Guards against callers that give up their connections for an instance that
  # knows itself only.
  Scenario: An instance without a copy names no one
    Given two upstreams of one service behind an instance
    And a second instance that knows neither the store nor a peer
    Then the second instance answers no look-up and is not ready

  Scenario: The directory names live instances of the caller's region
    Given two upstreams of one service behind an instance
    And a second instance in place "norte-a"
    Then a caller in region "sul" is sent to the first one only
    And after a kill of the second one callers of "norte" are sent elsewhere

  Scenario: A planned stop cuts off nothing and is announced
    Given two upstreams of one service behind an instance
    When the instance is told to stop during work of 1 s
    Then the work is answered and the connection is closed
    And the instance is neither ready nor named any more

  Scenario: A planned stop answers pipelined requests
    Given two upstreams of one service behind an instance
    When the instance is told to stop while 3 pipelined requests take 0.6 s
    Then all of them are answered and the last answer closes the connection

  Scenario: Settings that change without a signal are used
    Given two upstreams of one service behind an instance with a settings file
    When the file's retry burst changes to 7
    Then the instance uses it within 3 s
    And a file with a fault changes nothing

  Scenario: An instance without a configuration is not ready
    Given an instance without a configuration
    Then it is not ready
    And it is ready soon after the operator stores version 3

  Scenario: A copy that stood still with its machine is read anew
    Given two upstreams of one service behind an instance
    When the boot clock runs ahead by 5 s
    Then the instance reads the store at once

  Scenario: A silent upstream entry that returns keeps its upstream
    Given two upstreams of one service behind an instance
    When the store is "busy" for 3 s and loses the entry of "u1" meanwhile
    And the entry of "u1" is back 1 s after the store
    Then upstream "u1" was known all the while

  Scenario: The command line shows which instance is behind
    Given two upstreams of one service behind an instance
    And a second instance that keeps version 1 while the first has version 9
    When an operator asks for the status of both and of an unused address
    Then the first is serving, the second behind and the last silent
    And the exit status is 3

  # Load pattern: a whole region starts, or comes back from an outage, at once.
  # Guards against lists of all entries that everyone sends to everyone.
  Scenario: Instances that start together send each other no lists
    Given 8 instances of one region that start together
    Then none asked another one for a list

  # Load pattern: a whole region starts, while all upstreams register.
  # Guards against everyone telling everyone what everyone reads.
  Scenario: Instances that start together tell each other no news at first
    Given 8 instances of one region that start together
    Then none told news in its first 2 s
    And one of them alone tells news 4 s later

  Scenario: After an outage the differences are told, not the lists
    Given 8 instances of one region that start together
    When the store is silent for 3 s while version 9 and 40 entries are written
    Then all instances have version 9 and the entries within 2.5 s
    And none asked another one for a list

  Scenario: An instance that missed news reads them from the store
    Given 8 instances of one region that start together
    When an instance is told of changes after ones that it missed
    Then it has read the store and asked no one for a list

  # Load pattern: the configuration grows by 1,400 routes, and is sent again.
  # Guards against links that are full of copies of it.
  Scenario: A large configuration is told to a region in few bytes
    Given 8 instances of one region that start together
    When versions 9 and 10 with 1400 routes more come 1 s apart
    Then all instances have version 10 within 2.5 s
    And an instance has told each of the others at most 31 kB a version

  # Guards against everyone telling everyone what all were told before.
  Scenario: An instance that catches up tells nobody what it read
    Given 8 instances of one region that start together
    When an instance misses version 9 with 1400 routes more and catches up
    Then it has told nobody of that version

  # Guards against a read that starts from the beginning again and again.
  Scenario: A response of the store that takes its time is read to its end
    Given two upstreams of one service behind an instance
    When the store sends 400 kB a second and version 9 has 4500 routes more
    Then version 9 is in force within 6 s

  # Guards against a read by each instance whenever one had fallen behind.
  Scenario: The list of an instance that had fallen behind makes no one read
    Given 8 instances of one region that start together
    When an instance is told the differences to another copy than its own
    Then it neither reads the store for it nor asks for a list

  # Guards against work that is given up, or started again elsewhere, because
  # its upstream did not report for a while.
  Scenario Outline: Work at an upstream whose entry lapses is neither repeated nor given up
    Given two upstreams of one service behind an instance
    When the entry of an upstream is removed during its work on a <method>
    Then the work is answered and was done once

    Examples:
      | method |
      | GET    |
      | POST   |
