Feature: Requests that crash each upstream that runs them
  Guards against a caller that destroys the upstreams one by one by sending
  such a request again to other instances.

  Scenario Outline: At most two upstreams are lost
    When a <method> that crashes upstreams is sent 20 times among others
    Then at most 2 upstreams are lost and each later copy is refused at once
    And requests that shared the upstreams are answered

    Examples:
      | method |
      | GET    |
      | POST   |

  Scenario: Crash notices under other names than the requests are noticed
    When a POST that crashes upstreams is sent to instances with blame under other names
    Then more than 2 upstreams are lost
