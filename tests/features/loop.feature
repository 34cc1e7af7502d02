Feature: The event loop
  Guards against lost data, unbounded buffers and one connection's fault
  ending the service of the others.

  Scenario: Data larger than the socket buffer arrives whole
    Given a loop with an echo server
    When a client sends 5000000 bytes and reads them back
    Then the client received exactly what it sent

  Scenario: A fault in one connection's callback leaves the others working
    Given a loop with an echo server
    When one client makes the server raise and another sends 1000 bytes
    Then the client received exactly what it sent

  # Guards against an error that ends the work of whoever connects.
  Scenario: A host that is no address is reported like a refusal
    Given a loop with an echo server
    When a client connects to a host that is no address
    Then the error callback was called once

  Scenario: A refused connection is reported once
    Given a loop with an echo server
    When a client connects to a port that nobody listens on
    Then the error callback was called once
