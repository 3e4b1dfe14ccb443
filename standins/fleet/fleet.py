"""Runs a load pattern on a modelled fleet."""

import random

from savorycross.discovery import target as discovered
from savorycross.overload import caller_subset
from savorycross.route import configuration
from savorycross.route import route
from savorycross.route import service
from savorycross.wire import server
from standins.fleet import caller
from standins.fleet import dialect
from standins.fleet import instance as instances
from standins.fleet import outcome as outcomes
from standins.fleet import scheduler
from standins.fleet import target as targets
from standins.fleet import variant as variants
from standins import stated_rate

REFRESH_INTERVAL_S = 0.5
# Time until an instance that ended leaves the list.
DETECTION_S = 1.7
# One way between two instances.
PEER_DELAY_S = 0.001


class Fleet:
    """Instances, targets and callers of one run.

    :param pattern: pattern.Pattern.
    :param seed: number that determines all random choices.
    :param variant: variant.Variant.
    :param instance_count: number of instances, or None for the pattern's.
    """

    def __init__(
        self, pattern, seed=1, variant=variants.PRODUCT, instance_count=None
    ):
        self.pattern = pattern
        self.seed = seed
        self.variant = variant
        self.scheduler = scheduler.Scheduler()
        self.outcomes = []
        self.remote_sends = 0
        self._arrival_rngs = {
            kind.name: random.Random(f'{seed}/{kind.name}')
            for kind in pattern.kinds
        }
        self._choice_rng = random.Random(f'{seed}/choices')
        self._event_rng = random.Random(f'{seed}/events')
        self._listed = ()
        self._requested = {}
        self._cold_periods = []
        self._limited_periods = []
        self._services = {
            index.name: tuple(f'{index.name}-{n}' for n in range(index.shards))
            for index in pattern.indexes
        }
        self.configuration = self._make_configuration()
        self._make_targets()
        self._subset = caller_subset.CallerSubset(
            instances.WINDOW_S, variant.min_selected
        )
        self._instances = [
            instances.ModelInstance(
                f'entry-{n + 1}', f'dc-{n % pattern.data_centres}', self
            )
            for n in range(instance_count or pattern.instances)
        ]
        for instance in self._instances:
            self._introduce_targets(instance)

    def run(self, on_second=lambda second: None):
        """Run the pattern and return its outcome.Report.

        :param on_second: called with each second of the load as it begins.
        """
        self._refresh()
        for event in self.pattern.events:
            self.scheduler.call_at(
                event.at_s, lambda event=event: self._begin(event)
            )
        for kind in self.pattern.kinds:
            self._arrive_next(kind, 0)
        last_s = self.pattern.duration_s
        for second in range(int(last_s)):
            on_second(second)
            self.scheduler.run_until(second + 1.0)
        longest_ms = max(kind.deadline_ms for kind in self.pattern.kinds)
        self.scheduler.run_until(last_s + longest_ms / 1000 + 1.0)
        return self._make_report()

    def choose_instance(self, avoided):
        """Return a listed ModelInstance, or None if there is none.

        :param avoided: names of instances that failed the caller.
        """
        usable = [i for i in self._listed if i.name not in avoided]
        if not usable:
            return None
        weights = self.pattern.caller_weights
        if not weights:
            return self._choice_rng.choice(usable)
        weight = dict(
            zip(_name_data_centres(self.pattern), weights, strict=True)
        )
        return self._choice_rng.choices(
            usable, [weight[i.data_centre] for i in usable]
        )[0]

    def find_data_centre(self, target_id):
        """Return the data centre of a target."""
        return self._entries[target_id].data_centre

    def count_shards(self, index):
        """Return the number of shards of an index."""
        return len(self._services[index])

    def count_request(self, path):
        """Count a request that an instance forwards to its services."""
        now = self.scheduler.time
        for name in self._services_by_path[path]:
            self._requested.setdefault(name, []).append(now)

    def send_rate_message(self, name, message):
        """Deliver a RateMessage to an instance, if it is alive by then."""

        def deliver():
            for receiver in self._instances:
                if receiver.name == name and receiver.is_alive:
                    receiver.rates.on_message(message, self.scheduler.time)

        self.scheduler.call_later(PEER_DELAY_S, deliver)

    def _make_configuration(self):
        routes = []
        self._services_by_path = {}
        for kind in self.pattern.kinds:
            path = f'/{kind.name}/'
            names = self._services[kind.index]
            names = names if kind.gathers else names[:1]
            self._services_by_path[path.encode()] = names
            routes.append(
                route.Route(
                    name=kind.name,
                    host=dialect.HOST,
                    prefix=path,
                    shape=(
                        route.Shape.ALL if kind.gathers else route.Shape.ONE
                    ),
                    shares=tuple(route.Share(n, 1.0) for n in names),
                    is_idempotent=kind.is_idempotent,
                    timeout_s=kind.deadline_ms / 1000,
                    objective_s=kind.objective_ms / 1000,
                    attempts=2,
                    priority=kind.priority,
                    record_limit=5,
                    min_coverage=kind.min_coverage,
                )
            )
        services = [
            service.Service(
                name, index.max_connections, 0.0, index.cold_rate_per_s
            )
            for index in self.pattern.indexes
            for name in self._services[index.name]
        ]
        return configuration.make_configuration(
            1, routes, services, server.Limits()
        )

    def _make_targets(self):
        self.targets = {}
        self._entries = {}
        work_s = {
            f'/{k.name}/'.encode(): k.work_ms / 1000
            for k in self.pattern.kinds
        }
        for index in self.pattern.indexes:
            for name in self._services[index.name]:
                for n in range(index.replicas):
                    id_ = f'{name}-r{n}'
                    self.targets[id_] = targets.ModelTarget(
                        id_,
                        index,
                        self.scheduler,
                        f'{self.seed}/{id_}',
                        work_s,
                    )
                    self._entries[id_] = discovered.Target(
                        id=id_,
                        service=name,
                        address=(id_, 1),
                        data_centre=f'dc-{n % self.pattern.data_centres}',
                        slots=index.slots,
                    )

    def _introduce_targets(self, instance):
        for entry in self._entries.values():
            instance.targets.put(entry, self.scheduler.time)

    def _refresh(self):
        """Update the list of instances, their shares and their loads."""
        now = self.scheduler.time
        alive = [i for i in self._instances if i.is_alive]
        for instance in alive:
            instance.measure_load(REFRESH_INTERVAL_S)
            instance.engine.prune(now)
            instance.targets.prune(now)
        self._subset.update(
            [
                caller_subset.Candidate(i.name, i.data_centre, i.load)
                for i in self._instances
                if i.is_alive or now < i.listed_until
            ],
            now,
        )
        self._listed = tuple(
            i for i in self._instances if i.name in self._subset.selected
        )
        names = frozenset(i.name for i in alive)
        for instance in alive:
            senders = self._subset.senders(instance.name, now)
            instance.engine.locality.set_senders(
                sum(
                    i.data_centre == instance.data_centre for i in self._listed
                )
            )
            instance.engine.set_shares(
                self.variant.make_shares(
                    instance.name, senders, names - senders
                )
            )
            instance.rates.set_shares(
                self.variant.make_shares(instance.name, self._subset.selected),
                now,
            )
        self.scheduler.call_later(REFRESH_INTERVAL_S, self._refresh)

    def _arrive_next(self, kind, number):
        now = self.scheduler.time
        factor = self._active_factor('burst')
        rng = self._arrival_rngs[kind.name]
        gap_s = rng.expovariate(kind.rate_per_s * factor)
        if now + gap_s < self.pattern.duration_s:
            self.scheduler.call_later(
                gap_s, lambda: self._arrive(kind, number + 1)
            )

    def _arrive(self, kind, number):
        self._arrive_next(kind, number)
        rng = self._arrival_rngs[kind.name]
        extra_tries = 0
        leaves_after_s = None
        for event in self._active('repeat'):
            if rng.random() < event.share:
                extra_tries = int(event.factor)
        for event in self._active('leave'):
            if rng.random() < event.share:
                leaves_after_s = kind.objective_ms / 1000 * event.factor
        number = len(self.outcomes) * 1_000_000 + number
        workspace = self._choose_workspace(rng)
        caller.Request(
            self, kind, number, extra_tries, leaves_after_s, workspace
        ).send()

    def _choose_workspace(self, rng):
        weights = self.pattern.workspaces
        if not weights:
            return ''
        return rng.choices(list(weights), list(weights.values()))[0]

    def _active(self, kind):
        now = self.scheduler.time
        return [
            e
            for e in self.pattern.events
            if e.kind == kind and e.at_s <= now < e.at_s + e.for_s
        ]

    def _active_factor(self, kind):
        factor = 1.0
        for event in self._active(kind):
            factor *= event.factor
        return factor

    def _begin(self, event):
        """Apply an event, and schedule its end."""
        if event.kind == 'loss':
            self._lose_instances(event)
            return
        if event.kind in ('burst', 'leave', 'repeat'):
            return
        for id_ in self._choose_targets(event):
            if event.kind == 'cold':
                self._restart_cold(id_, event)
            else:
                if event.kind == 'limit':
                    self._limited_periods.append((id_, event))
                self._set_fault(self.targets[id_], event, True)
                self.scheduler.call_later(
                    event.for_s,
                    lambda id_=id_: self._set_fault(
                        self.targets[id_], event, False
                    ),
                )

    @staticmethod
    def _set_fault(target, event, is_on):
        if event.kind == 'slow':
            target.slow_factor = event.factor if is_on else 1.0
        elif event.kind == 'dark':
            target.is_dark = is_on
        elif event.kind == 'down':
            target.is_down = is_on
        elif event.kind == 'shed':
            target.shed_part = event.factor if is_on else 0.0
        elif event.kind == 'limit':
            target.rate_limit_per_s = event.factor if is_on else None

    def _choose_targets(self, event):
        """Return the ids of the targets that an event hits."""
        if event.targets:
            return event.targets
        if event.per_shard:
            ids_by_shard = {}
            for id_, entry in self._entries.items():
                ids_by_shard.setdefault(entry.service, []).append(id_)
            count = max(1, round(event.share * len(ids_by_shard)))
            chosen = self._event_rng.sample(sorted(ids_by_shard), count)
            return [
                i for n in chosen for i in ids_by_shard[n][: event.per_shard]
            ]
        ids = sorted(self._entries)
        if event.data_centre is not None:
            name = _name_data_centres(self.pattern)[event.data_centre]
            ids = [i for i in ids if self.find_data_centre(i) == name]
        count = max(1, round(event.share * len(ids)))
        return self._event_rng.sample(ids, count)

    def _restart_cold(self, id_, event):
        now = self.scheduler.time
        entry = self._entries[id_]
        self._entries[id_] = discovered.Target(
            id=id_,
            service=entry.service,
            address=entry.address,
            data_centre=entry.data_centre,
            slots=entry.slots,
            born=int(now * 1000) + 1,
            warmup_s=event.for_s,
        )
        self._cold_periods.append((id_, now, now + event.for_s))
        for instance in self._instances:
            instance.targets.put(self._entries[id_], now)

    def _lose_instances(self, event):
        alive = [i for i in self._instances if i.is_alive]
        count = max(1, round(event.share * len(alive)))
        for lost in self._event_rng.sample(alive, count):
            lost.end()
            lost.listed_until = self.scheduler.time + DETECTION_S
            self.scheduler.call_later(
                event.for_s, lambda lost=lost: self._restart(lost)
            )

    def _restart(self, lost):
        fresh = instances.ModelInstance(
            lost.name, lost.data_centre, self, is_first_start=False
        )
        self._instances[self._instances.index(lost)] = fresh
        self._introduce_targets(fresh)

    def _make_report(self):
        return outcomes.Report(
            pattern=self.pattern.title,
            variant=self.variant.name,
            outcomes=tuple(sorted(self.outcomes, key=lambda o: o.at_s)),
            weights={k.name: k.weight for k in self.pattern.kinds},
            sends=sum(len(t.arrivals) for t in self.targets.values()),
            first_sends=sum(len(times) for times in self._requested.values()),
            remote_sends=self.remote_sends,
            refusals=sum(t.refusals for t in self.targets.values()),
            most_cold=self._count_most_cold(),
            worst_extra_ratio=self._measure_extra_sends(),
            worst_limited_ratio=max(self._limited_ratios(), default=0.0),
            limit_use=self._measure_limit_use(),
        )

    def _count_most_cold(self):
        """Return the most requests to a cold target within one second."""
        most = 0
        for id_, since, until in self._cold_periods:
            target = self.targets[id_]
            pairs = [
                (sent_at, arrived_at)
                for sent_at, arrived_at in zip(
                    target.sent_times, target.arrivals, strict=True
                )
                if since <= sent_at < until
            ]
            for start, _ in pairs:
                inside = sum(
                    start <= sent_at and arrived_at < start + 1.0
                    for sent_at, arrived_at in pairs
                )
                most = max(most, inside)
        return most

    def _limited_ratios(self):
        """Yield, for each limited target, its worst ratio to the bound."""
        for id_, event in self._limited_periods:
            yield stated_rate.worst_ratio(
                self.targets[id_].arrivals,
                event.factor,
                event.at_s,
                event.at_s + event.for_s,
            )

    def _measure_limit_use(self):
        """Return the arrivals at limited targets as a part of their limits."""
        allowed = arrived = 0.0
        for id_, event in self._limited_periods:
            since = event.at_s + stated_rate.LEARNING_S
            until = event.at_s + event.for_s
            arrivals = self.targets[id_].arrivals
            arrived += stated_rate.count_between(arrivals, since, until)
            allowed += event.factor * (until - since)
        return arrived / allowed if allowed else 0.0

    def _measure_extra_sends(self):
        """Return the largest ratio of extra sends to the bound on them."""
        worst = 0.0
        arrivals = {}
        for id_, entry in self._entries.items():
            arrivals.setdefault(entry.service, []).extend(
                self.targets[id_].arrivals
            )
        for name, requested in self._requested.items():
            arrived = sorted(arrivals[name])
            for start in range(int(self.pattern.duration_s) + 1):
                until = start + instances.WINDOW_S
                wanted = stated_rate.count_between(requested, start, until)
                extra = (
                    stated_rate.count_between(arrived, start, until) - wanted
                )
                bound = self.pattern.extra_ratio * wanted
                bound += self.pattern.extra_slack
                worst = max(worst, extra / bound)
        return worst


def _name_data_centres(pattern):
    return [f'dc-{n}' for n in range(pattern.data_centres)]
