"""What all calls of an instance share."""

import trio

from savorycross.forward import budget as budgets
from savorycross.forward import route_latency as route_latencies

MAX_ROUTE_LATENCIES = 2000
# Services that have failures counted by name; others are counted together.
MAX_COUNTED_SERVICES = 300


class Engine:
    """Targets, budgets and latencies that calls decide by.

    :param site: InstanceSettings.
    :param dialect: Dialect.
    :param target_registry: TargetRegistry.
    :param picker: Picker.
    :param delegates: Delegates.
    :param timers: Timers.
    :param log: EventLog.
    :param metrics: Registry.
    """

    def __init__(
        self,
        site,
        dialect,
        target_registry,
        picker,
        delegates,
        timers,
        log,
        metrics,
    ):
        self.dialect = dialect
        self.target_registry = target_registry
        self.delegates = delegates
        self.timers = timers
        self.log = log
        self.metrics = metrics
        self._site = site
        self._picker = picker
        self._budgets = {}
        self._route_latencies = {}
        self._counted = set()
        self._instances = 1
        self._started_at = self.now()
        self._is_successor = not site.is_first_start

    @property
    def data_centre(self):
        """This instance's data centre."""
        return self._site.data_centre

    def now(self):
        """Return the runtime clock time in seconds."""
        return trio.current_time()

    def set_site(self, site):
        """Take changed settings."""
        self._site = site
        for found in self._budgets.values():
            found.set_limits(site.extra_send_limits)

    def set_instances(self, n):
        """Set the number of instances that share all limits."""
        self._instances = n
        self.target_registry.set_instances(n)
        for found in self._budgets.values():
            found.set_instances(n)

    def budget(self, service):
        """Return the ExtraBudget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = budgets.ExtraBudget(
                self._site.extra_send_limits,
                self._started_at,
                self._is_successor,
            )
            found.set_instances(self._instances)
            self._budgets[service] = found
        return found

    def route_latency(self, route):
        """Return the RouteLatency of a route."""
        found = self._route_latencies.get(route.name)
        if found is None:
            if len(self._route_latencies) >= MAX_ROUTE_LATENCIES:
                self._route_latencies.clear()
            found = route_latencies.RouteLatency(route.objective_s)
            self._route_latencies[route.name] = found
        return found

    def pick(self, service, tried, now, preferred=None):
        """Return the TargetState for a send, or None.

        :param preferred: data centre that is preferred among other ones.
        """
        states = self.target_registry.usable(service)
        limit = self._cold_limit(service)
        return self._picker.pick(states, tried, now, limit, preferred)

    def count_send(self, is_extra):
        """Count a send."""
        self.metrics.count('sends', kind='extra' if is_extra else 'first')

    def count_failure(self, service, reason):
        """Count a send that brought no answer.

        :param reason: text whose part before a colon is the cause.
        """
        if service not in self._counted:
            if len(self._counted) < MAX_COUNTED_SERVICES:
                self._counted.add(service)
            else:
                service = 'other'
        cause = reason.partition(':')[0]
        self.metrics.count('send_failures', service=service, cause=cause)

    def count_spent(self, now):
        """Return for how many services no extra send is allowed."""
        return sum(b.is_spent(now) for b in self._budgets.values())

    def prune(self, now):
        """Forget budgets that nothing was counted in for a whole window."""
        self.delegates.prune(now)
        self._budgets = {
            service: found
            for service, found in self._budgets.items()
            if not found.is_idle(now)
        }

    def _cold_limit(self, service):
        found = self.target_registry.service(service)
        if found is None or not found.cold_rate:
            return None
        cold = self._site.cold_send_limits
        total = found.cold_rate * cold.overage + cold.slack
        return int(total / self._instances)
