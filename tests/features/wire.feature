Feature: Headers and documents of the platform
  Guards against fields of later versions that hide the known ones, and
  against kinds of requests that are taken for others.

  # Guards against reports that are dropped whole because they say more.
  Scenario Outline: A load report <value> is read
    Then the load report "<value>" says "<report>"

    Examples:
      | value                   | report       |
      | 3,0,8                   | 3 0 8 1.0    |
      | 3, 1, 8, 250            | 3 1 8 2.5    |
      | 3,0,8,100,7,x           | 3 0 8 1.0    |
      | 3,0,8,word              | 3 0 8 1.0    |
      | 3,0,8,                  | 3 0 8 1.0    |
      | 3,0,8,0                 | 3 0 8 0.1    |
      | 3,0,8,1000000000        | 3 0 8 20.0   |
      | 3,0,8,-5                | 3 0 8 1.0    |
      | 3,0                     | nothing      |
      | 3,x,8                   | nothing      |
      | 99999999999999999999,0,8 | nothing     |

  # Guards against downloads that are never sent a second time.
  Scenario Outline: A route of the kind <kind> is <idempotent>
    Then a route of the kind "<kind>" is "<idempotent>"

    Examples:
      | kind     | idempotent     |
      | safe     | idempotent     |
      | download | idempotent     |
      | unsafe   | not idempotent |
      | upload   | not idempotent |
      | other    | not idempotent |

  # Guards against one odd entry that ends instances or stops all news.
  Scenario: An odd entry names no upstream, and says so in few words
    When entries of another writer are read
    Then each is refused with a reason of at most 400 characters
