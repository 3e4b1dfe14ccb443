Feature: P1 an answer comes from one snapshot

  Scenario: the index version changes under load
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the targets hold index versions 1 2
    And 2 seconds pass
    And the targets hold index versions 2 3
    And 2 seconds pass
    And the targets hold index versions 3
    And 2 seconds pass
    Then every answer comes from one snapshot
    And every answer states its coverage correctly
    And the last answer is of version 3

  Scenario: a version is removed at once and callers still get all shards
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 1 seconds pass
    And the current time is saved as "swap"
    And the targets hold index versions 2
    And 3 seconds pass
    Then every answer comes from one snapshot
    And at least 99 percent of queries since "swap" were full

  Scenario: one replica is a version behind
    Given a deployment of 4 instances
    When the targets hold index versions 2
    And target svc-1-north holds index versions 1
    And 2 seconds pass
    And a caller sends a find query through entry-2
    Then every answer comes from one snapshot
    And the last answer is of version 2
    And the last answer covers 6 of 6 shards

  Scenario: shards are split while queries run
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 1 seconds pass
    And the targets split 3 shards into 5 as epoch 2
    And 3 seconds pass
    Then every answer comes from one snapshot
    And every answer states its coverage correctly
    And the last answer covers 10 of 10 shards

  Scenario: a version is removed between two shards of one query
    Given a deployment of 4 instances
    When the targets of svc-2 are 40 times slower
    And a caller starts a find query through entry-1
    And 0.1 seconds pass
    And the targets hold index versions 2
    And 2 seconds pass
    Then every answer comes from one snapshot
    And the last answer is of version 2
    And the last answer covers 6 of 6 shards
