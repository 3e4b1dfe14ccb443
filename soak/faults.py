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
    'lose_all',
    'kill_after_change',
    'slow_instance',
    'repeat_calls',
    'grey_backends',
    'zone_returns',
    'grow_configuration',
    'replace_key',
    'replace_key_unseen',
)
SETTINGS_CHANGES = ('same', 'changed', 'half', 'renamed')
# Attributes of backends, their values while these are grey, and else.
GREY = (
    ('fail_share', 0.4, 0.0),
    ('lose_share', 0.4, 0.0),
    ('pause_s', 0.3, 0.0),
    ('work_s', 0.08, 0.01),
)
# Planned operations must not interrupt any call.
PLANNED_FAULTS = {
    'stop',
    'roll',
    'hup',
    'backend_leaves',
    'reshard',
    'compact',
    'replace_key',
}
# Time for which a removed key is not seen; longer than it may work.
UNSEEN_S = 7.0
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
        if self._rng.random() < 0.3 and instance.runs_program:
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
        await self._reload(self._choose_instance())

    async def _reload(self, instance):
        """Write the settings, at times only half of them, and send SIGHUP."""
        how = self._rng.choice(SETTINGS_CHANGES)
        instance.write_settings(how)
        if instance.runs_program:
            instance.send(signal.SIGHUP)
        if how == 'half':
            await trio.sleep(self._rng.uniform(0.0, 0.5))
            instance.write_settings()

    async def _lose_all(self):
        """Kill all at once, and start all at once beside reloads."""
        if self._rng.random() < 0.5:
            for instance in self._testbed.instances:
                await self._reload(instance)
        # Others are started again by the fault that ended them.
        instances = [i for i in self._testbed.instances if not i.is_stopping]
        for instance in instances:
            instance.is_stopping = True
            instance.kill()
        await trio.sleep(self._rng.choice([0.0, 0.01, 0.8, 1.6]))
        for instance in instances:
            instance.start()
        for instance in instances:
            await trio.sleep(self._rng.uniform(0.0, 0.3))
            await self._reload(instance)

    async def _kill_after_change(self):
        self._testbed.reshard()
        await trio.sleep(self._rng.choice([0.002, 0.02, 0.1, 0.4]))
        await self._kill_one(self._choose_instance())

    async def _slow_instance(self):
        """Let an instance run a fifth to a tenth of the time."""
        instance = self._choose_instance()
        share = 1 / self._rng.uniform(5.0, 10.0)
        period_s = self._rng.choice([0.02, 0.1])
        with trio.move_on_after(self._draw_duration_s() + 2.0):
            while True:
                instance.send(signal.SIGSTOP)
                await trio.sleep(period_s * (1 - share))
                instance.send(signal.SIGCONT)
                await trio.sleep(period_s * share)
        instance.send(signal.SIGCONT)

    async def _repeat_calls(self):
        self._testbed.repeats = self._rng.randint(5, 20)
        await trio.sleep(self._draw_duration_s())
        self._testbed.repeats = 0

    async def _grey_backends(self):
        """Let some backends fail in one way, their entries being good."""
        attribute, grey_value, value = self._rng.choice(GREY)
        share = self._rng.uniform(0.14, 0.4)
        backends = [
            p.backend
            for p in self._testbed.backends
            if self._rng.random() < share
        ]
        for backend in backends:
            setattr(backend, attribute, grey_value)
        await trio.sleep(self._draw_duration_s())
        for backend in backends:
            setattr(backend, attribute, value)

    async def _zone_returns(self):
        """Cut off all backends of a zone, which come back together."""
        zone = self._choose_backend().backend.zone
        mode = self._rng.choice([proxy.Mode.SILENT, proxy.Mode.RESET])
        proxies = [
            p.proxy for p in self._testbed.backends if p.backend.zone == zone
        ]
        for link_proxy in proxies:
            link_proxy.set_mode(mode)
        await trio.sleep(self._draw_duration_s())
        for link_proxy in proxies:
            link_proxy.set_mode(proxy.Mode.PASS)

    async def _grow_configuration(self):
        """Add routes beside a restart."""
        self._testbed.add_routes(self._rng.choice([310, 350, 2000]))
        await trio.sleep(self._rng.uniform(0.0, 0.3))
        await self._kill_one(self._choose_instance())

    async def _hup_start(self):
        """Send reload signals to a starting process, once it handles them."""
        instance = self._choose_instance()
        await self._kill_one(instance)
        incarnation = instance.incarnation
        with trio.move_on_after(HUP_START_S):
            while instance.incarnation == incarnation:
                if instance.runs_program:
                    instance.send(signal.SIGHUP)
                await trio.sleep(self._rng.uniform(0.0, MAX_HUP_PAUSE_S))

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

    async def _replace_key(self):
        self._testbed.replace_key()
        await trio.sleep(0.5)

    async def _replace_key_unseen(self):
        """Replace a key while no instance reaches the store."""
        proxies = [i.store_proxy for i in self._testbed.instances]
        for link_proxy in proxies:
            link_proxy.set_mode(proxy.Mode.SILENT)
        await self._replace_key()
        await trio.sleep(UNSEEN_S)
        for link_proxy in proxies:
            link_proxy.set_mode(proxy.Mode.PASS)

    async def _reshard(self):
        self._testbed.reshard()
        await trio.sleep(0.5)
