Feature: P4 a data centre taken out gets no new work after a few seconds

  Scenario: a data centre is taken out under load and opened again
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And the current time is saved as "out"
    And Aiko applies a sheet that sets middle to out
    And 5 seconds pass
    Then middle started no work later than 3 s after "out"
    And every query since "out" was answered in full
    When the current time is saved as "back"
    And Aiko applies a sheet that opens everything
    And 8 seconds pass
    Then every query since "back" was answered in full
    And target svc-1-middle has started work since "back"

  Scenario: the store fails right after the sheet was accepted
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the current time is saved as "out"
    And Aiko applies a sheet that sets middle to out
    And the platform goes down
    And 5 seconds pass
    Then middle started no work later than 3 s after "out"
    And every answer states its coverage correctly

  Scenario: an instance is partitioned from one other
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And instance entry-1 is partitioned from entry-2
    And the current time is saved as "out"
    And Aiko applies a sheet that sets middle to out
    And 5 seconds pass
    Then middle started no work later than 3 s after "out"

  Scenario: targets become cold without notice while they are out
    Given a deployment of 4 instances
    When callers send 60 find queries per second
    And 2 seconds pass
    And Aiko applies a sheet that sets middle to out
    And 2 seconds pass
    And target svc-1-middle becomes cold without notice
    And target svc-2-middle becomes cold without notice
    And Aiko applies a sheet that opens everything
    And 10 seconds pass
    Then no cold target has exceeded its limit
    And target svc-1-middle is warm

  Scenario: a timed state begins and ends while the store is down
    Given a deployment of 4 instances
    And a data centre middle that is out from 6 s to 12 s
    When callers send 40 find queries per second
    And the current time is saved as "start"
    And the platform goes down
    And 4 seconds pass
    And the current time is saved as "begun"
    And 3 seconds pass
    Then middle started no work later than 1 s after "begun"
    When 5 seconds pass
    Then target svc-1-middle has started work since "begun"
    And every query since "start" was answered in full
