Feature: Upstreams that say in their responses that they leave
  Guards against requests to an upstream that has said so, whatever its entry
  in the store says.

  # Guards against an upstream that leaves and is used for as long as its entry
  # says nothing of it.
  Scenario: An upstream that says that it leaves gets nothing more
    Given four instances in front of four upstreams and 6 callers
    When an upstream says for 5 s that it leaves while its entry is ready
    Then nothing reaches it later than 2.5 s after it said so
    And nearly all requests are answered

  Scenario: It stays out of use when its entry lapses and returns
    Given two upstreams of one service behind an instance
    When upstream "u1" says that it leaves in a response
    And its entry is removed and written again 0.8 s later
    Then after 1 s no request reaches "u1"

  Scenario: It is used again when it has started anew
    Given two upstreams of one service behind an instance
    When upstream "u1" says that it leaves in a response
    And it starts again under its id
    Then requests reach "u1" within 2 s

  Scenario: An instance that heard it from another sends nothing
    Given four instances in front of four upstreams and 6 callers
    When one instance alone hears that an upstream leaves
    Then all instances of its region send nothing to it from 1 s on

  Scenario: News of a start that is not known yet counts when it is
    Given a view of upstreams that was told that "u9" leaves
    When the entry of that start of "u9" is listed
    Then "u9" is out of use
    When the entry of a later start of "u9" is listed
    Then "u9" is in use
