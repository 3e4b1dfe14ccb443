"""The fractions of a service's sends that go to other data centres.

Load pattern: one data centre has a part of its targets, or several times the
callers of the others. Its own targets queue while others have free slots.

Method: marginal latency. In an equilibrium no send would be faster elsewhere
(Wardrop, 1952); each instance moves toward it in small steps, up as long as
the other data centre is faster by more than the price of its bytes, and down
otherwise. A step that changes direction is half as long, further ones in the
same direction are longer again (Rprop, Riedmiller and Braun, 1993), so that
instances that act at the same time don't oscillate.
"""

import dataclasses

STEP_INTERVAL_S = 0.25
# Sends in flight for each own slot from which on sends leave. Two slots are
# both busy a third of the time then, so that queues begin to form.
SPILL_UTILISATION = 0.7
# Below it they come back. The gap keeps a fraction from going up and down.
RETURN_UTILISATION = 0.5
MAX_STEP = 0.1
MIN_STEP = 0.01
STEP_GROWTH = 1.2
# A first fraction, which tells whether the other data centre is faster.
PROBE = 0.05
# Smallest gain for which a fraction grows, in typical latencies. At 0.1 a
# data centre with a third of its targets sent a tenth more away, and callers
# waited 1% longer.
MIN_GAIN = 0.3
# A data centre that proved slower is tried again after the shortest time,
# which doubles up to the longest.
MIN_BACKOFF_S = 2.0
MAX_BACKOFF_S = 16.0
# Factor by which the lowest cost of late rises with each step.
COST_GROWTH = 1.02
MAX_FRACTION = 0.9
# Part of another data centre's slots that all senders of this one may use
# together. Utilisation up to SPILL_UTILISATION leaves half of it to its own
# callers, whose number is not known here.
HEADROOM = SPILL_UTILISATION / 2


@dataclasses.dataclass(frozen=True, slots=True)
class Side:
    """What this instance knows of a service's targets in a data centre.

    :param slots: requests that they work on at once.
    :param demand: mean number of this instance's sends in flight to them if
        each takes the typical latency.
    :param cost: expected latency of a send in typical latencies, with the
        price of its bytes.
    :param is_known: whether answers have lately told the cost.
    """

    slots: float
    demand: float
    cost: float
    is_known: bool = True


class Spill:
    """Fractions of one service's sends by the data centre they go to.

    ``fractions`` maps the names of other data centres to fractions above 0.
    """

    def __init__(self):
        self.fractions = {}
        self._retries = {}
        self._steps = {}
        self._service_cost = 1.0

    def step(self, local, remotes, senders, now):
        """Move the fractions by one step.

        :param local: Side of the own data centre.
        :param remotes: Side by name of each other data centre.
        :param senders: instances of the own data centre that send.
        :param now: runtime clock time in seconds.
        """
        fractions = {}
        if local.slots:
            used = find_utilisation(local, senders)
            work = senders * self._find_work([local, *remotes.values()])
            for name, remote in remotes.items():
                fraction = self._move(name, local, remote, used, now)
                if work:
                    room = HEADROOM * remote.slots / work
                    fraction = min(fraction, room)
                if fraction > 0.0:
                    fractions[name] = fraction
        excess = sum(fractions.values()) / MAX_FRACTION
        if excess > 1.0:
            fractions = {n: f / excess for n, f in fractions.items()}
        self.fractions = fractions

    def choose(self, draw):
        """Return the data centre that a send goes to, or None for the own.

        :param draw: number from 0 to 1, uniformly distributed over sends.
        """
        for name, fraction in self.fractions.items():
            if draw < fraction:
                return name
            draw -= fraction
        return None

    def _move(self, name, local, remote, used, now):
        """Return the next fraction for a data centre, before its bounds."""
        fraction = self.fractions.get(name, 0.0)
        if not remote.slots:
            return 0.0
        if used < RETURN_UTILISATION:
            return fraction - self._change_step(name, -1)
        if not remote.is_known:
            return self._probe(name, fraction, used, now)
        gain = local.cost - remote.cost
        if gain < 0.0:
            step = self._change_step(name, -1)
            if 0.0 < fraction <= step:
                self._back_off(name, now)
            return fraction - step
        if used <= SPILL_UTILISATION or gain < MIN_GAIN:
            return fraction
        if fraction > PROBE:
            self._retries.pop(name, None)
        return fraction + self._change_step(name, 1)

    def _find_work(self, sides):
        """Return the number of slots that this instance's sends keep busy.

        Latencies grow with queues, so the lowest cost of late stands for the
        time that a send occupies a slot. The typical latency is an upper
        bound.
        """
        fastest = min((s.cost for s in sides if s.is_known), default=1.0)
        grown = self._service_cost * COST_GROWTH
        self._service_cost = min(fastest, grown, 1.0)
        return self._service_cost * sum(s.demand for s in sides)

    def _change_step(self, name, direction):
        """Return the size of the next step in a direction."""
        former, size = self._steps.get(name, (direction, MAX_STEP))
        size *= STEP_GROWTH if direction == former else 0.5
        size = min(max(size, MIN_STEP), MAX_STEP)
        self._steps[name] = direction, size
        return size

    def _probe(self, name, fraction, used, now):
        """Return the fraction for a data centre whose cost is not known."""
        if fraction > PROBE or used <= SPILL_UTILISATION:
            return fraction - MAX_STEP
        retry_at, _ = self._retries.get(name, (0.0, 0.0))
        return PROBE if now >= retry_at else 0.0

    def _back_off(self, name, now):
        _, backoff_s = self._retries.get(name, (0.0, MIN_BACKOFF_S / 2))
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        self._retries[name] = (now + backoff_s, backoff_s)


def find_utilisation(side, senders):
    """Return how many sends are in flight for each slot of a data centre.

    Sends that wait for a slot count too.

    :param side: its Side.
    :param senders: instances that send as much as this one.
    """
    if not side.slots:
        return 0.0
    return side.demand * side.cost * senders / side.slots
