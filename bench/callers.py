"""Callers that generate load on a deployment of processes."""

import collections
import dataclasses
import itertools

import msgspec
import trio

from savorycross.client import client as clients
from savorycross import errors


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of one request of a caller.

    :param at: clock time of the request in seconds.
    :param took_s: seconds until the outcome.
    :param code: error code; empty if the request succeeded.
    :param coverage: ratio of shards answered.
    :param flaw: what is wrong with the answer; empty if nothing is.
    """

    kind: str
    at: float
    took_s: float
    code: str = ''
    coverage: float = 0.0
    flaw: str = ''


class Callers:
    """Open-loop callers, whose requests start on schedule in any case.

    :param addresses: addresses of the instances that are asked first.
    :param count: number of clients; each keeps its own directory answer.
    """

    def __init__(self, addresses, count=4):
        self.outcomes = []
        self.booked = collections.Counter()
        self._clients = [
            clients.Client(addresses, f'caller-{n}', seed=n)
            for n in range(count)
        ]
        self._client_numbers = itertools.count()

    async def run(self, nursery, workload, rate, seconds, booking=False):
        """Send requests at a constant rate.

        :param rate: requests per second.
        :param seconds: duration of the load.
        :param booking: whether to send bookings instead of queries.
        """
        started_at = trio.current_time()
        send = self.book if booking else self.query
        for number in range(int(rate * seconds)):
            await trio.sleep_until(started_at + number / rate)
            nursery.start_soon(send, workload)

    async def query(self, workload, deadline_s=2.0):
        """Send a query and check its answer."""
        client = self._next_client()
        started_at = trio.current_time()
        try:
            answer = await client.query(
                workload, {'n': 1}, deadline_s=deadline_s
            )
        except errors.SavorycrossError as exc:
            self._record_outcome('query', started_at, exc.code)
            return
        flaw = find_flaw(answer)
        self._record_outcome(
            'query', started_at, '', answer.coverage.ratio, flaw
        )

    async def book(self, workload, deadline_s=2.0):
        """Send a booking under one ticket."""
        client = self._next_client()
        started_at = trio.current_time()
        try:
            await client.book(workload, {'n': 1}, deadline_s=deadline_s)
        except errors.SavorycrossError as exc:
            self.booked[exc.code] += 1
            self._record_outcome('booking', started_at, exc.code)
            return
        self.booked['ran'] += 1
        self._record_outcome('booking', started_at, '', 1.0)

    async def aclose(self):
        """Close all connections."""
        for client in self._clients:
            await client.__aexit__(None, None, None)

    def _next_client(self):
        return self._clients[next(self._client_numbers) % len(self._clients)]

    def _record_outcome(self, kind, started_at, code, coverage=0.0, flaw=''):
        took_s = trio.current_time() - started_at
        outcome = Outcome(kind, started_at, took_s, code, coverage, flaw)
        self.outcomes.append(outcome)


def find_flaw(answer):
    """Return what is wrong with an answer, or an empty text.

    The records must belong to the answer's snapshot and request, and to as
    many shards as the answer counts as answered.
    """
    fields = [
        {k: msgspec.json.decode(v) for k, v in r.fields.items()}
        for r in answer.records
    ]
    versions = {f['version'] for f in fields}
    if versions - {answer.snapshot.version}:
        return f'versions {versions}, snapshot {answer.snapshot.version}'
    if {f['request'] for f in fields} - {answer.request_id}:
        return 'records of another request'
    shards = {tuple(r.id.split('/')[:3]) for r in answer.records}
    if len(shards) != answer.coverage.answered:
        return f'{len(shards)} shards, {answer.coverage.answered} expected'
    missed_count = len(answer.coverage.missed)
    if answer.coverage.asked != answer.coverage.answered + missed_count:
        return 'coverage does not add up'
    return ''
