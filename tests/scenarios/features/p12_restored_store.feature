Feature: P12 what was accepted outlives a store that is restored

  Scenario: a sheet that the store lost stays in force and is stored again
    Given a deployment of 4 instances
    When the platform is copied
    And Aiko applies a sheet that sets north to out
    And 3 seconds pass
    And the platform is restored from the copy
    And 3 seconds pass
    Then all instances use version 2
    And the platform holds version 2
    And no instance reverted to an older version

  Scenario: a sheet that is applied to the restored store comes in force
    Given a deployment of 4 instances
    When the platform is copied
    And Aiko applies a sheet that sets north to out
    And Aiko applies a sheet that sets north to closing
    And 3 seconds pass
    And the platform is restored from the copy
    And Nerea applies a sheet that sets south to out
    And 3 seconds pass
    Then all instances use the sheet of Nerea
    And all instances use version 4
    And the platform holds version 4
    And no instance reverted to an older version

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

  Scenario: a booking whose key the store lost runs once
    Given a deployment of 4 instances
    When the platform is copied
    And a caller books with key k1 through entry-1
    And the platform is restored from the copy
    And 8 seconds pass
    And a caller books with key k1 through entry-2
    Then booking k1 has the outcome ran
    And the targets ran 1 bookings

  Scenario: a caller that returns right after the restore books once
    Given a deployment of 4 instances
    When the platform is copied
    And a caller books with key k1 through entry-1
    And the platform is restored from the copy
    And a caller books with key k1 through entry-2
    And 8 seconds pass
    And a caller books with key k1 through entry-2
    Then the targets ran 1 bookings
