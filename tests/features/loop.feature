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

  # Guards against a planned stop that outlasts its grace period: a loop that
  # a timer stopped waited for the next event.
  Scenario: A loop that a timer stops waits for nothing more
    Given a loop with an echo server
    When a timer stops the loop while nothing else is due for 20 s
    Then the loop ends within 0.1 s
