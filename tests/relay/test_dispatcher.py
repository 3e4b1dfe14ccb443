from savorycross.catalogue import target
from savorycross.plan import inventory
from savorycross.relay import budget
from savorycross.relay import dispatcher
from savorycross.relay import hedge
from savorycross.relay import job
from savorycross.relay import policy


def make_target(name, shards=(0, 1)):
    return target.Target(
        name, 'svc', 'svc', 'x', '127.0.0.1', 1, shards, 2, 10
    )


def make_inventory(name):
    holding = inventory.Holding(inventory.Snapshot(0, 0), 2, (0, 1))
    return inventory.TargetInventory(name, 'boot', True, False, (holding,))


class Harness:
    """A dispatcher with two replicas, warm by default."""

    def __init__(self, ratio=0.05, initial=5.0, hedging=None, warm=True):
        self.extra_budget = budget.ExtraLoadBudget(ratio, 20.0, initial)
        self.allows_cold = True
        self.dispatcher = dispatcher.Dispatcher(
            'svc',
            [make_target('a'), make_target('b')],
            policy.Policy(
                hedging=hedging or hedge.FixedHedging(0.05), probes=False
            ),
            self.extra_budget,
            lambda name, now: self.allows_cold,
        )
        if warm:
            for replica in self.dispatcher.replicas.values():
                replica.update_inventory(make_inventory(replica.name))
                replica.limiter.adopt_warm('boot', 2)

    def submit(self, job_id=1, now=0.0, deadline=1.0, **fields):
        new_job = job.Job(
            job_id, 1, 'r', 'svc', 'svc/0', 0, 0, 0, 0, deadline, b'', **fields
        )
        return self.dispatcher.submit(new_job, now)

    def answer(self, send, status=job.Status.OK, now=0.01, rate_per_s=None):
        result = job.AttemptResult(status, b'[]', 'boot', True, rate_per_s)
        return self.dispatcher.handle_result(send.attempt_id, result, now)


def action_names(actions):
    return [type(a).__name__ for a in actions]


def test_slow_first_answer_is_hedged_and_the_loser_cancelled():
    harness = Harness()
    (first,) = harness.submit()
    (second,) = harness.dispatcher.run_due_timers(0.05)
    assert {first.target, second.target} == {'a', 'b'}
    actions = harness.answer(second, now=0.06)
    assert action_names(actions) == ['Finish', 'Cancel']
    assert actions[1].attempt_id == first.attempt_id


def test_cancelled_attempt_keeps_its_slot_until_it_ends():
    harness = Harness()
    (first,) = harness.submit()
    (second,) = harness.dispatcher.run_due_timers(0.05)
    harness.answer(second, now=0.06)
    limiter = harness.dispatcher.replicas[first.target].limiter
    assert limiter.in_flight == 1
    harness.answer(first, job.Status.CANCELLED, now=0.07)
    assert limiter.in_flight == 0


def test_no_hedge_without_budget():
    harness = Harness(initial=0.0)
    harness.submit()
    assert harness.dispatcher.run_due_timers(0.05) == []


def test_budget_bounds_retries_when_every_target_refuses():
    harness = Harness(initial=3.0)
    queue = list(harness.submit(deadline=10.0))
    sends = 0
    now = 0.0
    while queue:
        action = queue.pop(0)
        if isinstance(action, job.Send):
            sends += 1
            now += 0.05
            queue += harness.answer(action, job.Status.REFUSED, now)
            queue += harness.dispatcher.run_due_timers(now + 0.02)
    assert sends <= 1 + 3
    assert harness.extra_budget.extra_sends <= 3


def test_booking_is_never_hedged_and_not_sent_again_after_a_lost_answer():
    harness = Harness()
    (first,) = harness.submit(repeatable=False)
    assert harness.dispatcher.run_due_timers(0.5) == []
    (finish,) = harness.answer(first, job.Status.LOST)
    assert (finish.ran, finish.cause) == (None, job.Cause.FAILED)


def test_booking_is_sent_again_after_a_positive_refusal():
    harness = Harness()
    (first,) = harness.submit(repeatable=False)
    (second,) = harness.answer(first, job.Status.REFUSED)
    assert second.target != first.target


def test_queued_booking_that_expires_has_not_run():
    harness = Harness(warm=False)
    harness.allows_cold = False
    assert harness.submit(repeatable=False) == []
    (finish,) = harness.dispatcher.run_due_timers(1.0)
    assert (finish.ran, finish.cause) == (False, job.Cause.DEADLINE)


def test_cold_target_is_not_sent_to_without_certain_ownership():
    harness = Harness(warm=False)
    harness.allows_cold = False
    assert harness.submit() == []
    harness.allows_cold = True
    assert action_names(harness.dispatcher.dispatch_queued(0.1)) == ['Send']


def test_attempt_at_a_cold_target_ends_within_the_fence():
    harness = Harness(warm=False)
    (send,) = harness.submit(now=0.0, deadline=60.0)
    assert send.ends_at == dispatcher.COLD_ATTEMPT_S


def test_urgent_job_goes_before_one_that_waits():
    harness = Harness()
    for number in range(1, 5):
        harness.submit(number)
    late = job.Job(9, 1, 'r', 'svc', 'svc/0', 0, 0, 0, 3, 1.0, b'')
    urgent = job.Job(8, 1, 'r', 'svc', 'svc/0', 0, 0, 0, 0, 1.0, b'')
    harness.dispatcher.submit(late, 0.0)
    harness.dispatcher.submit(urgent, 0.0)
    first = next(iter(harness.dispatcher._attempts.values()))
    sent = [
        a
        for a in harness.answer(job.Send(first.attempt_id, 'a', None))
        if isinstance(a, job.Send)
    ]
    assert sent[0].job.job_id == 8


def _make_limited_harness(rate_per_s):
    """Return a Harness whose targets have stated a rate, at 0.01 s."""
    harness = Harness()
    for number in (1, 2):
        harness.submit(number, deadline=9.0)
    for attempt in list(harness.dispatcher._attempts.values()):
        send = job.Send(attempt.attempt_id, attempt.replica.name, None)
        harness.answer(send, rate_per_s=rate_per_s)
    assert all(r.rate.is_limited for r in harness.dispatcher.replicas.values())
    return harness


def test_job_beyond_the_stated_rates_is_refused_at_once():
    harness = _make_limited_harness(0.5)
    (finish,) = harness.submit(3, now=0.02, deadline=1.0)
    assert (finish.cause, finish.ran) == (job.Cause.OVERLOADED, False)


def test_job_waits_for_the_rate_that_a_target_states():
    harness = _make_limited_harness(2.0)
    assert harness.submit(3, now=0.02, deadline=2.0) == []
    assert harness.dispatcher.next_timer_at() <= 0.52
    actions = harness.dispatcher.run_due_timers(0.52)
    assert action_names(actions) == ['Send']


def test_requests_of_the_inventory_count_toward_the_rate():
    harness = _make_limited_harness(2.0)
    for name in harness.dispatcher.replicas:
        harness.dispatcher.count_request(name, 0.6)
        assert harness.dispatcher.check_interval_s(name, 0.6) == 5.0
    assert harness.submit(3, now=0.62, deadline=2.0) == []


def test_uncertain_owner_sends_at_a_small_part_of_the_rate():
    harness = _make_limited_harness(4.0)
    harness.allows_cold = False
    sends = 0
    for number in range(3, 60):
        actions = harness.submit(number, now=number / 10, deadline=99.0)
        sends += action_names(actions).count('Send')
    assert 1 <= sends <= 2 * (1 + 0.4 * 6)


def test_refusal_without_a_rate_does_not_end_a_limit():
    harness = _make_limited_harness(4.0)
    (send,) = harness.submit(3, now=0.5, deadline=2.0)
    harness.answer(send, job.Status.REFUSED, now=0.51)
    assert harness.dispatcher.replicas[send.target].rate.is_limited
    (send,) = harness.submit(4, now=1.5, deadline=2.0)
    harness.answer(send, now=1.6)
    assert not harness.dispatcher.replicas[send.target].rate.is_limited
