Feature: A configuration is checked before it is sent
  Guards against a configuration that is refused, can never match, or changes
  more than its author meant.

  Scenario Outline: <id> for <change>
    When the example configuration has <change>
    Then the check exits with <status> and tells <id> at "<path>"

    Examples:
      | change                      | status | id   | path                  |
      | nothing else                | 0      | none |                       |
      | a list for its listeners    | 2      | E100 | Listeners             |
      | a rule without a name       | 2      | E100 | Listeners[0].Rules[0] |
      | an endless time-out         | 2      | E100 | Listeners[0].Rules[0] |
      | a time-out beyond floats    | 2      | E100 | Listeners[0].Rules[0] |
      | a home that is no name      | 2      | E100 | Listeners[0].Rules[0] |
      | an unknown service          | 2      | E101 | Listeners[0].Rules[0] |
      | weights of nothing          | 2      | E102 | Listeners[0].Rules[0] |
      | a rule twice                | 2      | E103 | Listeners[0].Rules[3] |
      | an account twice            | 2      | E104 | Tenants[2]            |
      | a key of two accounts       | 2      | E105 | Tenants[1], key 0     |
      | a prefix without a slash    | 2      | E106 | Listeners[0].Rules[0] |
      | a time-out of nothing       | 2      | E107 | Listeners[0].Rules[0] |
      | the version in force        | 2      | E110 | Version               |
      | an unused service           | 1      | W201 | Clusters[2]           |
      | a part without room         | 1      | W202 | Listeners[0].Rules[0] |
      | an account without keys     | 1      | W203 | Tenants[0]            |
      | homes that exclude another  | 1      | W204 | Tenants[0]            |
      | a home without instances    | 1      | W205 | Listeners[0].Rules[0] |
      | a time-out below its target | 1      | W301 | Listeners[0].Rules[0] |
      | attempts that do not fit    | 1      | W302 | Listeners[0].Rules[0] |
      | a prefix beyond the limit   | 1      | W303 | Listeners[0].Rules[0] |
      | a burst below a second      | 1      | W304 | Tenants[0]            |
      | a burst without a rate      | 1      | W305 | Tenants[0]            |
      | a cold rate without a time  | 1      | W306 | Clusters[0]           |
      | a route more                | 0      | D101 | Listeners[0].Rules[3] |
      | a route moved               | 0      | D102 | Listeners[0].Rules[0] |
      | a route less                | 0      | D103 |                       |
      | a service less busy         | 0      | D202 | Clusters[0]           |
      | an account more             | 0      | D301 | Tenants[2]            |
      | a rate changed              | 0      | D302 | Tenants[0]            |
      | an account less             | 0      | D303 |                       |
      | all keys of one changed     | 0      | D304 | Tenants[0]            |
      | a key more                  | 0      | D305 | Tenants[0]            |
      | a shorter head              | 0      | D401 | Limits                |

  Scenario: Keys stand in no output, for persons and for programs
    When the example configuration has a key of two accounts
    Then neither output holds a key

  Scenario: Accounts are listed with digests of their keys
    Then the list of accounts names both accounts and no key

  Scenario: Resources of the product's own interface are checked as well
    Then a file of resources with a fault exits with 2 and names its place

  Scenario: No document ends the check with a traceback
    Then 300 documents of any form are checked or refused as settings

  Scenario: A large configuration is checked in time
    Then 10,000 routes and 100,000 keys take under 2 s beside the decoder
