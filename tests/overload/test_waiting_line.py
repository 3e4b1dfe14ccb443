"""The order of sends that wait for room."""

from savorycross.overload import waiting_line


class Send:
    """A waiting send at a fixed place."""

    def __init__(self, priority=1, needed=1, end_at=9.0, is_late=False):
        self._place = waiting_line.Place((priority,), needed, end_at, is_late)

    def place(self):
        """Return the place."""
        return self._place


def _make_line(*sends):
    line = waiting_line.WaitingLine()
    for send in sends:
        line.join(send)
    return line


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
        line.leave(line.ordered()[0])
        line.record_turn()
        turns += 1
    assert turns <= waiting_line.FAIR_TURN
