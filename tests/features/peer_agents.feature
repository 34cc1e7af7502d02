Feature: Instances that tell each other over real streams
  Guards against instances that start empty and stay so, news that waits for
  the period, and members that are lost or kept wrongly.

  Background:
    Given instances a to f of which each knows only a

  Scenario: All meet, share ages of witnesses and sum up at the root
    Then all know each other, heard both witnesses and the root counts 6

  Scenario: A new instance learns everything from its peers
    When a publishes 700 documents and one of 500000 bytes
    And g starts and knows only f
    Then g has all documents within 10 seconds

  Scenario: News does not wait for the period
    When d publishes a document and a notice
    Then all have both in less than half a period

  Scenario: A killed instance is gone, and returns when it is started again
    When c is killed
    Then the others hold c for gone within 10 seconds
    When c starts again and knows only b
    Then all know each other

  Scenario: A planned end is known at once
    When e leaves
    Then the others know within half a period that e left
