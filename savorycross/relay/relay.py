"""The task that runs the dispatchers of an instance."""

import heapq
import itertools
import math

import trio

from savorycross.catalogue import state as states
from savorycross.plan import inventory
from savorycross.relay import dispatcher as dispatchers
from savorycross.relay import inbox
from savorycross.relay import job as jobs
from savorycross.relay import limiter
from savorycross.relay import part_run

RECHECK_INTERVAL_S = 0.05
FALLBACK_S = 10.0
MAX_BATCH = 512


class Relay:
    """Serves query parts by dispatching their jobs to targets.

    :param source: AssignmentSource.
    :param table: InventoryTable shared with the planner.
    :param policy: relay Policy.
    :param answer: called with a receiver's name and a PartAnswer.
    :param publish: called with a TargetInventory to send to peers.
    :param journal: Journal.
    :param metrics: Registry.
    """

    def __init__(
        self, source, table, policy, answer, publish, journal, metrics
    ):
        self.extra_budget = policy.make_budget()
        self._source = source
        self._table = table
        self._policy = policy
        self._send_answer = answer
        self._publish = publish
        self._journal = journal
        self._metrics = metrics
        self._target_client = None
        self._inbox_sender, self._inbox = trio.open_memory_channel(math.inf)
        self._assignment = None
        self._dispatchers = {}
        self._set_of_target = {}
        self._fallback_until = {}
        self._parts = {}
        self._part_of_job = {}
        self._set_of_attempt = {}
        self._job_ids = itertools.count(1)
        self._attempt_ids = policy.make_ids()
        self._timers = []
        self._timer_at = {}
        self._published = {}
        self._changed_sets = set()

    def post(self, message):
        """Queue a message for the relay's task."""
        self._inbox_sender.send_nowait(message)

    @property
    def in_flight(self):
        """Number of attempts that hold a slot."""
        return len(self._set_of_attempt)

    @property
    def open_part_count(self):
        """Number of parts without a final answer."""
        return len(self._parts)

    def dispatchers(self):
        """Return all dispatchers, for status reports."""
        return list(self._dispatchers.values())

    def count_request(self, target):
        """Count a request to a target that is not an attempt of a job.

        :param target: name of the target.
        """
        dispatcher = self._dispatchers.get(self._set_of_target.get(target))
        if dispatcher is not None:
            dispatcher.count_request(target, trio.current_time())

    def check_interval_s(self, target):
        """Return how long to wait between requests of a target's inventory.

        :returns: seconds; 0 if the target states no limit.
        """
        dispatcher = self._dispatchers.get(self._set_of_target.get(target))
        if dispatcher is None:
            return 0.0
        return dispatcher.check_interval_s(target, trio.current_time())

    def has_unowned_attempts(self):
        """Return whether attempts at targets of other owners are in flight."""
        return any(
            d.in_flight and name not in self._assignment.owned
            for name, d in self._dispatchers.items()
        )

    async def run(self, target_client):
        """Handle messages and timers until cancelled.

        :param target_client: TargetClient.
        """
        self._target_client = target_client
        while True:
            actions = []
            with trio.move_on_at(self._next_timer_at()):
                message = await self._inbox.receive()
                actions += self._handle(message)
            actions += self._handle_queued()
            actions += self._run_due_timers(trio.current_time())
            await self._execute(actions)
            self._finish_batch()

    def _next_timer_at(self):
        timer = self._timers[0][0] if self._timers else math.inf
        waiting = any(d.queued_count for d in self._dispatchers.values())
        if not waiting:
            return timer
        return min(timer, trio.current_time() + RECHECK_INTERVAL_S)

    def _handle_queued(self):
        actions = []
        for _ in range(MAX_BATCH):
            try:
                message = self._inbox.receive_nowait()
            except trio.WouldBlock:
                break
            actions += self._handle(message)
        return actions

    def _handle(self, message):
        return _HANDLERS[type(message)](self, message, trio.current_time())

    def _run_due_timers(self, now):
        actions = []
        while self._timers and self._timers[0][0] <= now:
            when, kind, key = heapq.heappop(self._timers)
            if kind == 'set':
                if self._timer_at.get(key) == when:
                    del self._timer_at[key]
                dispatcher = self._dispatchers.get(key)
                if dispatcher is not None:
                    actions += self._register(
                        key, dispatcher.run_due_timers(now)
                    )
            else:
                self._send_partial_answer(key)
        return actions

    async def _execute(self, actions):
        """Carry out the actions of dispatchers."""
        for action in actions:
            if isinstance(action, jobs.Send):
                self._metrics.count('target_sends')
                await self._target_client.send(action)
            elif isinstance(action, jobs.Cancel):
                self._metrics.count('target_cancels')
                await self._target_client.cancel(action)
            else:
                self._finish_job(action)

    def _finish_batch(self):
        """Set timers and publish inventories of changed dispatchers."""
        for name in self._changed_sets:
            dispatcher = self._dispatchers.get(name)
            if dispatcher is None:
                continue
            when = dispatcher.next_timer_at()
            if when is not None and when < self._timer_at.get(name, math.inf):
                self._timer_at[name] = when
                heapq.heappush(self._timers, (when, 'set', name))
            self._publish_inventories(dispatcher)
        self._changed_sets.clear()

    def _register(self, name, actions):
        """Record which replica set the attempts among the actions are for.

        :returns: the same actions.
        """
        self._changed_sets.add(name)
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
        accepted = []
        for name, shard in zip(part.replica_sets, part.shards, strict=True):
            job = self._make_job(part, shard, now)
            if not self._can_serve(name, now):
                run.add_missing(shard, jobs.Cause.NO_TARGET)
                continue
            run.unfinished_jobs[job.job_id] = name
            self._part_of_job[job.job_id] = key
            accepted.append((name, job))
        for name, job in accepted:
            dispatcher = self._dispatchers[name]
            actions += self._register(name, dispatcher.submit(job, now))
        if part.flush_ms:
            when = now + part.flush_ms / 1000
            heapq.heappush(self._timers, (when, 'flush', key))
        if not run.unfinished_jobs:
            self._send_final_answer(key, run)
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
        """Return whether jobs for a replica set can be accepted.

        An instance that does not own the set serves it as a fallback,
        because the owner may be lost, but only if it knows a warm target.
        """
        if self._assignment is None:
            return False
        if name in self._assignment.owned:
            return (
                name in self._dispatchers
                or self._open_dispatcher(name) is not None
            )
        is_new = name not in self._fallback_until
        self._fallback_until[name] = now + FALLBACK_S
        if is_new:
            self._acquire(name)
            self._update_connections()
        dispatcher = self._dispatchers.get(name)
        return dispatcher is not None and dispatcher.has_warm_replica

    def _open_dispatcher(self, name):
        targets = self._assignment.catalogue.replica_sets.get(name)
        if not targets:
            return None
        dispatcher = dispatchers.Dispatcher(
            name,
            targets,
            self._policy,
            self.extra_budget,
            self._source.may_send_cold,
            self._attempt_ids,
        )
        self._dispatchers[name] = dispatcher
        for replica in dispatcher.replicas.values():
            self._set_of_target[replica.name] = name
            replica.state = self._state_of(replica.name)
            self._adopt_inventory(dispatcher, replica)
        return dispatcher

    def _state_of(self, name):
        return self._assignment.states.get(name, states.State.OUT)

    def _adopt_inventory(self, dispatcher, replica):
        """Apply the inventory of a target that peers have published.

        A target that its former owner reports as warm counts as warm here
        too, with the cold limit at first.
        """
        published = self._table.get(replica.name)
        if published is None:
            return
        replica.update_inventory(published)
        now = trio.current_time()
        dispatcher.adopt_rate(replica, published.rate_per_s, now)
        if published.warm and not replica.limiter.is_warm:
            replica.limiter.adopt_warm(
                published.boot, replica.limiter.cold_slots
            )

    def _on_cancel(self, message, now):
        run = self._parts.pop((message.sender, message.part_id), None)
        if run is None:
            return []
        actions = []
        for job_id, name in list(run.unfinished_jobs.items()):
            dispatcher = self._dispatchers[name]
            actions += self._register(name, dispatcher.cancel(job_id, now))
        return actions

    def _on_result(self, message, now):
        name = self._set_of_attempt.pop(message.attempt_id, None)
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            return []
        self._metrics.count(
            'target_results', status=str(message.result.status)
        )
        actions = dispatcher.handle_result(
            message.attempt_id, message.result, now
        )
        return self._register(name, actions)

    def _on_inventory(self, message, now):
        item = message.inventory
        name = self._set_of_target.get(item.target)
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            return []
        return self._register(
            name, dispatcher.update_inventory(item, message.sent_at, now)
        )

    def _on_peer_inventory(self, message, now):
        """Apply a peer's inventory to a target of unknown phase."""
        name = self._set_of_target.get(message.target)
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            return []
        replica = dispatcher.replicas[message.target]
        if replica.limiter.phase is not limiter.Phase.UNKNOWN:
            return []
        self._adopt_inventory(dispatcher, replica)
        return self._register(name, dispatcher.dispatch_queued(now))

    def _on_connection_lost(self, message, now):
        """Count the target as cold, because it may have restarted."""
        name = self._set_of_target.get(message.target)
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            return []
        target_limiter = dispatcher.replicas[message.target].limiter
        if not message.boot or message.boot == target_limiter.boot:
            target_limiter.reset_to_cold()
        self._changed_sets.add(name)
        return []

    def _on_assignment(self, _message, now):
        before = self._assignment
        self._assignment = self._source.current_assignment()
        actions = []
        self._update_targets(before)
        for name in self._assignment.owned:
            if before is None or name not in before.owned:
                self._acquire(name)
        if before is not None:
            for name in before.owned - self._assignment.owned:
                actions += self._relinquish(name)
        for name, dispatcher in self._dispatchers.items():
            actions += self._register(
                name, self._update_states(dispatcher, now)
            )
        self._update_connections()
        return actions

    def _update_targets(self, before):
        """Update the dispatchers whose declared targets have changed."""
        sets = self._assignment.catalogue.replica_sets
        if before is None or before.catalogue is self._assignment.catalogue:
            return
        for name, dispatcher in list(self._dispatchers.items()):
            declared = {t.name: t for t in sets.get(name, ())}
            present = {r.name: r.target for r in dispatcher.replicas.values()}
            if _dispatch_fields(declared) != _dispatch_fields(present):
                dispatcher.update_targets(declared)
                self._set_of_target.update(dict.fromkeys(declared, name))

    def _acquire(self, name):
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            self._open_dispatcher(name)
            return
        for replica in dispatcher.replicas.values():
            self._adopt_inventory(dispatcher, replica)

    def _relinquish(self, name):
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            return []
        actions = self._register(name, dispatcher.abort_queued())
        for replica in dispatcher.replicas.values():
            replica.limiter.reset()
            self._published.pop(replica.name, None)
        return actions

    def _update_states(self, dispatcher, now):
        """Apply changed states.

        A target whose state changes counts as cold, because it may have
        restarted while it got no requests.
        """
        actions = []
        for replica in dispatcher.replicas.values():
            state = self._state_of(replica.name)
            if state is replica.state:
                continue
            replica.state = state
            replica.limiter.reset_to_cold()
            self._journal.record('target.state', replica.name, state=state)
            if state is states.State.OUT:
                actions += dispatcher.cancel_attempts_at(replica.name)
        return actions + dispatcher.dispatch_queued(now)

    def _update_connections(self):
        """Keep connections to the targets of owned and fallback sets only."""
        now = trio.current_time()
        for name, until in list(self._fallback_until.items()):
            if until <= now or name in self._assignment.owned:
                del self._fallback_until[name]
        sets = self._assignment.catalogue.replica_sets
        names = {*self._assignment.owned, *self._fallback_until}
        self._target_client.reconcile(
            [t for n in names for t in sets.get(n, ())]
        )

    def _on_recheck(self, _message, now):
        actions = []
        for name, dispatcher in self._dispatchers.items():
            if dispatcher.queued_count:
                actions += self._register(
                    name, dispatcher.dispatch_queued(now)
                )
        return actions

    def _finish_job(self, finish):
        key = self._part_of_job.pop(finish.job.job_id, None)
        run = self._parts.get(key)
        if run is None:
            return
        run.add(finish)
        if not run.unfinished_jobs:
            self._send_final_answer(key, run)

    def _send_final_answer(self, key, run):
        del self._parts[key]
        self._journal.record('part.answered', run.part.request_id)
        self._metrics.observe('queue_wait_seconds', run.max_wait_s)
        self._send_answer(run.sender, run.pop_answer())

    def _send_partial_answer(self, key):
        run = self._parts.get(key)
        if run is not None and run.results:
            self._send_answer(run.sender, run.pop_answer())

    def _publish_inventories(self, dispatcher):
        if (
            self._assignment is None
            or dispatcher.name not in self._assignment.owned
        ):
            return
        now = trio.current_time()
        for replica in dispatcher.replicas.values():
            if not replica.limiter.boot:
                continue
            if replica.rate.is_due_to_tell(now):
                replica.rate.record_told(now)
            current = inventory.TargetInventory(
                target=replica.name,
                boot=replica.limiter.boot,
                warm=replica.limiter.is_warm,
                draining=replica.draining,
                holdings=replica.stated_holdings,
                rate_per_s=replica.rate.told_per_s,
            )
            if self._published.get(replica.name) != current:
                self._publish_inventory(replica, current)

    def _publish_inventory(self, replica, current):
        before = self._published.get(replica.name)
        self._published[replica.name] = current
        if before is None or before.warm != current.warm:
            phase = replica.limiter.phase
            self._journal.record('target.phase', replica.name, phase=phase)
        self._publish(current)


def _dispatch_fields(targets):
    """Return the fields of targets on which a dispatcher depends.

    :param targets: map of target name to Target.
    """
    return {
        name: (t.host, t.port, t.shards, t.slots, t.cold_slots, t.connections)
        for name, t in targets.items()
    }


_HANDLERS = {
    inbox.PartReceived: Relay._on_part,
    inbox.PartCancelled: Relay._on_cancel,
    inbox.AttemptEnded: Relay._on_result,
    inbox.TargetInventoryReceived: Relay._on_inventory,
    inbox.PeerInventoryReceived: Relay._on_peer_inventory,
    inbox.ConnectionLost: Relay._on_connection_lost,
    inbox.AssignmentChanged: Relay._on_assignment,
    inbox.Recheck: Relay._on_recheck,
}
