Feature: Parts of the regions follow their demand
  Guards against callers who wait in one region while another has room, and
  against a shift of callers that moves more requests between regions than
  the rules of the deployment allow. Nothing here opens a socket.

  Scenario: A region has a third of the callers and a tenth of the upstreams
    Given regions with 12, 50 and 60 slots
    And demand of 30, 30 and 30 slot-seconds a second
    When 20 s of demand pass
    Then each region runs within 0.05 of the mean use
    And requests go where they go without measurements

  Scenario: Twice the callers of the others in the region with most room
    Given regions with 12, 50 and 60 slots
    And demand of 20, 20 and 50 slot-seconds a second
    When 20 s of demand pass
    Then each region runs within 0.05 of the mean use

  Scenario: Waves of demand apart in phase
    Given regions with 12, 50 and 60 slots
    And demand in waves of 0.55 around 30 with a period of 36 s
    When 108 s of demand pass
    Then no region's requests change region by more than 0.15 in 2 s
    And the busiest region is at most 1.3 times as busy as the mean in time

  Scenario: Waves of demand where all regions have room
    Given regions with 12, 50 and 60 slots
    And demand in waves of 0.55 around 9 with a period of 36 s
    When 108 s of demand pass
    Then requests go where they go without measurements

  Scenario: Seven tenths of a zone's callers move at once
    Then whatever moves and whatever news are lost, no more than 0.15 of a region's requests change region in 2 s

  Scenario: News stop
    Given regions with 12, 50 and 60 slots
    And demand of 20, 20 and 50 slot-seconds a second
    When 20 s of demand pass
    And the news of a region stop for 15 s
    Then the parts have not moved
    When the news of a region stop for 30 s
    Then requests go where they go without measurements

  Scenario: Small changes move nothing
    Given regions with 12, 50 and 60 slots
    And demand of 20, 20 and 50 slot-seconds a second
    When 20 s of demand pass
    And demand changes to 20.5, 20 and 49 slot-seconds a second
    And 20 s of demand pass
    Then the parts have not moved

  Scenario: An instance starts beside others
    Given an instance that starts beside 7 that tell 4 each
    Then it takes 32 for the demand of the region
    And its own first second tells nothing

  Scenario: Few objects change owner while the parts move
    Given regions with 12, 50 and 60 slots
    And demand of 20, 20 and 50 slot-seconds a second
    When 20 s of demand pass
    Then no step gave more than 0.1 of the objects another first owner

  Scenario: Upstreams that do not share machines
    Given an instance whose upstreams report no slowdown
    When it takes requests and hears that demand is uneven
    Then its weights are those of equal parts

  Scenario Outline: Regions tell each other
    Given three regions of <count> instances that tell each other
    Then each instance knows the demand of all regions after 6 s
    And each sends at most <messages> messages a second
    And a message without rates, with a word or with infinity changes nothing

    Examples:
      | count | messages |
      | 2     | 20       |
      | 8     | 60       |
      | 40    | 200      |
