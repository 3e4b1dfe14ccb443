Feature: P3 a cold target gets no more than its limit

  Scenario: all targets start cold under load
    Given a deployment of 4 instances
    And all targets are cold
    When callers send 30 find queries per second
    And 20 seconds pass
    Then no cold target has exceeded its limit
    And target svc-1-north is warm

  Scenario: a target restarts under full load
    Given a deployment of 4 instances
    And targets with 2 slots, 1 of them usable while cold
    When callers send 60 find queries per second
    And 2 seconds pass
    And target svc-1-north restarts
    And 1 seconds pass
    And target svc-2-south restarts
    And 10 seconds pass
    Then no cold target has exceeded its limit
    And target svc-1-north is warm

  Scenario: targets restart while an owner is killed
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And instance entry-1 is killed
    And target svc-1-north restarts
    And target svc-2-north restarts
    And 0.7 seconds pass
    And target svc-1-middle restarts
    And target svc-2-middle restarts
    And 12 seconds pass
    Then no cold target has exceeded its limit
    And some instance may send to a cold svc-1-north

  Scenario: views differ because an instance is isolated
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And instance entry-1 is isolated
    And target svc-1-north restarts
    And target svc-2-north restarts
    And 1.5 seconds pass
    Then at most one instance may send to a cold svc-1-north
    When 1.5 seconds pass
    Then at most one instance may send to a cold svc-1-north
    When all partitions are healed
    And 10 seconds pass
    Then no cold target has exceeded its limit
    And at most one instance may send to a cold svc-2-north

  Scenario: the store is down while targets restart
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the platform goes down
    And 2 seconds pass
    And target svc-1-north restarts
    And 10 seconds pass
    Then no cold target has exceeded its limit
    And target svc-1-north is warm

  Scenario: the store is down and an owner is isolated
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the platform goes down
    And 2 seconds pass
    And instance entry-2 is isolated
    And target svc-1-north restarts
    And target svc-2-north restarts
    And 6 seconds pass
    Then at most one instance may send to a cold svc-1-north
    When the platform recovers
    And all partitions are healed
    And 12 seconds pass
    Then no cold target has exceeded its limit
    And some instance may send to a cold svc-1-north
