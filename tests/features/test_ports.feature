Feature: Ports of the tests' instances
  Guards against tests that fail because of another test.

  # Guards against instances of two test processes that take the same port.
  Scenario: Test processes that run at the same time use different ports
    Given 3 processes that each choose 150 ports and go on running
    Then no port was chosen twice
