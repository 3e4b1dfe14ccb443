"""Faults of one run, drawn from a seed; several may overlap."""

import signal

import trio

from soak import proxy

FAULTS = (
    'kill',
    'kill_many',
    'stop',
    'roll',
    'pause',
    'hup',
    'store_link',
    'store_busy',
    'store_slow',
    'compact',
    'backend_crash',
    'backend_leaves',
    'backend_vanishes',
    'backend_link',
    'backend_fails',
    'backend_mute',
    'reshard',
)
# Planned work must cut no call.
PLANNED = {'stop', 'roll', 'hup', 'backend_leaves', 'reshard', 'compact'}


class Faults:
    """Injects faults into a world.

    :param world: World.
    :param rng: random.Random.
    """

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng

    async def run(self, seconds, only=None):
        """Inject faults for a time, up to three at once."""
        kinds = only.split(',') if only else FAULTS
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(self._rng.choice([1, 2, 3])):
                nursery.start_soon(self._run_series, until, kinds)

    async def _run_series(self, until, kinds):
        while trio.current_time() < until:
            await trio.sleep(self._rng.uniform(0.2, 3.0))
            kind = self._rng.choice(kinds)
            with self._world.fault(kind, kind in PLANNED):
                await getattr(self, f'_{kind}')()

    def _pause_s(self):
        return self._rng.uniform(0.5, 4.0)

    def _instance(self):
        return self._rng.choice(self._world.instances)

    def _backend(self):
        return self._rng.choice(self._world.backends)

    async def _kill(self):
        await self._kill_one(self._instance())

    async def _kill_one(self, found):
        if found.stopping:
            return
        found.stopping = True
        found.kill()
        await trio.sleep(self._rng.uniform(0.1, 2.0))
        found.start()

    async def _kill_many(self):
        async with trio.open_nursery() as nursery:
            for found in self._world.instances:
                nursery.start_soon(self._kill_one, found)

    async def _stop(self):
        found = self._instance()
        if found.stopping or not found.is_running:
            return
        found.stopping = True
        found.send(signal.SIGTERM)
        if self._rng.random() < 0.3:
            found.send(signal.SIGHUP)
        with trio.move_on_after(8):
            status = await found.wait()
            # A signal during the interpreter's own start ends the process.
            if status and found.has_started:
                self._world.checks.fail('exit', f'{found.name}: {status}')
        found.kill()
        found.start()
        await trio.sleep(1.5)

    async def _roll(self):
        for _ in self._world.instances:
            await self._stop()

    async def _pause(self):
        found = self._instance()
        if found.stopping:
            return
        found.send(signal.SIGSTOP)
        await trio.sleep(self._pause_s())
        found.send(signal.SIGCONT)

    async def _hup(self):
        found = self._instance()
        found.write_settings()
        found.send(signal.SIGHUP)

    async def _store_link(self):
        await self._harm(self._instance().store_proxy)

    async def _backend_link(self):
        await self._harm(self._backend().proxy)

    async def _harm(self, found):
        modes = [m for m in proxy.Mode if m is not proxy.Mode.PASS]
        found.set_mode(self._rng.choice(modes))
        await trio.sleep(self._pause_s())
        found.set_mode(proxy.Mode.PASS)

    async def _store_busy(self):
        self._world.store.is_busy = True
        await trio.sleep(self._pause_s())
        self._world.store.is_busy = False

    async def _store_slow(self):
        self._world.store.delay_s = 0.4
        await trio.sleep(self._pause_s())
        self._world.store.delay_s = 0.0

    async def _compact(self):
        self._world.model.compact()

    async def _backend_crash(self):
        await self._world.replace_backend(self._backend(), 'crash')

    async def _backend_leaves(self):
        await self._world.replace_backend(self._backend(), 'drain')

    async def _backend_vanishes(self):
        await self._world.replace_backend(self._backend(), 'vanish')

    async def _backend_fails(self):
        found = self._backend().backend
        found.fail_share = 0.5
        await trio.sleep(self._pause_s())
        found.fail_share = 0.0

    async def _backend_mute(self):
        found = self._backend().backend
        found.lose_share = 0.3
        await trio.sleep(self._pause_s())
        found.lose_share = 0.0

    async def _reshard(self):
        self._world.reshard()
        await trio.sleep(0.5)
