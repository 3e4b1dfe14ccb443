import hypothesis
import pytest
import trio
import trio.testing

hypothesis.settings.register_profile('fixed', derandomize=True, database=None)
hypothesis.settings.load_profile('fixed')


@pytest.fixture(autouse=True)
def deterministic_scheduling(monkeypatch):
    """Make trio schedule runnable tasks in the same order in each run."""
    trio_run = trio._core._run
    monkeypatch.setattr(trio_run, '_ALLOW_DETERMINISTIC_SCHEDULING', True)
    trio_run._r.seed(0)


@pytest.fixture
def paused_clock():
    """Return a clock that skips ahead whenever all tasks are blocked."""
    return trio.testing.MockClock(autojump_threshold=0)
