"""A store that is silent twice, and then has news."""

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
CALM_S = 6.0
# Dose of `platform_down` with `how = "silent"`.
SILENT_S = 6.2
OUTAGES = 3
CHANGE_LEAD_S = 0.2
PERIOD_S = 10.0
# Bounds of the settings.
CONTACT_S = 4.0
APPLY_S = 3.0
JUDGED_S = 4.0
WORK_LOG_MEAN = -2.45


def choose_work_s():
    """Return the work of `member-card` in the site file, in seconds."""
    return min(random.lognormvariate(WORK_LOG_MEAN, 0.5), 0.54)


def make_configuration(version, service):
    """Return a configuration whose only route goes to a service."""
    route = {
        'name': 'card',
        'prefix': '/card/',
        'service': service,
        'timeout_ms': 2000,
        'goal_ms': 426,
    }
    return deployment.make_configuration(
        version, [route], [{'name': 'old'}, {'name': 'new'}]
    )


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


async def play_outage(store, version, record):
    """Change the configuration, then let the store be silent for a time."""
    store.put_json('op/config', make_configuration(version, 'old'))
    await asyncio.sleep(CHANGE_LEAD_S)
    if HAS_TROUBLE:
        record('the store falls silent')
        store.set_silent(True)
    await asyncio.sleep(SILENT_S)
    store.set_silent(False)
    record('the store answers')
    await asyncio.sleep(PERIOD_S - SILENT_S - CHANGE_LEAD_S)


async def run():
    """Play the case and return the exit status."""
    record = deployment.Record(FOLDER / 'record.txt')
    store = stores.Store()
    address = await store.start('127.0.0.1')
    runs, answers, sent_at = [], {}, {}
    for service in ('old', 'new'):
        for n in range(BACKENDS):
            one = backend.Backend(
                f'{service}{n}',
                service,
                store,
                record,
                runs,
                SLOTS,
                QUEUE,
                choose_work_s,
            )
            await one.start('127.0.0.1')
    store.put_json('op/config', make_configuration(1, 'old'))
    with deployment.start(INSTANCES, address) as instances:
        for instance in instances:
            await instance.wait_until_ready()
        await asyncio.sleep(CALM_S)
        for n in range(OUTAGES):
            await play_outage(store, 2 + n, record)
        await asyncio.sleep(CONTACT_S)
        store.put_json('op/config', make_configuration(9, 'new'))
        due_at = time.monotonic() + APPLY_S
        record('version 9 is acknowledged')
        end_at = due_at + JUDGED_S
        await asyncio.gather(
            *(
                call(instance.ip, record, answers, sent_at, end_at)
                for instance in instances
                for _ in range(CALLERS)
            )
        )
        record(f'calls of the store so far: {store.calls}')
    return check(record, runs, answers, sent_at, due_at)


def check(record, runs, answers, sent_at, due_at):
    """Check CONFIG; return the exit status."""
    stale = {
        id_
        for id_, backend_id, _ in runs
        if backend_id.startswith('old') and sent_at.get(id_, 0.0) > due_at
    }
    due = sum(at > due_at for at in sent_at.values())
    text = (
        f'answers {dict(collections.Counter(answers.values()))}, '
        f'{due} requests sent after version 9 was due, '
        f'{len(stale)} of them run by the service of older versions'
    )
    record(text)
    print(text)
    return 1 if stale else 0


def main():
    """Play the case; exit with 2 if it cannot run."""
    try:
        sys.exit(asyncio.run(run()))
    except deployment.CannotRunError as exc:
        print(exc)
        sys.exit(2)


if __name__ == '__main__':
    main()
