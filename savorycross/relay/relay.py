"""The task that owns all dispatchers of an instance."""

import heapq
import itertools
import math

import trio

from savorycross.catalogue import state as states
from savorycross.plan import inventory
from savorycross.relay import dispatcher
from savorycross.relay import inbox
from savorycross.relay import job as jobs
from savorycross.relay import limiter
from savorycross.relay import part_run

RECHECK_INTERVAL_S = 0.05
GUEST_S = 10.0
MAX_BATCH = 512


class Relay:
    """Serves the parts of queries that this instance owns.

    :param source: DutySource.
    :param table: InventoryTable shared with the planner.
    :param policy: relay Policy.
    :param answer: called with a receiver's name and a PartAnswer.
    :param publish: called with a TargetInventory that peers are to know.
    :param journal: Journal.
    :param metrics: Registry.
    """

    def __init__(
        self, source, table, policy, answer, publish, journal, metrics
    ):
        self.extra = policy.make_budget()
        self._source = source
        self._table = table
        self._policy = policy
        self._answer = answer
        self._publish = publish
        self._journal = journal
        self._metrics = metrics
        self._wire = None
        self._send, self._receive = trio.open_memory_channel(math.inf)
        self._duties = None
        self._dispatchers = {}
        self._sets_of_target = {}
        self._guests = {}
        self._parts = {}
        self._part_of_job = {}
        self._set_of_attempt = {}
        self._job_ids = itertools.count(1)
        self._attempt_ids = policy.make_ids()
        self._timers = []
        self._armed = {}
        self._published = {}
        self._touched = set()

    def post(self, message):
        """Queue a message for the relay's task."""
        self._send.send_nowait(message)

    @property
    def in_flight(self):
        """Number of attempts that hold a slot."""
        return len(self._set_of_attempt)

    @property
    def parts_open(self):
        """Number of parts without a final answer."""
        return len(self._parts)

    def dispatchers(self):
        """Return all dispatchers, for status reports."""
        return list(self._dispatchers.values())

    def holds_lost_work(self):
        """Tell whether attempts at targets of other owners are in flight."""
        return any(
            d.in_flight and name not in self._duties.owned
            for name, d in self._dispatchers.items()
        )

    async def run(self, wire):
        """Handle messages and timers until cancelled.

        :param wire: TargetClient.
        """
        self._wire = wire
        while True:
            actions = []
            with trio.move_on_at(self._next_wake()):
                message = await self._receive.receive()
                actions += self._handle(message)
            actions += self._handle_more()
            actions += self._wake(trio.current_time())
            await self._perform(actions)
            self._after_batch()

    def _next_wake(self):
        timer = self._timers[0][0] if self._timers else math.inf
        waiting = any(d.queued for d in self._dispatchers.values())
        if not waiting:
            return timer
        return min(timer, trio.current_time() + RECHECK_INTERVAL_S)

    def _handle_more(self):
        actions = []
        for _ in range(MAX_BATCH):
            try:
                message = self._receive.receive_nowait()
            except trio.WouldBlock:
                break
            actions += self._handle(message)
        return actions

    def _handle(self, message):
        return _HANDLERS[type(message)](self, message, trio.current_time())

    def _wake(self, now):
        actions = []
        while self._timers and self._timers[0][0] <= now:
            when, kind, key = heapq.heappop(self._timers)
            if kind == 'set':
                if self._armed.get(key) == when:
                    del self._armed[key]
                found = self._dispatchers.get(key)
                if found is not None:
                    actions += self._apply(key, found.wake(now))
            else:
                self._flush(key)
        return actions

    async def _perform(self, actions):
        """Carry out actions; those that follow from them come back."""
        for action in actions:
            if isinstance(action, jobs.Send):
                self._metrics.count('target_sends')
                await self._wire.send(action)
            elif isinstance(action, jobs.Cancel):
                self._metrics.count('target_cancels')
                await self._wire.cancel(action)
            else:
                self._finish(action)

    def _after_batch(self):
        """Set the timers of changed dispatchers and publish news."""
        for name in self._touched:
            found = self._dispatchers.get(name)
            if found is None:
                continue
            when = found.next_wake()
            if when is not None and when < self._armed.get(name, math.inf):
                self._armed[name] = when
                heapq.heappush(self._timers, (when, 'set', name))
            self._publish_news(found)
        self._touched.clear()

    def _apply(self, name, actions):
        """Note which dispatcher the attempts belong to."""
        self._touched.add(name)
        for action in actions:
            if isinstance(action, jobs.Send):
                self._set_of_attempt[action.attempt_id] = name
        return actions

    def _on_part(self, message, now):
        part = message.part
        run = part_run.PartRun(message.sender, part)
        key = (message.sender, part.part_id)
        self._parts[key] = run
        self._journal.record(
            'part.received',
            part.request_id,
            sender=message.sender,
            shards=len(part.shards),
        )
        actions = []
        made = []
        for name, shard in zip(part.replica_sets, part.shards, strict=True):
            job = self._make_job(part, shard, now)
            if not self._can_serve(name, now):
                run.add_missing(shard, jobs.Cause.NO_TARGET)
                continue
            run.open_jobs[job.job_id] = name
            self._part_of_job[job.job_id] = key
            made.append((name, job))
        for name, job in made:
            found = self._dispatchers[name]
            actions += self._apply(name, found.submit(job, now))
        if part.flush_ms:
            when = now + part.flush_ms / 1000
            heapq.heappush(self._timers, (when, 'flush', key))
        if not run.open_jobs:
            self._complete(key, run)
        return actions

    def _make_job(self, part, shard, now):
        service, _, number = shard.rpartition('/')
        return jobs.Job(
            job_id=next(self._job_ids),
            part_id=part.part_id,
            request_id=part.request_id,
            service=service,
            shard=shard,
            number=int(number) if number.isdigit() else -1,
            version=part.version,
            epoch=part.epoch,
            priority=part.priority,
            deadline=now + part.deadline_ms / 1000,
            payload=part.payload,
            repeatable=part.repeatable,
        )

    def _can_serve(self, name, now):
        """Tell whether jobs for a replica set can be taken.

        An instance that does not own the set serves it as a guest, for the
        owner may be lost, but only if it knows of a warm target.
        """
        if self._duties is None:
            return False
        if name in self._duties.owned:
            return name in self._dispatchers or self._open(name) is not None
        is_new = name not in self._guests
        self._guests[name] = now + GUEST_S
        if is_new:
            self._take_over(name)
            self._retain()
        found = self._dispatchers.get(name)
        return found is not None and found.has_warm_replica

    def _open(self, name):
        targets = self._duties.catalogue.replica_sets.get(name)
        if not targets:
            return None
        found = dispatcher.Dispatcher(
            name,
            targets,
            self._policy,
            self.extra,
            self._source.may_send_cold,
            self._attempt_ids,
        )
        self._dispatchers[name] = found
        for replica in found.replicas.values():
            self._sets_of_target[replica.name] = name
            replica.state = self._state_of(replica.name)
            self._adopt_evidence(replica)
        return found

    def _state_of(self, name):
        return self._duties.states.get(name, states.State.OUT)

    def _adopt_evidence(self, replica):
        """Trust a former owner's word on a target that it used warm."""
        known = self._table.get(replica.name)
        if known is None:
            return
        replica.learn(known)
        if known.warm and not replica.limiter.is_warm:
            replica.limiter.adopt(known.boot, replica.limiter.cold_slots)

    def _on_cancel(self, message, now):
        run = self._parts.pop((message.sender, message.part_id), None)
        if run is None:
            return []
        actions = []
        for job_id, name in list(run.open_jobs.items()):
            found = self._dispatchers[name]
            actions += self._apply(name, found.cancel(job_id, now))
        return actions

    def _on_result(self, message, now):
        name = self._set_of_attempt.pop(message.attempt_id, None)
        found = self._dispatchers.get(name)
        if found is None:
            return []
        self._metrics.count(
            'target_results', status=str(message.result.status)
        )
        actions = found.answered(message.attempt_id, message.result, now)
        return self._apply(name, actions)

    def _on_inventory(self, message, now):
        item = message.inventory
        name = self._sets_of_target.get(item.target)
        found = self._dispatchers.get(name)
        if found is None:
            return []
        found.replicas[item.target].learn(item)
        return self._apply(name, found.changed(now))

    def _on_evidence(self, message, now):
        """Trust a peer's word on a target without evidence of one's own."""
        name = self._sets_of_target.get(message.target)
        found = self._dispatchers.get(name)
        if found is None:
            return []
        replica = found.replicas[message.target]
        if replica.limiter.phase is not limiter.Phase.UNKNOWN:
            return []
        self._adopt_evidence(replica)
        return self._apply(name, found.changed(now))

    def _on_lost(self, message, now):
        """An ended connection may be a restart: the target may be cold."""
        name = self._sets_of_target.get(message.target)
        found = self._dispatchers.get(name)
        if found is None:
            return []
        known = found.replicas[message.target].limiter
        if not message.boot or message.boot == known.boot:
            known.fall_cold()
        self._touched.add(name)
        return []

    def _on_duties(self, _message, now):
        before = self._duties
        self._duties = self._source.duties()
        actions = []
        self._drop_stale(before)
        for name in self._duties.owned:
            if before is None or name not in before.owned:
                self._take_over(name)
        if before is not None:
            for name in before.owned - self._duties.owned:
                actions += self._give_up(name)
        for name, found in self._dispatchers.items():
            actions += self._apply(name, self._set_states(found, now))
        self._retain()
        return actions

    def _drop_stale(self, before):
        """Make dispatchers anew whose declared targets have changed."""
        sets = self._duties.catalogue.replica_sets
        if before is None or before.catalogue is self._duties.catalogue:
            return
        for name, found in list(self._dispatchers.items()):
            declared = {t.name: t for t in sets.get(name, ())}
            present = {r.name: r.target for r in found.replicas.values()}
            if _without_schedules(declared) != _without_schedules(present):
                found.retarget(declared)
                self._sets_of_target.update(dict.fromkeys(declared, name))

    def _take_over(self, name):
        found = self._dispatchers.get(name)
        if found is None:
            self._open(name)
            return
        for replica in found.replicas.values():
            self._adopt_evidence(replica)

    def _give_up(self, name):
        found = self._dispatchers.get(name)
        if found is None:
            return []
        actions = self._apply(name, found.release())
        for replica in found.replicas.values():
            replica.limiter.forget()
            self._published.pop(replica.name, None)
        return actions

    def _set_states(self, found, now):
        """Take new states; a target that was away may come back cold."""
        actions = []
        for replica in found.replicas.values():
            state = self._state_of(replica.name)
            if state is replica.state:
                continue
            replica.state = state
            replica.limiter.fall_cold()
            self._journal.record('target.state', replica.name, state=state)
            if state is states.State.OUT:
                actions += found.cancel_on(replica.name)
        return actions + found.changed(now)

    def _retain(self):
        """Keep connections to the targets of own and guest sets."""
        now = trio.current_time()
        for name, until in list(self._guests.items()):
            if until <= now or name in self._duties.owned:
                del self._guests[name]
        sets = self._duties.catalogue.replica_sets
        names = {*self._duties.owned, *self._guests}
        self._wire.reconcile([t for n in names for t in sets.get(n, ())])

    def _on_recheck(self, _message, now):
        actions = []
        for name, found in self._dispatchers.items():
            if found.queued:
                actions += self._apply(name, found.changed(now))
        return actions

    def _finish(self, finish):
        key = self._part_of_job.pop(finish.job.job_id, None)
        run = self._parts.get(key)
        if run is None:
            return
        run.add(finish)
        if not run.open_jobs:
            self._complete(key, run)

    def _complete(self, key, run):
        del self._parts[key]
        self._journal.record('part.answered', run.part.request_id)
        self._metrics.observe('queue_wait_seconds', run.wait_s)
        self._answer(run.sender, run.take_answer())

    def _flush(self, key):
        run = self._parts.get(key)
        if run is not None and run.results:
            self._answer(run.sender, run.take_answer())

    def _publish_news(self, found):
        if self._duties is None or found.name not in self._duties.owned:
            return
        for replica in found.replicas.values():
            if not replica.limiter.boot:
                continue
            news = inventory.TargetInventory(
                target=replica.name,
                boot=replica.limiter.boot,
                warm=replica.limiter.is_warm,
                draining=replica.draining,
                holdings=replica.stated_holdings,
            )
            if self._published.get(replica.name) != news:
                self._tell(replica, news)

    def _tell(self, replica, news):
        before = self._published.get(replica.name)
        self._published[replica.name] = news
        if before is None or before.warm != news.warm:
            phase = replica.limiter.phase
            self._journal.record('target.phase', replica.name, phase=phase)
        self._publish(news)


def _without_schedules(targets):
    """Return what matters of targets to a dispatcher."""
    return {
        name: (t.host, t.port, t.shards, t.slots, t.cold_slots, t.connections)
        for name, t in targets.items()
    }


_HANDLERS = {
    inbox.PartReceived: Relay._on_part,
    inbox.PartCancelled: Relay._on_cancel,
    inbox.AttemptEnded: Relay._on_result,
    inbox.InventoryStated: Relay._on_inventory,
    inbox.EvidenceArrived: Relay._on_evidence,
    inbox.ConnectionLost: Relay._on_lost,
    inbox.DutiesChanged: Relay._on_duties,
    inbox.Recheck: Relay._on_recheck,
}
