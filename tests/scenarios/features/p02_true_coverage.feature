Feature: P2 coverage is stated correctly and missed shards are named

  Scenario: a whole service is frozen
    Given a deployment of 4 instances
    When target svc-1-north freezes
    And target svc-1-middle freezes
    And target svc-1-south freezes
    And a caller sends a find query through entry-1
    Then the last answer covers 3 of 6 shards
    And the last answer names a cause for each missed shard
    And every answer states its coverage correctly

  Scenario: one replica is frozen under load
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 3 seconds pass
    And the current time is saved as "freeze"
    And target svc-1-north freezes
    And 4 seconds pass
    Then every answer states its coverage correctly
    And at least 99 percent of queries since "freeze" were full

  Scenario: an owner is killed under load
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And the current time is saved as "kill"
    And instance entry-2 is killed
    And 6 seconds pass
    Then every answer states its coverage correctly
    And at least 95 percent of queries since "kill" were full

  Scenario: an owner is isolated and answers no instance
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And instance entry-2 is isolated
    And 6 seconds pass
    And the current time is saved as "later"
    And 2 seconds pass
    Then every answer states its coverage correctly
