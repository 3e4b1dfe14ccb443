"""A model of a target: slots, cold start, versions, bookings, faults."""

import dataclasses
import itertools
import json
import math
import random

import trio

from standins import stated_rate

WARM_UP_ANSWERS = 15
OVERLOAD_S = 1.0
LATE_ANSWER_DELAY_S = 1.5
RECORDS_PER_SHARD = 4


@dataclasses.dataclass
class Timing:
    """The service times of a target, which follow a lognormal distribution.

    :param median_s: median service time of a warm target in seconds.
    :param sigma: standard deviation of its logarithm.
    :param cold_factor: factor on the service time of a cold target.
    """

    median_s: float = 0.004
    sigma: float = 0.35
    cold_factor: float = 8.0


@dataclasses.dataclass
class Faults:
    """Faults that can be switched on.

    :param slow_factor: factor on the service time.
    :param refuse: refuse all work.
    :param crossed: ratio of answers that carry the id of another attempt.
    :param cut: ratio of truncated answers.
    :param drop: ratio of answers lost after the work was done.
    :param late: ratio of answers delayed by ``LATE_ANSWER_DELAY_S``.
    :param frozen: answer nothing.
    """

    slow_factor: float = 1.0
    refuse: bool = False
    crossed: float = 0.0
    cut: float = 0.0
    drop: float = 0.0
    late: float = 0.0
    frozen: bool = False


@dataclasses.dataclass
class Record:
    """What has happened at a target.

    :param bookings: request id of each booking that ran, in order.
    :param cold_peak: most requests in flight while the target was cold.
    :param cold_over: number of requests refused because all slots of the
        cold target were in use.
    :param started: number of requests that were started.
    :param shed: number of other refused requests.
    :param cancelled: number of cancelled searches.
    :param last_started: clock time of the last start in seconds.
    """

    bookings: list = dataclasses.field(default_factory=list)
    cold_peak: int = 0
    cold_over: int = 0
    started: int = 0
    shed: int = 0
    cancelled: int = 0
    last_started: float = -math.inf


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer of a target to a request, and the faults that affect it.

    :param code: HTTP status.
    """

    code: int
    body: bytes = b''
    lost: bool = False
    cut: bool = False
    crossed: bool = False


class TargetModel:
    """A target with a limited number of slots, which is cold after a start.

    :param slots: limit of requests in flight; more are refused.
    :param cold_slots: limit of requests in flight while the target is cold;
        one more makes it refuse all work for ``OVERLOAD_S`` seconds.
    :param timing: Timing.
    :param holdings: dict of (version, epoch) to (total, shards): the number
        of shards of the map and the numbers of the shards held.
    ``stated_rate`` is the StatedRate of all requests to it.

    :param seed: seed of the service times.
    """

    def __init__(
        self, name, service, holdings, slots, cold_slots, timing=None, seed=0
    ):
        self.name = name
        self.service = service
        self.holdings = dict(holdings)
        self.slots = slots
        self.cold_slots = cold_slots
        self.timing = timing or Timing()
        self.faults = Faults()
        self.record = Record()
        self.warm = False
        self.draining = False
        self.in_flight = 0
        self.boot = ''
        self.stated_rate = stated_rate.StatedRate()
        self._boots = itertools.count(1)
        self._rng = random.Random(f'{name}/{seed}')
        self._answers_since_cold = 0
        self._overloaded_until = -math.inf
        self._running = {}
        self.restart()

    def restart(self):
        """Restart as another process with cold caches."""
        self.boot = f'{self.name}#{next(self._boots)}'
        self.fall_cold()
        self._generation = object()
        self.in_flight = 0

    def fall_cold(self):
        """Lose the caches."""
        self.warm = False
        self._answers_since_cold = 0

    def warm_up(self):
        """Warm up the caches at once."""
        self.warm = True

    def split(self, total, epoch):
        """Replace the shard maps by a new one with all shards at this target.

        :param total: number of shards.
        :param epoch: epoch of the new shard map.
        """
        version = max(v for v, _ in self.holdings)
        self.holdings = {(version, epoch): (total, tuple(range(total)))}

    def inventory(self):
        """Return the inventory as JSON values."""
        return {
            'boot': self.boot,
            'warm': self.warm,
            'draining': self.draining,
            'holdings': [
                {
                    'version': version,
                    'epoch': epoch,
                    'total': total,
                    'shards': list(shards),
                }
                for (version, epoch), (total, shards) in sorted(
                    self.holdings.items()
                )
            ],
        }

    async def search(self, body):
        """Answer a search."""
        if not self._holds(body):
            return self._reject_snapshot()
        return await self._run(body, self._search_result)

    def _holds(self, body):
        snapshot = (body['version'], body['epoch'])
        return body['shard'] in self.holdings.get(snapshot, (0, ()))[1]

    def _reject_snapshot(self):
        """Refuse an unknown snapshot and state the present ones."""
        return Answer(409, json.dumps(self.inventory()).encode())

    async def book(self, body):
        """Run a booking."""
        return await self._run(body, self._booking_result, cancellable=False)

    def cancel(self, attempt):
        """Cancel a search; its slot is free once it has answered."""
        scope = self._running.get(attempt)
        if scope is not None:
            self.record.cancelled += 1
            scope.cancel()

    async def _run(self, body, make_result, cancellable=True):
        now = trio.current_time()
        refusal = self._admit(now)
        if refusal is not None:
            return refusal
        generation = self._generation
        self.in_flight += 1
        self.record.started += 1
        self.record.last_started = now
        if not self.warm:
            self.record.cold_peak = max(self.record.cold_peak, self.in_flight)
        try:
            answer = await self._serve(body, make_result, cancellable)
        finally:
            if generation is self._generation:
                self.in_flight -= 1
        if generation is not self._generation:
            return Answer(0, lost=True)
        return answer

    def _admit(self, now):
        """Return a refusal, or None to start the work."""
        if self.faults.refuse or now < self._overloaded_until:
            self.record.shed += 1
            return Answer(503)
        if not self.warm and self.in_flight >= self.cold_slots:
            self.record.cold_over += 1
            self.record.cold_peak = max(
                self.record.cold_peak, self.in_flight + 1
            )
            self._overloaded_until = now + OVERLOAD_S
            self._answers_since_cold = 0
            return Answer(503)
        if self.in_flight >= self.slots:
            self.record.shed += 1
            return Answer(429)
        return None

    async def _serve(self, body, make_result, cancellable):
        if self.faults.frozen:
            await trio.sleep_forever()
        duration_s = self._draw_duration_s()
        deadline_s = body['deadline_ms'] / 1000
        scope = trio.CancelScope()
        if cancellable:
            self._running[body['attempt']] = scope
        with scope:
            await trio.sleep(min(duration_s, deadline_s))
        self._running.pop(body['attempt'], None)
        if scope.cancelled_caught or duration_s > deadline_s:
            return Answer(499 if cancellable else 503)
        self._count_answer()
        if cancellable and not self._holds(body):
            return self._reject_snapshot()
        answer = self._apply_answer_faults(Answer(200, make_result(body)))
        if self.faults.late and self._rng.random() < self.faults.late:
            await trio.sleep(LATE_ANSWER_DELAY_S)
        return answer

    def _count_answer(self):
        if self.warm:
            return
        self._answers_since_cold += 1
        if self._answers_since_cold >= WARM_UP_ANSWERS:
            self.warm = True

    def _draw_duration_s(self):
        timing = self.timing
        factor = self.faults.slow_factor
        if not self.warm:
            factor *= timing.cold_factor
        spread = self._rng.lognormvariate(0.0, timing.sigma)
        return timing.median_s * factor * spread

    def _apply_answer_faults(self, answer):
        """Apply at most one fault to an answer, drawn by the fault ratios."""
        draw = self._rng.random()
        faults = self.faults
        for name in ('drop', 'cut', 'crossed'):
            ratio = getattr(faults, name)
            if draw < ratio:
                field = 'lost' if name == 'drop' else name
                return dataclasses.replace(answer, **{field: True})
            draw -= ratio
        return answer

    def _search_result(self, body):
        version, epoch, shard = body['version'], body['epoch'], body['shard']
        records = [
            {
                'id': f'{self.service}/{epoch}/{shard}/{n}',
                'fields': {
                    'version': version,
                    'shard': shard,
                    'request': body['request_id'],
                },
            }
            for n in range(RECORDS_PER_SHARD)
        ]
        return json.dumps(records).encode()

    def _booking_result(self, body):
        self.record.bookings.append(body['request_id'])
        return json.dumps({'booked': True, 'target': self.name}).encode()
