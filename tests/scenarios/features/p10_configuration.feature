Feature: P10 all instances use an accepted configuration and never revert

  Scenario: two operators race
    Given a deployment of 4 instances
    When Aiko and Nerea take out north and south at once
    And 3 seconds pass
    Then one operator got a sheet race error
    And the accepted sheets are versions 1 to 2
    And all instances use version 2

  Scenario: the reply to the accepting write is lost
    Given a deployment of 4 instances
    When the platform drops the replies to the next 2 writes
    And Aiko applies a sheet that sets north to out
    And 3 seconds pass
    Then all instances use version 2
    And the accepted sheets are versions 1 to 2

  Scenario: the store fails right after acceptance
    Given a deployment of 4 instances
    When Aiko applies a sheet that sets north to out
    And 0.6 seconds pass
    And the platform goes down
    And 3 seconds pass
    Then all instances use version 2
    And no instance reverted to an older version

  Scenario: an instance restarts during the outage
    Given a deployment of 4 instances
    When Aiko applies a sheet that sets north to out
    And 1 seconds pass
    And the platform goes down
    And instance entry-3 is killed
    And instance entry-3 starts
    And 4 seconds pass
    Then all instances use version 2
    And no instance reverted to an older version

  Scenario: many sheets in a row
    Given a deployment of 4 instances
    When Aiko applies a sheet that sets north to out
    And Nerea applies a sheet that sets south to closing
    And Aiko applies a sheet that opens everything
    And 3 seconds pass
    Then all instances use version 4
    And no instance reverted to an older version
