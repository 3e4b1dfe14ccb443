Feature: P12 what was accepted outlives a store that is restored

  Scenario: a view that the store lost stays, and the next one is adopted
    Given a deployment of 4 instances
    When 3 seconds pass
    And the platform is copied
    And instance entry-4 is killed
    And 5 seconds pass
    And the platform is restored from the copy
    And 3 seconds pass
    Then all instances agree on a view without entry-4
    When instance entry-3 is killed
    And 5 seconds pass
    Then all instances agree on a view without entry-3
