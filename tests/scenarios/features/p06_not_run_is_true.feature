Feature: P6 a booking that is reported as not run has not run

  Scenario: every target refuses a booking
    Given a deployment of 4 instances
    When target svc-1-north rejects all requests
    And target svc-1-middle rejects all requests
    And target svc-1-south rejects all requests
    And target svc-2-north rejects all requests
    And target svc-2-middle rejects all requests
    And target svc-2-south rejects all requests
    And a caller books with key rider-1 through entry-1
    Then booking rider-1 has the outcome not_run
    And the targets ran 0 bookings

  Scenario: the reply of a target is lost after it ran the booking
    Given a deployment of 4 instances
    When all targets drop 100 percent of their replies
    And a caller books with key rider-1 through entry-1
    Then booking rider-1 has the outcome unknown_outcome
    And the targets ran 1 bookings
    And each outcome of rider-1 agrees with what the targets ran

  Scenario: the store is down and a key cannot be claimed
    Given a deployment of 4 instances
    When the platform goes down
    And a caller books with key rider-1 through entry-1
    Then booking rider-1 has the outcome not_run
    And the targets ran 0 bookings
