Feature: The state machine of one request
  Guards against a false "not run", a second execution of an order, two
  outcomes for one request and upstream connections left open.

  Scenario: All interleavings keep the promises
    Then the request machine finds no fault

  Scenario Outline: The machine can fail
    Then the request machine finds the fault of the "<name>" variant

    Examples:
      | name      |
      | hasty     |
      | repeating |
      | leaky     |
