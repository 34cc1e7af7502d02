Feature: Claims of the request path
  Guards against an order that runs twice or is called lost falsely because a
  claim, its release and copies of the order meet in an unlucky order.

  Scenario: No order of messages runs a key twice or loses it
    Then the claiming machine finds no fault

  Scenario Outline: A faulty rule for claims is found
    Then the claiming machine finds the fault of the "<name>" variant

    Examples:
      | name       |
      | unnumbered |
      | overtaken  |
      | forgetful  |

  Scenario: A late release, with an instance that runs under a released claim
    Then a release that arrives late frees no newer claim

  Scenario: An instance that is not known yet is not taken for gone
    When an order is held by an instance that no member list names
    Then it is in progress at first and its answer lost after 15 s

  Scenario: A release that the owner did not confirm is sent again
    When the releases of a claim are not confirmed
    Then they are sent again with growing pauses until one is
