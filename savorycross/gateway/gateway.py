"""Handles callers' requests according to the configuration in force."""

import math

from savorycross.forward import scatter_gather
from savorycross.forward import single_call
from savorycross.metrics import workspace_counts
from savorycross.overload import return_time
from savorycross.quota import gate as gates
from savorycross.route import route as routes
from savorycross.route import weighted_round_robin
from savorycross.workspace import key_check as key_checks

# Time that is reserved before a request's timeout to send a failure reply, if
# the event loop doesn't run later than that, and the most of the timeout.
FAILURE_REPLY_MARGIN_S = 0.01
MAX_MARGIN_SHARE = 0.25
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
# Share of the services of all routes that may lack a usable target, since
# some may never have one.
MAX_UNSERVED_SHARE = 0.1
# Events that report nothing but success.
SUCCESS_EVENTS = ('request.answered',)


class Gateway:
    """Finds the route of each request and forwards the request by it.

    ``configuration`` is the Configuration in force, or None, and
    ``has_workspaces`` tells whether it has any; ``workspace_counts`` holds
    the WorkspaceCounts of its requests. From ``end_at``
    on, a runtime clock time, nothing is forwarded, as the instance ends;
    requests that probably take longer are refused before.

    :param engine: Engine.
    :param read_lag_s: callable that returns the seconds by which the event
        loop runs late.
    :param quotas: Quotas, or None if no workspace has one.
    :param key_check: KeyCheck; by default there is no bound on withdrawn
        keys.
    :param read_age_ms: callable that returns the milliseconds for which
        changes of the configuration may be missing, or None.
    :param is_outdated: callable that returns whether changes that must be in
        force may be missing.
    """

    def __init__(
        self,
        engine,
        read_lag_s=lambda: 0.0,
        quotas=None,
        key_check=None,
        read_age_ms=lambda: None,
        is_outdated=lambda: False,
    ):
        self.configuration = None
        self.end_at = math.inf
        self._return_at = 0.0
        self._engine = engine
        self._read_lag_s = read_lag_s
        self._key_check = key_check or key_checks.KeyCheck()
        self._read_age_ms = read_age_ms
        self._is_outdated = is_outdated
        self._balancers = {}
        self.has_workspaces = False
        self.workspace_counts = workspace_counts.WorkspaceCounts()
        self._quotas = quotas
        self._gate = None
        if quotas is not None:
            self._gate = gates.Gate(quotas, engine.timers, engine.now)

    def adopt(self, configuration):
        """Put a configuration in force.

        Requests in progress keep the one with which they began.
        """
        self.configuration = configuration
        self.has_workspaces = not configuration.workspaces.is_empty
        self._balancers = {}
        self.workspace_counts.retain(
            w.name for w in configuration.workspaces.workspaces
        )
        self._engine.target_registry.set_services(configuration.services)
        if self._quotas is not None:
            self._quotas.set_workspaces(
                configuration.workspaces.workspaces, self._engine.now()
            )

    def plan_end(self, end_at, return_at):
        """Forward nothing that would still run at the end of the instance.

        :param end_at: runtime clock time of that end in seconds.
        :param return_at: runtime clock time from which on callers that are
            refused find an instance.
        """
        self.end_at = end_at
        self._return_at = return_at

    def make_end_refusal(self):
        """Return the Reply to a request that is incomplete at the end."""
        return_s = max(self._return_at - self._engine.now(), return_time.MIN_S)
        return self._engine.dialect.make_refusal(503, return_s)

    @property
    def version(self):
        """Version of the configuration in force, or 0."""
        return self.configuration.version if self.configuration else 0

    def lacks_targets(self):
        """Return whether many services of routes have no usable target."""
        if self.configuration is None:
            return True
        list_usable = self._engine.target_registry.list_usable
        services = {
            service
            for route in self.configuration.routes
            for service in route.services
        }
        unserved = sum(not list_usable(service) for service in services)
        return unserved > MAX_UNSERVED_SHARE * len(services)

    def handle(self, request, respond):
        """Handle a request; see ``wire.server.Handler``."""
        dialect = self._engine.dialect
        call = dialect.read_call(request, self.has_workspaces)
        if call is None:
            respond(dialect.make_refusal(400))
            return None
        if self.configuration is None:
            self._refuse(call, respond, 503, 'no configuration')
            return None
        route = self.configuration.table.find(call.host, call.path)
        if route is None:
            self._deny(call, respond, 404, 'no route')
            return None
        if self.has_workspaces and not route.is_public:
            call = self._admit(call, request, route, respond)
            if call is None:
                return None
        return self._enter(call, route, respond)

    def _enter(self, call, route, respond):
        """Run a call as soon as the quota of its workspace allows it."""
        if self._gate is None or call.workspace is None:
            return self._run(call, route, respond)

        def refuse(return_at):
            return_s = max(return_at - self._engine.now(), 0.0)
            self._record_refusal(call, 429, 'quota')
            respond(self._engine.dialect.make_refusal(429, return_s))

        return self._gate.enter(
            call.workspace,
            call.received_at + gates.WAIT_PART * route.objective_s,
            lambda: self._run(call, route, respond),
            refuse,
        )

    def count_held(self):
        """Return how many requests wait for a token of their workspace."""
        return self._gate.count_waiting() if self._gate is not None else 0

    def _give_back(self, call):
        """Return the token of a call that certainly did not run."""
        if self._quotas is not None:
            self._quotas.give_back(call.workspace, self._engine.now())

    def _admit(self, call, request, route, respond):
        """Return a Call with the workspace of its key.

        :returns: None if the request was refused.
        """
        engine = self._engine
        outcome, workspace = self._key_check.judge(
            engine.dialect.read_key(request), self.configuration.workspaces
        )
        engine.metrics.count('keys', outcome=outcome.value)
        if workspace is None:
            self._refuse_key(call, route, respond, outcome)
            return None
        return engine.dialect.assign(call, workspace)

    def _refuse_key(self, call, route, respond, outcome):
        """Refuse a call because of its key, which no record may name."""
        reason = f'key {outcome.value}'
        if outcome is not key_checks.Outcome.UNCONFIRMED:
            self._deny(call, respond, 401, reason)
            return
        engine = self._engine
        self._record_refusal(call, 503, reason)
        return_at = engine.now() + self._key_check.choose_return_s()
        end_at = call.received_at + _find_timeout_s(call, route)
        respond(engine.make_refusal(call, route, return_at, end_at))

    def _run(self, call, route, respond):
        engine = self._engine
        version = self.version
        timeout_s = _find_timeout_s(call, route)
        margin_s = min(self._read_lag_s(), MAX_MARGIN_SHARE * timeout_s)
        margin_s = max(margin_s, FAILURE_REPLY_MARGIN_S)
        end_at = call.received_at + timeout_s - margin_s
        route_latency = engine.route_latency(route)
        longest_s = min(timeout_s, route_latency.expect_longest_s())
        if call.received_at + longest_s > self.end_at:
            self._refuse_late(call, route, end_at, respond)
            return None
        end_at = min(end_at, self.end_at)
        elapsed_s = route_latency.estimate_elapsed_s(call.caller_timeout_s)

        def end(reply, outcome):
            self._record_outcome(call, route, version, outcome, operation)
            if outcome == 'refused':
                self._give_back(call)
            respond(reply)

        if route.shape is routes.Shape.ALL:
            objective_at = call.received_at + route.objective_s - elapsed_s
            operation = scatter_gather.ScatterGather(
                engine, call, route, objective_at, end_at, end
            )
        else:
            service = self._choose_service(route)
            operation = single_call.SingleCall(
                engine, call, route, service, end_at, end
            )
        operation.start()
        return operation

    def _choose_service(self, route):
        if route.shape is routes.Shape.ONE:
            return route.shares[0].service
        balancer = self._balancers.get(route.name)
        if balancer is None:
            balancer = weighted_round_robin.SmoothWeightedRoundRobin(
                route.shares
            )
            self._balancers[route.name] = balancer
        return balancer.choose()

    def _record_outcome(self, call, route, version, outcome, operation):
        now = self._engine.now()
        seconds = now - call.received_at
        metrics = self._engine.metrics
        metrics.count('requests', outcome=outcome, shape=route.shape.value)
        metrics.observe('request_seconds', seconds, shape=route.shape.value)
        self._count_workspace(call, outcome, operation.reason)
        self._engine.log.event(
            f'request.{outcome}',
            call.label,
            lambda: operation.detail,
            route=route.name,
            version=version,
            after_s=round(seconds, 4),
            **_name_workspace(call),
        )

    def _count_workspace(self, call, outcome, reason):
        """Count a request whose route may need a key."""
        if self.has_workspaces:
            self.workspace_counts.record(call.workspace, outcome, reason)

    def _refuse_late(self, call, route, end_at, respond):
        """Refuse a call that would still run at the end of the instance."""
        self._record_refusal(call, 503, 'instance ends')
        self._give_back(call)
        respond(
            self._engine.make_refusal(call, route, self._return_at, end_at)
        )

    def _deny(self, call, respond, status, reason):
        """Refuse a call that the configuration in force does not allow.

        A newer one may allow it. Callers return after 503, but not after the
        other status.
        """
        if self._is_outdated():
            status, reason = 503, f'{reason} in an outdated configuration'
        self._refuse(call, respond, status, reason)

    def _refuse(self, call, respond, status, reason):
        retry_after_s = (
            NO_CONFIGURATION_RETRY_AFTER_S if status == 503 else None
        )
        self._record_refusal(call, status, reason)
        respond(self._engine.dialect.make_refusal(status, retry_after_s))

    def _record_refusal(self, call, status, reason):
        self._engine.metrics.count('requests', outcome='refused', shape='none')
        self._count_workspace(call, 'refused', reason)
        self._engine.log.event(
            'request.refused',
            call.label,
            status=status,
            reason=reason,
            version=self.version,
            age_ms=self._read_age_ms(),
            host=call.host,
            path=call.path,
            **_name_workspace(call),
        )


def _name_workspace(call):
    """Return the log field that names the workspace of a call, if any."""
    return {} if call.workspace is None else {'workspace': call.workspace.name}


def _find_timeout_s(call, route):
    """Return the seconds in which a call's answer is of use."""
    if call.caller_timeout_s is None:
        return route.timeout_s
    return min(route.timeout_s, call.caller_timeout_s)
