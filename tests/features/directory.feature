Feature: Instances that callers are sent to in a large fleet
  Guards against instances that get no callers, against more callers than an
  instance has room for, and against callers sent to other zones needlessly.

  # Load pattern: steady callers everywhere in a fleet of hundreds.
  Scenario: All instances of a large zone are used in proportion to their room
    Given a region of 3 zones with 3 instances of room 125 and 23 of room 62 each
    When 4000 callers of each zone are sent to instances
    Then each instance gets its share within three tenths, and each size its sum within a tenth
    And 3 of 4 instances stand in the caller's zone and one elsewhere

  # Guards against the instances beyond the first 64, which no answer named.
  Scenario: All instances of a region with small zones are used
    Given a region of 15 zones with 1 instances of room 100 and 5 of room 100 each
    When 4000 callers of each zone are sent to instances
    Then each instance gets its share within three tenths, and each size its sum within a tenth

  Scenario: A small zone's callers get all instances of the region
    Given a region of 2 zones with 1 instances of room 100 and 1 of room 100 each
    When 10 callers of each zone are sent to instances
    Then each caller gets 4 instances

  Scenario: A caller keeps its instances when others come and go
    Given a region of 3 zones with 3 instances of room 125 and 23 of room 62 each
    When an instance leaves and another one comes
    Then callers keep at least 9 of 10 of their instances

  Scenario: Callers of a region without instances get others
    Given a region of 2 zones with 1 instances of room 100 and 1 of room 100 each
    Then a caller of another region gets 4 instances
