"""A planned stop of the only machine, under load."""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import backend  # noqa: E402
from standin import caller  # noqa: E402
from standin import deployment  # noqa: E402
from standin import store as stores  # noqa: E402
from standin import wire  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BACKENDS = 3
SLOTS = 4
QUEUE = 8
CALLERS = 12
CALM_S = 3.0
GRACE_S = 6.0
# Requests that were sent no later than this after the signal may be cut.
EXCUSED_S = 3.0
LOSS_SLACK_S = 0.2
DEADLINE_MS = 2000
# Logarithm of 86 ms; with the spread the mean is 98 ms.
WORK_LOG_MEAN = -2.45


def choose_work_s():
    """Return the work of `member-card` in the site file, in seconds."""
    return min(random.lognormvariate(WORK_LOG_MEAN, 0.5), 0.54)


class Resolver:
    """Asks the directory, and keeps the last list while it gives none."""

    def __init__(self, ip, record):
        self.addresses = []
        self._ip = ip
        self._record = record
        self._until = 0.0

    async def resolve(self):
        """Return the addresses of the last list that the directory gave."""
        now = time.monotonic()
        if now < self._until:
            return self.addresses
        self._until = now + 1.0
        data = wire.encode(
            f'GET /v1/resolve?name={deployment.HOST}'
            '&region=norte&zone=bilbo HTTP/1.1',
            {'Host': deployment.HOST},
        )
        reply = await wire.call(self._ip, 8225, data, 1.0)
        if reply is not None and reply.status == 200:
            answer = json.loads(reply.body)
            self.addresses = answer['addrs']
            self._until = now + min(answer['ttl_s'], 5.0)
        self._record(
            f'directory answered {reply.status if reply else "nothing"}, '
            f'callers use {self.addresses}'
        )
        return self.addresses


async def call(instance, resolver, record, answers, times, end_at):
    """Send requests until a time, or until the process has ended."""
    one = caller.Caller(instance.ip, record, answers)
    while time.monotonic() < end_at and instance.is_running:
        await resolver.resolve()
        started_at = time.monotonic()
        reply = await one.send('/card/2f', DEADLINE_MS)
        times[list(answers)[-1]] = started_at, time.monotonic()
        if reply is None or reply.status != 200:
            await asyncio.sleep(0.05)
    one.close()


async def run():
    """Play the case and return the exit status."""
    record = deployment.Record(FOLDER / 'record.txt')
    store = stores.Store()
    address = await store.start('127.0.0.1')
    runs, answers, times, backends = [], {}, {}, []
    for n in range(BACKENDS):
        one = backend.Backend(
            f'b{n}', 'desk', store, record, runs, SLOTS, QUEUE, choose_work_s
        )
        await one.start('127.0.0.1')
        backends.append(one)
    route = {
        'name': 'card',
        'prefix': '/card/',
        'service': 'desk',
        'timeout_ms': DEADLINE_MS,
        'goal_ms': 426,
    }
    store.put_json(
        'op/config',
        deployment.make_configuration(1, [route], [{'name': 'desk'}]),
    )
    with deployment.start(1, address) as (instance,):
        await instance.wait_until_ready()
        resolver = Resolver(instance.ip, record)
        start_at = time.monotonic()
        tasks = [
            asyncio.create_task(
                call(
                    instance,
                    resolver,
                    record,
                    answers,
                    times,
                    start_at + CALM_S + GRACE_S,
                )
            )
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(CALM_S)
        signalled_at = time.monotonic()
        if HAS_TROUBLE:
            record('SIGTERM')
            instance.send(signal.SIGTERM)
        while time.monotonic() < signalled_at + GRACE_S:
            if not instance.is_running:
                seconds = time.monotonic() - signalled_at
                record(f'the process ended {seconds:.3f} s after the signal')
                break
            await asyncio.sleep(0.01)
        if instance.is_running and HAS_TROUBLE:
            record('SIGKILL')
            instance.send(signal.SIGKILL)
        await asyncio.gather(*tasks)
    arrived = {id_ for one in backends for _, id_ in one.arrivals}
    return check(record, arrived, answers, times, signalled_at)


def check(record, arrived, answers, times, signalled_at):
    """Check LOST; return the exit status.

    :param arrived: ids of the requests that were passed on to a backend.
    :param times: when each request was sent, and when its answer or the end
        of its connection came.
    """
    lost = [
        id_
        for id_, status in answers.items()
        if status is None
        and (id_ in arrived or times[id_][1] - times[id_][0] > LOSS_SLACK_S)
    ]
    late = [id_ for id_ in lost if times[id_][0] > signalled_at + EXCUSED_S]
    for id_ in late:
        after_s = times[id_][0] - signalled_at
        record(f'LOST: {id_}, sent {after_s:.3f} s after the signal')
    statuses = collections.Counter(answers.values())
    text = (
        f'{len(answers)} requests, answers {dict(statuses)}, '
        f'cut {len(lost)}, '
        f'of these LOST {len(late)}'
    )
    record(text)
    print(text)
    return 1 if late else 0


def main():
    """Play the case; exit with 2 if it cannot run."""
    try:
        sys.exit(asyncio.run(run()))
    except deployment.CannotRunError as exc:
        print(exc)
        sys.exit(2)


if __name__ == '__main__':
    main()
