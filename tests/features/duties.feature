Feature: Duties
  Guards against two holders of one duty and against a duty left alone.

  Scenario: At most one instance holds a duty, whatever fails
    Then no interleaving of pauses, outages and lost replies gives two holders

  Scenario: A lease counted from the answer is caught
    Then the same search finds two holders when validity counts from the answer

  Scenario: A duty moves after its holder stops and returns at once on release
    Then a killed holder is replaced within 6 s and a released duty within 2 s

  Scenario: A lost reply of an acquisition is resolved by reading back
    Then an instance whose acquisition lost its reply holds the duty

  Scenario: Later candidates look less often
    Then the looks of 5800 candidates sum to under 20 a second

  Scenario: The duties of each region have prompt candidates in it
    Then in a fleet of 400 each region's duties have three prompt candidates
