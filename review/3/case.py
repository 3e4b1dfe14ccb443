"""A restored store that holds an entry which cannot be read."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import backend  # noqa: E402
from standin import caller  # noqa: E402
from standin import deployment  # noqa: E402
from standin import store as stores  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 2
BACKENDS = 3
SLOTS = 4
QUEUE = 8
CALLERS = 6
# Doses of `platform_down` with `how = "restored"`: x and for_s.
COPY_AGE_S = 9.0
DOWN_S = 2.0
CALM_S = 3.0
# Bounds of the settings.
CONTACT_S = 4.0
DRAIN_S = 3.0
JUDGED_S = 5.0
# An entry of another writer that breaks off within nested lists.
UNREADABLE = b'{"service": "desk", "note": ' + b'[' * 5000
WORK_LOG_MEAN = -2.45


def choose_work_s():
    """Return the work of `member-card` in the site file, in seconds."""
    return min(random.lognormvariate(WORK_LOG_MEAN, 0.5), 0.54)


async def call(ip, record, answers, sent_at, end_at):
    """Send requests until a time."""
    one = caller.Caller(ip, record, answers)
    while time.monotonic() < end_at:
        started_at = time.monotonic()
        reply = await one.send('/card/2f', 2000)
        sent_at[list(answers)[-1]] = started_at
        if reply is None or reply.status != 200:
            await asyncio.sleep(0.05)
    one.close()


async def run():
    """Play the case and return the exit status."""
    record = deployment.Record(FOLDER / 'record.txt')
    store = stores.Store()
    address = await store.start('127.0.0.1')
    runs, answers, sent_at = [], {}, {}
    backends = [
        backend.Backend(
            f'b{n}', 'desk', store, record, runs, SLOTS, QUEUE, choose_work_s
        )
        for n in range(BACKENDS)
    ]
    for one in backends:
        await one.start('127.0.0.1')
    store.put('servers/a0', UNREADABLE)
    route = {
        'name': 'card',
        'prefix': '/card/',
        'service': 'desk',
        'timeout_ms': 2000,
        'goal_ms': 426,
    }
    store.put_json(
        'op/config',
        deployment.make_configuration(1, [route], [{'name': 'desk'}]),
    )
    with deployment.start(INSTANCES, address) as instances:
        for instance in instances:
            await instance.wait_until_ready()
        await asyncio.sleep(CALM_S)
        older = store.make_copy()
        await asyncio.sleep(COPY_AGE_S)
        if HAS_TROUBLE:
            record('the store is down')
            store.is_busy = True
            await asyncio.sleep(DOWN_S)
            store.restore(older)
            store.is_busy = False
            record('the store is back from its copy')
        await asyncio.sleep(CONTACT_S)
        backends[0].announce(state='draining')
        due_at = time.monotonic() + DRAIN_S
        record('the store has accepted that b0 drains')
        end_at = due_at + JUDGED_S
        await asyncio.gather(
            *(
                call(instance.ip, record, answers, sent_at, end_at)
                for instance in instances
                for _ in range(CALLERS)
            )
        )
    return check(record, backends[0], answers, sent_at, due_at)


def check(record, draining, answers, sent_at, due_at):
    """Check DRAIN; return the exit status."""
    late = [
        id_ for _, id_ in draining.arrivals if sent_at.get(id_, 0.0) > due_at
    ]
    due = sum(at > due_at for at in sent_at.values())
    for id_ in late:
        after_s = sent_at[id_] - due_at + DRAIN_S
        record(f'DRAIN: {id_}, sent {after_s:.3f} s after the store accepted')
    text = (
        f'answers {dict(collections.Counter(answers.values()))}, '
        f'{due} requests sent later than {DRAIN_S} s, '
        f'{len(late)} of them reached the draining backend'
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
