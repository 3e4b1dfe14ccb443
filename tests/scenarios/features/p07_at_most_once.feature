Feature: P7 a booking runs at most once

  Scenario: two callers race with one key
    Given a deployment of 4 instances
    When callers book with key rider-1 through entry-1 and entry-3 at once
    Then the targets ran 1 bookings
    And booking rider-1 has the outcome ran

  Scenario: a booking with a lost reply is retried at other instances
    Given a deployment of 4 instances
    When a caller gets ticket first from entry-1
    And all targets drop 100 percent of their replies
    And a caller books with ticket first through entry-1
    And all targets drop 0 percent of their replies
    And a caller books with ticket first through entry-2
    And a caller books with ticket first through entry-3
    Then the targets ran 1 bookings
    And booking first has the outcome unknown_outcome

  Scenario: the same ticket goes through every instance
    Given a deployment of 4 instances
    When a caller gets ticket first from entry-1
    And a caller books with ticket first through entry-2
    And a caller books with ticket first through entry-3
    And a caller books with ticket first through entry-1
    Then the targets ran 1 bookings
    And booking first has the outcome ran

  Scenario: the reply to a claim is lost
    Given a deployment of 4 instances
    When the platform drops the replies to the next 1 writes
    And a caller books with key rider-1 through entry-1
    And a caller books with key rider-1 through entry-2
    Then the targets ran 1 bookings
    And booking rider-1 has the outcome ran

  Scenario: the instance that issued a ticket is killed
    Given a deployment of 4 instances
    When a caller gets ticket first from entry-1
    And a caller books with ticket first through entry-1
    And instance entry-1 is killed
    And a caller books with ticket first through entry-2
    And 6 seconds pass
    And a caller books with ticket first through entry-3
    Then the targets ran 1 bookings
    And booking first has the outcome unknown_outcome

  Scenario: the issuer restarts under the same name
    Given a deployment of 4 instances
    When a caller gets ticket first from entry-1
    And a caller books with ticket first through entry-1
    And instance entry-1 is killed
    And instance entry-1 starts
    And 8 seconds pass
    And a caller books with ticket first through entry-1
    And a caller books with ticket first through entry-2
    Then the targets ran 1 bookings
    And booking first has the outcome unknown_outcome

  Scenario: tickets are issued and used while the store is down
    Given a deployment of 4 instances
    When the platform goes down
    And a caller gets ticket first from entry-1
    And a caller books with ticket first through entry-2
    Then the targets ran 1 bookings
    And booking first has the outcome ran

  Scenario: the issuer has left the view, but has not terminated
    Given a deployment of 4 instances
    When 6 seconds pass
    And a caller gets ticket first from entry-1
    And instance entry-1 leaves the view
    And a caller books with ticket first through entry-2
    Then the targets ran 1 bookings
    And booking first has the outcome ran
