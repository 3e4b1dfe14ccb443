"""The share of extra sends."""

from hypothesis import given
from hypothesis import strategies as st

from savorycross.forward import budget
from savorycross.gateway import site

LIMITS = site.ExtraLimits(ratio=0.2, slack=40.0, window_s=10.0)


def _make(fraction=1.0, instances=4):
    found = budget.ExtraBudget(LIMITS, 0.0, fraction)
    found.set_instances(instances)
    return found


def test_retries_may_use_what_hedges_leave():
    found = _make()
    while found.take_hedge(0.0):
        pass
    assert found.take_retry(0.0)


def test_restarted_instance_starts_with_little():
    assert not _make(fraction=0.1).take_retry(0.0)


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
            found.earn()
            earned.append(now)
        elif step == 'retry' and found.take_retry(now):
            taken.append(now)
        elif step == 'hedge' and found.take_hedge(now):
            taken.append(now)
    for start in taken:
        end = start + LIMITS.window_s
        n = sum(start <= t <= end for t in taken)
        # Requests of the window before count as well.
        requests = sum(start - LIMITS.window_s <= t <= end for t in earned)
        assert n <= LIMITS.ratio * requests + LIMITS.slack / 4 + 1e-6
