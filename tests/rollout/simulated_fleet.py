"""A roll-out on several instances, simulated with the real decisions.

Instances learn of writes and of each other's sums with a delay, and one of
them may be cut off. Time advances in steps; answers arrive after the latency
of their target.
"""

import heapq
import random

from savorycross.overload import shares
from savorycross.rollout import evaluation
from savorycross.rollout import exposure
from savorycross.rollout import order as orders
from savorycross.rollout import status
from savorycross.rollout import sums

STEP_S = 0.05
SUMS_INTERVAL_S = 0.5
# Time until a message of the writer stops other instances.
HALT_S = 0.1
SHARE = 0.1
CREDIT = 20
OLD_S = 0.02


class Version:
    """A version without a fault.

    :param rng: random.Random.
    :param over_s: seconds of the roll-out.
    """

    def __init__(self, rng, over_s=60.0):
        self.rng = rng
        self.over_s = over_s

    def answer(self, route, now, part):
        """Return the latency, and whether the answer is a failure.

        :param part: part of the latest requests that the version got.
        """
        return self.rng.lognormvariate(0.0, 0.5) * OLD_S, False


class Failing(Version):
    """A version of which a part of the answers are failures at once."""

    def answer(self, route, now, part):
        """Return the latency, and whether the answer is a failure."""
        return super().answer(route, now, part)[0], self.rng.random() < 0.15


class SlowLater(Version):
    """A version that becomes several times slower."""

    def answer(self, route, now, part):
        """Return the latency, and whether the answer is a failure."""
        factor = 4.0 if now > 0.6 * self.over_s else 1.0
        return factor * super().answer(route, now, part)[0], False


class SlowUnderLoad(Version):
    """A version that is slow as soon as it gets half of the requests."""

    def answer(self, route, now, part):
        """Return the latency, and whether the answer is a failure."""
        factor = 4.0 if part > 0.5 else 1.0
        return factor * super().answer(route, now, part)[0], False


class FailingRoute(Version):
    """A version that fails on one of the routes."""

    def answer(self, route, now, part):
        """Return the latency, and whether the answer is a failure."""
        has_failed = route == 3 and self.rng.random() < 0.4
        return super().answer(route, now, part)[0], has_failed


class Instance:
    """What one instance knows and has counted."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.exposure = exposure.Exposure(SHARE)
        self.records = []
        self.record = None
        self.sums = {}

    def learn(self, now):
        """Take in the records that have arrived."""
        while self.records and self.records[0][0] <= now:
            self.record = self.records.pop(0)[1]


class Fleet:
    """Instances that share a service with an old and a new version.

    ``late_sends`` counts sends to the new version after ``rollback_s`` from
    its 50th bad answer.

    :param version: Version that is rolled out.
    :param trouble: callable that takes the time and returns a factor of all
        latencies.
    """

    def __init__(
        self,
        seed,
        version,
        over_s=60.0,
        rate_per_s=100.0,
        count=9,
        cut_off=(),
        trouble=lambda now: 1.0,
    ):
        self.rng = random.Random(seed)
        self.order = orders.RolloutOrder('s', 'v2', over_s)
        self.instances = [
            Instance(self.rng.uniform(0.2, 2.0)) for _ in range(count)
        ]
        names = frozenset(map(str, range(count)))
        for number, instance in enumerate(self.instances):
            divided = shares.LimitShares(str(number), names)
            instance.exposure.credit = divided.units(CREDIT, 's')
        self.cut_off = cut_off
        self.record = None
        self.evaluation = evaluation.Evaluation(over_s)
        self.requests = self.new_sends = self.late_sends = 0
        self.bad_answers = 0
        self.rollback_at = None
        self.ended_at = None
        self._rate_per_s = rate_per_s
        self._version = version(self.rng, over_s)
        self._old = Version(self.rng)
        self._trouble = trouble
        self._answers = []
        self._part = 0.0
        self._halted_at = None

    def run(self):
        """Run until the deadline."""
        steps = round(self.order.over_s / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            self._take_answers(now)
            for number, instance in enumerate(self.instances):
                self._send(instance, now)
                if step % 10 == number % 10:
                    self._pool(number, instance)
            if step % 10 == 0:
                if self.evaluation.close_block() and not self._halted_at:
                    self._halted_at = now + HALT_S
                self._write(now)
        return self

    @property
    def allowed(self):
        """Sends that the new version may get."""
        return SHARE * self.requests + 50

    def _send(self, instance, now):
        instance.learn(now)
        is_halted = self._halted_at is not None and now > self._halted_at
        instance.exposure.set_phase(
            exposure.choose_phase(self.order, instance.record, now, is_halted)
        )
        instance.exposure.part = orders.MAJORITY
        if instance.exposure.phase is exposure.Phase.MOVING:
            instance.exposure.part = self.order.moving_part(now)
        mean = self._rate_per_s * STEP_S / len(self.instances)
        while mean > 0 and self.rng.random() < mean:
            mean -= 1.0
            is_new = instance.exposure.allows_new(True)
            instance.exposure.record_send(is_new, True)
            self.requests += 1
            self.new_sends += is_new
            is_late = self.rollback_at is not None and now > self.rollback_at
            self.late_sends += is_new and is_late
            weight = min(1.0, 2.0 / self._rate_per_s)
            self._part += weight * (is_new - self._part)
            route = self.rng.randrange(4)
            version = self._version if is_new else self._old
            took_s, has_failed = version.answer(route, now, self._part)
            took_s *= self._trouble(now)
            heapq.heappush(
                self._answers,
                (
                    now + took_s,
                    self.rng.random(),
                    instance,
                    route,
                    is_new,
                    took_s,
                    has_failed,
                ),
            )

    def _take_answers(self, now):
        while self._answers and self._answers[0][0] <= now:
            at, _, instance, route, is_new, took_s, has_failed = heapq.heappop(
                self._answers
            )
            pair = instance.sums.setdefault(route, (sums.Sums(), sums.Sums()))
            pair[is_new].add_answer(took_s, has_failed)
            if is_new and (has_failed or took_s > 3 * OLD_S):
                self.bad_answers += 1
                if self.bad_answers == 50:
                    self.rollback_at = at + 5.0

    def _pool(self, number, instance):
        if number in self.cut_off:
            return
        for route, (old, new) in instance.sums.items():
            self.evaluation.add(f'r{route}', old, new)
        instance.sums.clear()

    def _write(self, now):
        view = status.View(
            self.order,
            self.record,
            now,
            now,
            is_bad=bool(self.evaluation.reason),
            is_drained=not any(
                i.exposure.phase is not exposure.Phase.NEW_ONLY
                for i in self.instances
            ),
        )
        record = status.decide(view)
        if record is None:
            return
        self.record = record
        if record.state.is_final and self.ended_at is None:
            self.ended_at = now
        for instance in self.instances:
            instance.records.append((now + instance.delay_s, record))
