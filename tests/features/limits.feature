Feature: Limits over the whole fleet
  Guards against rules that let the fleet exceed a limit, and against shares
  that nobody can use.

  Scenario: A rate gate never admits more than its share in one second
    Then rate gates with changing shares hold in every window of one second

  Scenario: A plan obeys rule R1 as a brute-force check sees it
    Then random sequences of plans hold against all versions still in use

  Scenario: Loans agree with a ledger that sees everything
    Then random losses, repeats and delays never lend an amount twice

  Scenario Outline: Every instance has access to several upstreams
    Given the limits of <deployment> shared among 12 instances
    Then every instance holds slots at 2 or more upstreams of each service
    And most slots are held in the upstream's own region
    And every rate limit is shared among all instances

    Examples:
      | deployment   |
      | ferromodelos |
      | kedjeverk    |

  Scenario: A drained target and the older system's load take their part
    Given the limits of ferromodelos shared among 12 instances
    When slots:loja-0 is drained and the older system uses 20 of rate:sul
    Then slots:loja-0 has 0 shares and rate:sul has 40

  Scenario: A silent witness stays and a gone one is replaced
    Given the limits of ferromodelos shared among 12 instances
    Then a witness is replaced only after it is confirmed gone

  Scenario: The lender keeps a reserve and old reports are not used
    Then the last free slot of a service is not lent
    And a spare amount reported 6 seconds ago is not asked for

  Scenario: A share lowered below its lent amount leaves loans usable
    Then a lender whose share was lowered to 0 sees a borrowed slot as whole

  Scenario: Plans of places stay within the region's plan
    Then random two-level plans keep the sum over all instances in the limit
