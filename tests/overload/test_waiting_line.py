"""The order of sends that wait for room."""

import collections

from savorycross.overload import waiting_line
from savorycross.workspace import workspace as workspaces


class Send:
    """A waiting send at a fixed place."""

    def __init__(
        self,
        priority=1,
        needed=1,
        end_at=9.0,
        is_late=False,
        workspace=None,
    ):
        self.workspace = workspace and workspaces.Workspace(workspace)
        self._place = waiting_line.Place((priority,), needed, end_at, is_late)

    def place(self):
        """Return the place."""
        return self._place


def _make_line(*sends):
    line = waiting_line.WaitingLine()
    for send in sends:
        line.join(send)
    return line


def _serve(line):
    """Give the next turn; return the send that gets it."""
    send = line.ordered()[0]
    line.leave(send)
    line.record_turn(send)
    return send


def test_urgent_sends_go_before_those_that_came_earlier():
    calm, urgent = Send(priority=3), Send(priority=0)
    assert _make_line(calm, urgent).ordered() == [urgent, calm]


def test_call_that_needs_few_further_parts_goes_first():
    begun, nearly_done = Send(needed=5), Send(needed=1)
    assert _make_line(begun, nearly_done).ordered() == [nearly_done, begun]


def test_send_that_comes_too_late_or_is_not_needed_goes_last():
    late, spare = Send(priority=0, is_late=True), Send(priority=0, needed=0)
    in_time = Send(priority=3)
    assert _make_line(late, spare, in_time).ordered() == [in_time, late, spare]


def test_one_turn_in_a_few_goes_to_the_one_that_waited_longest():
    calm = Send(priority=3)
    line = _make_line(calm)
    turns = 0
    while calm in line:
        line.join(Send(priority=0))
        _serve(line)
        turns += 1
    assert turns <= waiting_line.FAIR_TURN


def _count_turns(names, turns, **fields):
    """Return how many turns each workspace gets.

    :param names: workspaces of the sends that join before each turn.
    """
    line = _make_line()
    counts = collections.Counter()
    for _ in range(turns):
        for name in names:
            line.join(Send(workspace=name, **fields))
        counts[_serve(line).workspace.name] += 1
    return counts


# Guards against a workspace that fills the line with a burst and takes the
# turns of the others.
def test_burst_of_one_workspace_leaves_the_others_their_turns():
    counts = _count_turns(['busy'] * 10 + ['a', 'b', 'c'], 120)
    others = [counts[name] for name in 'abc']
    # One turn in four goes to the send that has waited longest.
    assert min(others) >= 120 / 4 * (1 - 1 / waiting_line.FAIR_TURN)
    assert counts['busy'] <= 120 / 4 + 120 / waiting_line.FAIR_TURN


def test_workspace_that_was_silent_saves_up_no_turns():
    line = _make_line()
    for _ in range(40):
        line.join(Send(workspace='a'))
        _serve(line)
    for _ in range(20):
        line.join(Send(workspace='a'))
        line.join(Send(workspace='new'))
    counts = collections.Counter(_serve(line).workspace.name for _ in range(8))
    assert counts['new'] <= 5


# Guards against a workspace that pays later for sends that were given up.
def test_sends_that_left_the_line_cost_their_workspace_no_turns():
    line = _make_line()
    given_up = [Send(workspace='busy') for _ in range(50)]
    for send in given_up:
        line.join(send)
    for send in given_up:
        line.leave(send)
    for _ in range(4):
        line.join(Send(workspace='busy'))
        line.join(Send(workspace='a'))
    counts = collections.Counter(_serve(line).workspace.name for _ in range(4))
    assert counts['busy'] >= 1


def test_urgency_goes_before_the_turns_of_workspaces():
    line = _make_line(Send(priority=0, workspace='busy'))
    for _ in range(2):
        line.record_turn(Send(workspace='busy'))
    line.join(Send(priority=3, workspace='a'))
    assert line.ordered()[0].workspace.name == 'busy'
