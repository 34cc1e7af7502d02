Feature: The operators' API
  Guards against requests that cost an instance more than a bounded amount,
  against lost updates, and against watches that miss a change.

  Background:
    Given an operators' API

  Scenario Outline: Hostile or wrong requests are refused and counted
    When the raw request "<request>" is sent
    Then it is refused with <status> as <kind> and counted

    Examples: The part in braces stands for the headers Host and Authorization
      | request | status | kind |
      | GET /v1/resources/region HTTP/1.1\r\nHost: a\r\n\r\n | 401 | unauthenticated |
      | GET /v1/resources/region HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer no\r\n\r\n | 401 | unauthenticated |
      | GET /v1/resources/region HTTP/1.1\r\n{}Authorization: Bearer b\r\n\r\n | 401 | unauthenticated |
      | PUT /v1/resources/region/a HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n | 401 | unauthenticated |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 99999999\r\n\r\n | 413 | body_too_large |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 99999999999999999999\r\n\r\n | 413 | body_too_large |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n80001\r\nBODY | 413 | body_too_large |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{} | 400 | bad_request |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} | 400 | bad_request |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: -2\r\n\r\n | 400 | bad_request |
      | GET /v1/resources/region HTTP/1.1\r\n{}X: HEADER\r\n\r\n | 431 | headers_too_large |
      | nonsense\r\n\r\n | 400 | bad_request |
      | GET /v1/resources/region/a%20b HTTP/1.1\r\n{}\r\n | 400 | bad_request |
      | GET /v1/resources/region/../x HTTP/1.1\r\n{}\r\n | 400 | bad_request |
      | GET /v1/resources/region/Sul HTTP/1.1\r\n{}\r\n | 400 | bad_request |
      | GET /v1/resources/sector HTTP/1.1\r\n{}\r\n | 404 | not_found |
      | GET /v1/resources/region/none HTTP/1.1\r\n{}\r\n | 404 | not_found |
      | GET /v2 HTTP/1.1\r\n{}\r\n | 404 | not_found |
      | POST /v1/resources/region HTTP/1.1\r\n{}Content-Length: 0\r\n\r\n | 405 | method_not_allowed |
      | DELETE /v1/watch HTTP/1.1\r\n{}\r\n | 405 | method_not_allowed |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 2\r\n\r\n{] | 400 | bad_request |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 400000\r\n\r\nNESTED | 400 | bad_request |
      | PUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 2\r\n\r\n[] | 400 | invalid_resource |
      | GET /v1/watch?from=1&from=2 HTTP/1.1\r\n{}\r\n | 400 | bad_request |
      | GET /v1/watch?from=-1 HTTP/1.1\r\n{}\r\n | 400 | bad_request |
      | GET /v1/watch?from=7 HTTP/1.1\r\n{}\r\n | 410 | gone |
      | GET /v1/watch?wait=nan HTTP/1.1\r\n{}\r\n | 400 | bad_request |

  Scenario: A request that does not arrive in time loses its connection
    When the raw request "GET /v1/res" is sent
    Then the connection ends without an answer and counted as timeout

  Scenario: A second request on the same connection is not looked at
    When the raw request "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\nPUT /v1/resources/region/a HTTP/1.1\r\n{}Content-Length: 2\r\n\r\n[]" is sent
    Then one answer with 200 arrives

  Scenario: Connections over the limit are refused
    When 8 connections stay open and one more comes
    Then it is refused with 503 as overloaded and counted

  Scenario: All faults of a resource come back with their paths
    Then an upstream with unknown references answers 400 and their paths

  Scenario: Racing updates from one version over the network
    Then of 8 clients that update one version one wins, 7 get 409

  Scenario: What was read can be changed and put back
    Then a document read, changed and put back has generation 2 and is pushed to the other instances

  Scenario: A lost reply is resolved and an unknown outcome told as such
    Then a lost reply answers 200 and lasting doubt 502 with the id

  Scenario: The platform is down
    Then reads answer 200, puts and audit answer 503 with Retry-After

  Scenario: Watches resume without a gap and expire
    Then a watch that resumes while resources change tells each change once and its first position expires

  Scenario: A watch of one kind is not woken by others
    Then a watch of regions that waits past services' changes tells only the region

  Scenario: The audit trail can be read and watched
    Then audit entries after a version arrive, a waiting reader gets the next one, and the actors are those of the tokens

  Scenario: Lists are paged by size
    Given 4 resources of 400 KB are listed on two pages

  Scenario: A client that does not read its answer loses its connection
    Given 4 resources of 400 KB are listed on two pages
    Then a client that does not read such a page is closed within 3 s and counted

  Scenario: Clients that leave before their answer leave nothing behind
    Then after 200 clients that left at once no state and no exception remains

  # Guards against watches that are kept for clients that have left.
  Scenario: A watch whose client has left already is not kept
    Given an operators' API
    Then a watch that begins on a closed connection leaves no state

  Scenario: Health, readiness and a stop
    Then healthz is 200, readyz follows the reasons, and a stop ends waiting watches and refuses new connections

  Scenario: A temporary drain works while the platform is down
    Given an operators' API
    Then a temporary drain starts, shows, ends and expires without the platform
