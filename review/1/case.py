"""Late second copies of refusals, on a route that must not be repeated."""

import asyncio
import collections
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import backend  # noqa: E402
from standin import caller  # noqa: E402
from standin import deployment  # noqa: E402
from standin import store as stores  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Doses of `garble` in the site file: share, x and for_s.
COPY_SHARE = 0.03
FAULTY_BACKENDS = 2
FAULT_S = 5.0
BACKENDS = 3
SLOTS = 2
QUEUE = 4
CALLERS = 40
CALM_S = 2.0
# Logarithm of 3.8 ms.
WORK_LOG_MEAN = -5.57
NOT_RUN = (408, 421, 429, 503)


class CopyingBackend(backend.Backend):
    """Sends some replies twice, the second copy late."""

    is_faulty = False
    copies = 0

    def before_request(self, writer, last_reply):
        """Send the copy where the next reply is expected."""
        if not self.is_faulty or random.random() >= COPY_SHARE:
            return
        if last_reply:
            self.copies += 1
            self._record(f'{self.id} sends a second copy: {last_reply[:90]}')
            writer.write(last_reply)


def choose_work_s():
    """Return the work of a short request of the site file, in seconds."""
    return min(random.lognormvariate(WORK_LOG_MEAN, 0.35), 0.028)


async def call(ip, record, answers, end_at):
    """Send bookings until a time, as often as they are answered."""
    loop = asyncio.get_running_loop()
    one = caller.Caller(ip, record, answers)
    while loop.time() < end_at:
        reply = await one.send('/book/2f', 2000, 'POST')
        if reply is not None and reply.status in NOT_RUN:
            await asyncio.sleep(float(reply.headers.get('retry-after', 0.05)))
    one.close()


async def run():
    """Play the case and return the exit status."""
    record = deployment.Record(FOLDER / 'record.txt')
    store = stores.Store()
    address = await store.start('127.0.0.1')
    runs, answers = [], {}
    backends = [
        CopyingBackend(
            f'b{n}', 'desk', store, record, runs, SLOTS, QUEUE, choose_work_s
        )
        for n in range(BACKENDS)
    ]
    for one in backends:
        await one.start('127.0.0.1')
    route = {
        'name': 'book',
        'prefix': '/book/',
        'kind': 'non_idempotent',
        'service': 'desk',
        'timeout_ms': 2000,
        'goal_ms': 426,
    }
    configuration = deployment.make_configuration(
        1, [route], [{'name': 'desk'}]
    )
    store.put_json('op/config', configuration)
    with deployment.start(1, address) as (instance,):
        await instance.wait_until_ready()
        loop = asyncio.get_running_loop()
        end_at = loop.time() + 2 * CALM_S + FAULT_S
        tasks = [
            asyncio.create_task(call(instance.ip, record, answers, end_at))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(CALM_S)
        for one in backends[:FAULTY_BACKENDS]:
            one.is_faulty = HAS_TROUBLE
        await asyncio.sleep(FAULT_S)
        for one in backends:
            one.is_faulty = False
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
    return check(record, backends, runs, answers)


def check(record, backends, runs, answers):
    """Check TWICE and REFUSED; return the exit status."""
    counts = collections.Counter(id_ for id_, _, _ in runs)
    twice = [id_ for id_, count in counts.items() if count > 1]
    refused = [
        id_
        for id_, status in answers.items()
        if status in NOT_RUN and counts[id_]
    ]
    for id_ in twice:
        record(f'TWICE: {id_} ran {counts[id_]} times')
    for id_ in refused:
        record(f'REFUSED: {id_} was answered {answers[id_]} and ran')
    statuses = collections.Counter(answers.values())
    text = (
        f'{len(answers)} requests, answers {dict(statuses)}, '
        f'{len(runs)} runs, {sum(b.copies for b in backends)} copies, '
        f'TWICE {len(twice)}, REFUSED {len(refused)}'
    )
    record(text)
    print(text)
    return 1 if twice or refused else 0


def main():
    """Play the case; exit with 2 if it cannot run."""
    try:
        sys.exit(asyncio.run(run()))
    except deployment.CannotRunError as exc:
        print(exc)
        sys.exit(2)


if __name__ == '__main__':
    main()
