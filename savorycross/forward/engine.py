"""What all calls of an instance share."""

import trio

from savorycross.forward import budget as budgets
from savorycross.forward import pace as paces

MAX_PACES = 2000
# Services that have failures counted by name; others are counted together.
MAX_COUNTED_SERVICES = 300


class Engine:
    """Targets, budgets and latencies that calls decide by.

    :param site: Site.
    :param dialect: Dialect.
    :param roster: Roster.
    :param picker: Picker.
    :param delegates: DelegateSelector.
    :param timers: Timers.
    :param log: EventLog.
    :param metrics: Registry.
    """

    def __init__(
        self, site, dialect, roster, picker, delegates, timers, log, metrics
    ):
        self.dialect = dialect
        self.roster = roster
        self.delegates = delegates
        self.timers = timers
        self.log = log
        self.metrics = metrics
        self._site = site
        self._picker = picker
        self._budgets = {}
        self._paces = {}
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
            found.set_limits(site.extra)

    def set_instances(self, n):
        """Set the number of instances that share all limits."""
        self._instances = n
        self.roster.set_instances(n)
        for found in self._budgets.values():
            found.set_instances(n)

    def budget(self, service):
        """Return the ExtraBudget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = budgets.ExtraBudget(
                self._site.extra, self._started_at, self._is_successor
            )
            found.set_instances(self._instances)
            self._budgets[service] = found
        return found

    def pace(self, route):
        """Return the Pace of a route."""
        found = self._paces.get(route.name)
        if found is None:
            if len(self._paces) >= MAX_PACES:
                self._paces.clear()
            found = paces.Pace(route.objective_s)
            self._paces[route.name] = found
        return found

    def pick(self, service, tried, now, preferred=None):
        """Return the TargetState for a send, or None.

        :param preferred: data centre that is preferred among other ones.
        """
        states = self.roster.usable(service)
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
        found = self.roster.service(service)
        if found is None or not found.cold_rate:
            return None
        cold = self._site.cold
        total = found.cold_rate * cold.overage + cold.slack
        return int(total / self._instances)
