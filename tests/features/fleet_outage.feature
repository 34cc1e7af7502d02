Feature: A fleet through an outage of the platform
  Guards against shares that lapse while no plan can be made. Apart from the
  other scenarios of the fleet so that they run side by side.

  Scenario: An hour without the platform takes no shares away
    Given a fleet of ferromodelos that has shared its limits
    When the platform is down for 3600 seconds
    Then every instance could use all its shares all the time
