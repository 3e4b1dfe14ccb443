Feature: P8 a leaving target gets no new work after a few seconds

  Scenario: the target itself reports that it is draining
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And the current time is saved as "drain"
    And target svc-1-north reports that it is draining
    And 5 seconds pass
    Then svc-1-north started no work later than 3 s after "drain"
    And every query since "drain" was answered in full

  Scenario: only the platform's list marks the target as leaving
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And 2 seconds pass
    And the current time is saved as "listed"
    And the platform lists target svc-1-north as leaving
    And 5 seconds pass
    Then svc-1-north started no work later than 3 s after "listed"

  Scenario: the sheet closes a target that the platform does not list
    Given a deployment of 4 instances
    When callers send 40 find queries per second
    And the current time is saved as "closed"
    And Aiko applies a sheet that sets svc-1-north to closing
    And 5 seconds pass
    Then svc-1-north started no work later than 3 s after "closed"
