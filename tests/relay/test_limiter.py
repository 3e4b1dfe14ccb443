from savorycross.relay import job
from savorycross.relay import limiter


def make_result(status=job.Status.OK, boot='b1', warm=True):
    return job.AttemptResult(status, b'', boot, warm)


def run_requests(target_limiter, count, result=None, now=0.0):
    for _ in range(count):
        target_limiter.start()
        target_limiter.finish(result or make_result(), now)


def make_warm(slots=4):
    target_limiter = limiter.ConcurrencyLimiter(slots, 1)
    target_limiter.observe('b1', True)
    run_requests(target_limiter, 60)
    return target_limiter


def test_unknown_target_gets_the_cold_limit():
    assert limiter.ConcurrencyLimiter(6, 1).limit == 1


def test_target_that_answers_as_warm_gets_all_slots():
    target_limiter = make_warm()
    assert target_limiter.is_warm
    assert target_limiter.limit == 4


def test_cold_answers_keep_the_cold_limit():
    target_limiter = limiter.ConcurrencyLimiter(4, 1)
    run_requests(target_limiter, 50, make_result(warm=False))
    assert target_limiter.limit == 1


def test_new_boot_identity_returns_to_the_cold_limit_at_once():
    target_limiter = make_warm()
    run_requests(target_limiter, 1, make_result(boot='b2'))
    assert (target_limiter.limit, target_limiter.is_warm) == (1, False)


def test_lost_connection_returns_to_the_cold_limit_at_once():
    target_limiter = make_warm()
    run_requests(target_limiter, 1, make_result(job.Status.LOST))
    assert (target_limiter.limit, target_limiter.is_warm) == (1, False)


def test_refusal_lowers_the_limit_and_pauses():
    target_limiter = make_warm()
    run_requests(target_limiter, 1, make_result(job.Status.REFUSED), now=5.0)
    assert target_limiter.limit == 2
    assert not target_limiter.has_room(5.0)
    assert target_limiter.has_room(5.0 + limiter.REFUSAL_PAUSE_S)


def test_repeated_failures_eject_for_a_growing_time():
    target_limiter = make_warm()
    run_requests(target_limiter, 3, make_result(job.Status.TIMEOUT), now=10.0)
    assert target_limiter.blocked_until() == 10.0 + limiter.MIN_EJECTION_S
    run_requests(target_limiter, 1, make_result(job.Status.TIMEOUT), now=20.0)
    assert target_limiter.blocked_until() == 20.0 + 2 * limiter.MIN_EJECTION_S
