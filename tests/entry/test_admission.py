import pytest

from savorycross.catalogue import workload as workloads
from savorycross.entry import admission
from savorycross import errors


def make_workload(priority):
    return workloads.Workload(
        f'w{priority}', workloads.Kind.QUERY, 'idx', priority, 1000
    )


def fill(controller, workload, count, caller='c'):
    return [
        controller.admit(workload, f'{caller}{n}', 1.0, 0.0)
        for n in range(count)
    ]


def slow_down(controller, workload, rounds=100):
    """Finish requests whose shards waited too long for a target."""
    for n in range(rounds):
        now = float(n)
        admitted = controller.admit(workload, 'slow', 1.0, now)
        controller.finish(admitted, wait_s=0.5, succeeded=False, now=now)


def test_long_waits_lower_the_limit_of_a_priority_and_lower_ones():
    controller = admission.AdmissionController()
    slow_down(controller, make_workload(2))
    assert controller.limit(1) == admission.INITIAL_LIMIT
    assert controller.limit(2) == controller.limit(3) == admission.MIN_LIMIT


def test_highest_priority_is_admitted_while_lower_ones_are_refused():
    controller = admission.AdmissionController()
    slow_down(controller, make_workload(1))
    fill(controller, make_workload(1), 2)
    with pytest.raises(errors.OverloadedError):
        fill(controller, make_workload(1), 1, caller='d')
    fill(controller, make_workload(0), 20)


def test_requests_of_higher_priorities_count_against_lower_ones():
    controller = admission.AdmissionController()
    slow_down(controller, make_workload(1))
    fill(controller, make_workload(0), 5)
    with pytest.raises(errors.OverloadedError):
        fill(controller, make_workload(1), 1)


def test_greedy_caller_leaves_room_for_another():
    controller = admission.AdmissionController()
    workload = make_workload(0)
    other = controller.admit(workload, 'modest', 1.0, 0.0)
    with pytest.raises(errors.OverloadedError):
        for _ in range(int(admission.INITIAL_LIMIT)):
            controller.admit(workload, 'greedy', 1.0, 0.0)
    controller.admit(workload, 'modest', 1.0, 0.0)
    controller.finish(other, 0.0, True, 0.1)


def test_infeasible_deadline_is_refused():
    controller = admission.AdmissionController()
    workload = make_workload(0)
    for _ in range(3):
        admitted = controller.admit(workload, 'c', 1.0, 0.0)
        controller.finish(admitted, 0.0, succeeded=True, now=0.4)
    with pytest.raises(errors.DeadlineInfeasibleError):
        controller.admit(workload, 'c', 0.1, 1.0)


def test_limit_rises_again_when_waits_end():
    controller = admission.AdmissionController()
    workload = make_workload(0)
    slow_down(controller, workload)
    low = controller.limit(0)
    for n in range(200):
        admitted = fill(
            controller, workload, controller.limit(0), caller=f'{n}-'
        )
        for request in admitted:
            controller.finish(request, 0.0, succeeded=False, now=200.0 + n)
    assert controller.limit(0) > low
