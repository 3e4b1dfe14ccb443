"""Injects faults that are drawn from a seed; several may overlap."""

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
    'hup_start',
    'store_link',
    'store_busy',
    'store_slow',
    'compact',
    'store_restored',
    'backend_crash',
    'backend_leaves',
    'backend_vanishes',
    'backend_link',
    'backend_fails',
    'backend_mute',
    'backend_limits',
    'reshard',
)
# Planned operations must not interrupt any call.
PLANNED_FAULTS = {
    'stop',
    'roll',
    'hup',
    'backend_leaves',
    'reshard',
    'compact',
}
# Duration of the reload signals at a start, and the longest pause in between.
HUP_START_S = 1.5
MAX_HUP_PAUSE_S = 0.05


class FaultInjector:
    """Injects faults into a run.

    :param testbed: Testbed.
    :param rng: random.Random for kinds, places and times of faults.
    """

    def __init__(self, testbed, rng):
        self._testbed = testbed
        self._rng = rng

    async def run(self, seconds, only=None):
        """Inject faults, up to three at once.

        :param seconds: time after which no more faults begin.
        :param only: names of faults, separated by commas; all if empty.
        """
        kinds = only.split(',') if only else FAULTS
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(self._rng.choice([1, 2, 3])):
                nursery.start_soon(self._run_series, until, kinds)

    async def _run_series(self, until, kinds):
        while trio.current_time() < until:
            await trio.sleep(self._rng.uniform(0.2, 3.0))
            kind = self._rng.choice(kinds)
            with self._testbed.record_fault(kind, kind in PLANNED_FAULTS):
                await getattr(self, f'_{kind}')()

    def _draw_duration_s(self):
        return self._rng.uniform(0.5, 4.0)

    def _choose_instance(self):
        return self._rng.choice(self._testbed.instances)

    def _choose_backend(self):
        return self._rng.choice(self._testbed.backends)

    async def _kill(self):
        await self._kill_one(self._choose_instance())

    async def _kill_one(self, instance):
        if instance.is_stopping:
            return
        instance.is_stopping = True
        instance.kill()
        await trio.sleep(self._rng.uniform(0.1, 2.0))
        instance.start()

    async def _kill_many(self):
        async with trio.open_nursery() as nursery:
            for instance in self._testbed.instances:
                nursery.start_soon(self._kill_one, instance)

    async def _stop(self):
        instance = self._choose_instance()
        if instance.is_stopping or not instance.is_running:
            return
        instance.is_stopping = True
        instance.send(signal.SIGTERM)
        if self._rng.random() < 0.3:
            instance.send(signal.SIGHUP)
        with trio.move_on_after(8):
            status = await instance.wait()
            # A signal while the interpreter itself starts ends the process.
            if status and instance.has_started:
                self._testbed.checks.add_violation(
                    'exit', f'{instance.name}: {status}'
                )
        instance.kill()
        instance.start()
        await trio.sleep(1.5)

    async def _roll(self):
        for _ in self._testbed.instances:
            await self._stop()

    async def _pause(self):
        instance = self._choose_instance()
        if instance.is_stopping:
            return
        instance.send(signal.SIGSTOP)
        await trio.sleep(self._draw_duration_s())
        instance.send(signal.SIGCONT)

    async def _hup(self):
        instance = self._choose_instance()
        instance.write_settings()
        instance.send(signal.SIGHUP)

    async def _hup_start(self):
        """Send reload signals to a starting process, once it handles them."""
        instance = self._choose_instance()
        await self._kill_one(instance)
        if instance.is_stopping:
            return
        incarnation = instance.incarnation
        is_handled = False
        with trio.move_on_after(HUP_START_S):
            while instance.incarnation == incarnation:
                is_handled = is_handled or instance.handles(signal.SIGHUP)
                if is_handled:
                    instance.send(signal.SIGHUP)
                await trio.sleep(self._rng.uniform(0.0, MAX_HUP_PAUSE_S))
        if (
            is_handled
            and instance.incarnation == incarnation
            and instance.has_ended_by_itself
        ):
            self._testbed.checks.add_violation(
                'exit', f'{instance.name}: ended by itself at its start'
            )

    async def _store_link(self):
        await self._degrade_link(self._choose_instance().store_proxy)

    async def _backend_link(self):
        await self._degrade_link(self._choose_backend().proxy)

    async def _degrade_link(self, link_proxy):
        modes = [m for m in proxy.Mode if m is not proxy.Mode.PASS]
        link_proxy.set_mode(self._rng.choice(modes))
        await trio.sleep(self._draw_duration_s())
        link_proxy.set_mode(proxy.Mode.PASS)

    async def _store_busy(self):
        self._testbed.store.is_busy = True
        await trio.sleep(self._draw_duration_s())
        self._testbed.store.is_busy = False

    async def _store_slow(self):
        self._testbed.store.delay_s = 0.4
        await trio.sleep(self._draw_duration_s())
        self._testbed.store.delay_s = 0.0

    async def _compact(self):
        self._testbed.model.compact()

    async def _store_restored(self):
        older = self._testbed.model.make_copy()
        await trio.sleep(self._draw_duration_s())
        self._testbed.store.is_busy = True
        await trio.sleep(self._rng.uniform(0.0, 1.0))
        await self._testbed.restore_store(older, self._rng.uniform(0.0, 1.0))

    async def _backend_crash(self):
        await self._testbed.replace_backend(self._choose_backend(), 'crash')

    async def _backend_leaves(self):
        await self._testbed.replace_backend(self._choose_backend(), 'drain')

    async def _backend_vanishes(self):
        await self._testbed.replace_backend(self._choose_backend(), 'vanish')

    async def _backend_fails(self):
        backend = self._choose_backend().backend
        backend.fail_share = 0.5
        await trio.sleep(self._draw_duration_s())
        backend.fail_share = 0.0

    async def _backend_mute(self):
        backend = self._choose_backend().backend
        backend.lose_share = 0.3
        await trio.sleep(self._draw_duration_s())
        backend.lose_share = 0.0

    async def _backend_limits(self):
        backend = self._choose_backend().backend
        stated = backend.stated_rate
        stated.begin(self._rng.uniform(0.5, 20.0), trio.current_time())
        await trio.sleep(self._rng.uniform(8.0, 12.0))
        self._testbed.checks.check_rate(backend)
        stated.begin(None, trio.current_time())

    async def _reshard(self):
        self._testbed.reshard()
        await trio.sleep(0.5)
