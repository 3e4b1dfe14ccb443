"""The share of extra sends."""

from hypothesis import given
from hypothesis import strategies as st

from savorycross.forward import budget
from savorycross.gateway import instance_settings

LIMITS = instance_settings.ExtraSendLimits(
    ratio=0.2, slack=40.0, window_s=10.0
)


def _make(is_successor=False, instances=4):
    found = budget.ExtraBudget(LIMITS, 0.0, is_successor)
    found.set_instances(instances)
    return found


def test_retries_may_use_what_hedges_leave():
    found = _make()
    while found.take_hedge(0.0, is_vital=True):
        pass
    assert found.take_retry(0.0)


def test_vital_hedges_may_use_what_others_leave():
    found = _make()
    while found.take_hedge(0.0, is_vital=False):
        pass
    assert found.take_hedge(0.0, is_vital=True)


def test_successor_is_given_the_slack_little_by_little():
    found = _make(is_successor=True)
    assert not found.take_retry(0.0)
    assert found.take_retry(5.0)


def test_share_is_whole_again_after_a_window():
    found = _make()
    n = 0
    while found.take_retry(0.0):
        n += 1
    assert n == LIMITS.slack / 4
    assert not found.take_retry(9.0)
    assert found.take_retry(LIMITS.window_s + budget.SLOT_S)


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.5),
            st.sampled_from(['earn', 'retry', 'hedge']),
        ),
        max_size=300,
    )
)
def test_no_window_exceeds_the_share(steps):
    found = _make()
    now = 0.0
    earned, taken = [], []
    for wait, step in steps:
        now += wait
        if step == 'earn':
            found.earn(now)
            earned.append(now)
        elif step == 'retry' and found.take_retry(now):
            taken.append(now)
        elif step == 'hedge' and found.take_hedge(now, True):
            taken.append(now)
    for start in taken:
        end = start + LIMITS.window_s
        n = sum(start <= t <= end for t in taken)
        # Requests of the window before count as well.
        requests = sum(start - LIMITS.window_s <= t <= end for t in earned)
        assert n <= LIMITS.ratio * requests + LIMITS.slack / 4 + 1e-6
