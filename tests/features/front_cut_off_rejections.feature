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

  # Guards against a promise that rests on the word of a version that may have
  # sent an order twice to one upstream.
  Scenario: A helping instance that does not tell where it sent an order
    Given four instances in front of two services of four upstreams
    When 1 instance is cut off and this is known
    And helping instances do not tell where they sent an order
    And 6 callers order there with fault "shed" at all of its upstreams
    Then none of them is told that it has not run, and none is sent again
