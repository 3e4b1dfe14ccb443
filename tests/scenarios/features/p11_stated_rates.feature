Feature: P11 targets get no more requests than they state

  Scenario: one replica states a limit under load
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And the current time is saved as "limit"
    And target svc-1-north states a limit of 9 requests a second
    And 20 seconds pass
    Then no target got more requests than it states
    And at least 99 percent of queries since "limit" were full

  Scenario: all replicas of a shard state limits below the load
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And the targets of svc-1 state limits of 4 a second
    And 4 seconds pass
    And the current time is saved as "learned"
    And 16 seconds pass
    Then no target got more requests than it states
    And target svc-1-north got at least 80 percent of its limit
    And every answer states its coverage correctly

  Scenario: limits end
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the targets of svc-1 state limits of 3 a second
    And 8 seconds pass
    And target svc-1-north states no limit any more
    And 2 seconds pass
    And the current time is saved as "end"
    And 5 seconds pass
    Then no target got more requests than it states
    And at least 99 percent of queries since "end" were full

  Scenario: idle targets are asked for their inventory within their limits
    Given a deployment of 4 instances
    When the targets of svc-1 state limits of 0.2 a second
    And 30 seconds pass
    Then no target got more requests than it states

  Scenario: an owner is killed while targets state limits
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the targets of svc-1 state limits of 9 a second
    And the targets of svc-2 state limits of 9 a second
    And 6 seconds pass
    And instance entry-1 is killed
    And 3 seconds pass
    And instance entry-2 is killed
    And 12 seconds pass
    Then no target got more requests than it states
    And target svc-1-north got at least 60 percent of its limit

  Scenario: views differ because an instance is isolated while the store is down
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the targets of svc-1 state limits of 9 a second
    And the targets of svc-2 state limits of 9 a second
    And 6 seconds pass
    And the platform goes down
    And instance entry-1 is isolated
    And 6 seconds pass
    And all partitions are healed
    And the platform recovers
    And 8 seconds pass
    Then no target got more requests than it states

  Scenario: an instance joins and leaves while targets state limits
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the targets of svc-1 state limits of 9 a second
    And the targets of svc-2 state limits of 9 a second
    And 5 seconds pass
    And instance entry-5 starts
    And 6 seconds pass
    And instance entry-2 leaves the view
    And 6 seconds pass
    Then no target got more requests than it states

  Scenario: bookings keep to limits, and what does not run is said so
    Given a deployment of 4 instances
    When the targets of svc-1 state limits of 0.5 a second
    And the targets of svc-2 state limits of 0.5 a second
    And 6 seconds pass
    And a caller books with key a through entry-1
    And a caller books with key b through entry-2
    And a caller books with key c through entry-3
    And a caller books with key d through entry-4
    And a caller books with key e through entry-1
    And a caller books with key f through entry-2
    And 6 seconds pass
    Then no target got more requests than it states
    And bookings that ran and those the targets ran agree
