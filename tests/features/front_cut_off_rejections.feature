Feature: Rejections that reach an instance through another one
  Guards against an order that runs twice, or though it was refused, because a
  helping instance took a rejection for the answer to another send.

  Scenario Outline: A rejection comes again at a helping instance: <how>
    Given four instances in front of two services of four upstreams
    When 1 instance is cut off and this is known
    And each request takes 0.3 s
    And 12 callers order there with fault "repeat-<how>" at one upstream
    Then all were answered with 200 and ran once

    Examples:
      | how        |
      | late       |
      | unnamed    |
      | everywhere |
