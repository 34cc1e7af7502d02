Feature: Requests that crash upstreams, through instances in front of them
  Guards against a request that crashes each upstream that runs it and is sent
  on by instance after instance, because each copy began anew (issue 22).

  Scenario Outline: A crashing request is stopped on all instances
    Given four instances in front of six upstreams
    When a <method> that crashes upstreams is sent again for 6 s among others
    Then it crashes at most 3 upstreams once instances had time to stop it
    And the last copies are rejected at once as not run
    And ordinary requests are answered once it is stopped

    Examples:
      | method |
      | GET    |
      | POST   |
