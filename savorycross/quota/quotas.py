"""Admits the requests of workspaces within their quotas.

Instances lend each other tokens; see ``quota.protocol``.

Load pattern: 80 workspaces that send what they are allowed or less, and one
that sends five times that for seconds, through nine to twelve instances. Each
request takes a token before it is forwarded. One that lacks a token waits
while other instances are asked, and all are refused at once while nobody has
any.

Source of the method: Raghavan, Vishwanath, Ramabhadran, Yocum and Snoeren,
"Cloud Control with Distributed Rate Limiting", SIGCOMM, 2007; the parts are
static here, and lending takes the place of estimates of the demand, which
could exceed the rate.
"""

import dataclasses

from savorycross.overload import share_views
from savorycross.overload import shares as limit_shares
from savorycross.quota import admission
from savorycross.quota import division
from savorycross.quota import lending
from savorycross.quota import workspace_quota

# An instance that stood still for longer may have lost its part: others take
# it for dead after 1.7 s, and use its part 1 s after the store has removed its
# entry, which may be at once.
MAX_STALL_S = 2.0


class Quotas:
    """The quotas of all workspaces, and this instance's parts of them.

    :param own_name: name of this instance.
    :param is_successor: whether another process may have run in its place,
        whose requests still count.
    :param limits: QuotaLimits, or None for exact ones.
    :param send: callable that takes the name of an instance and a
        QuotaMessage; it may lose it.
    :param rng: random.Random.
    :param log: EventLog.
    :param metrics: metrics.registry.Registry.
    :param now: runtime clock time in seconds.
    :param read_clock: callable that returns the seconds of a clock that goes
        on while the machine is suspended, or None for the runtime clock.
    """

    def __init__(
        self,
        own_name,
        is_successor,
        limits,
        send,
        rng,
        log,
        metrics,
        now,
        read_clock=None,
    ):
        self._own_name = own_name
        self._limits = limits or division.DEFAULT_LIMITS
        # Until then, another process may have spent the tokens of this one.
        self._succeeds_until = now
        if is_successor:
            self._succeeds_until += self._limits.window_s
        self._log = log
        self._metrics = metrics
        self._lending = lending.Lending(own_name, send, rng, metrics, now)
        self._by_name = {}
        # Quotas that were removed, and until when their requests count.
        self._former = {}
        self._has_spare = not is_successor
        self._views = share_views.ShareViews(
            self._make_view({own_name}), share_views.VIEW_SPREAD_S
        )
        self._on_tokens = lambda name: None
        self._read_clock = read_clock
        self._maintained_at = None

    def subscribe(self, on_tokens):
        """Set the callable that hears that requests may find a token now.

        It also hears that other instances have none.

        :param on_tokens: callable that takes the name of a workspace.
        """
        self._on_tokens = on_tokens

    def set_view(self, view, now):
        """Set which instances hold parts of the quotas.

        :param view: HolderView.
        """
        if view != self._views.shares:
            self._views.replace(view, now)

    def record_predecessor(self, age_s, now):
        """Record when the process began that ran in place of this one.

        That one may have spent all tokens of this instance just before its
        end, so that this one begins without any. After the loss of all
        instances, all workspaces would be refused until tokens have come in.
        So this instance gets its part of what the bound leaves on top, unless
        its predecessor got that in the same window.

        :param age_s: seconds since the start of the predecessor.
        """
        if self._has_spare or age_s <= self._limits.window_s:
            return
        self._has_spare = True
        views = self._bind(now)
        shares = self._views.shares.shares
        for quota in self._by_name.values():
            holders = limit_shares.LimitShares(
                self._own_name, frozenset(quota.list_holders(shares))
            )
            units = holders.units(int(quota.grant.spare), quota.name)
            quota.allocation.filled(views, now).add(units, now)

    def maintain(self, now):
        """Log the workspaces that are limited no longer.

        It is to be called more often than each MAX_STALL_S, after
        ``set_view``.
        """
        self._check_stall(now)
        self._maintained_at = self._read_time(now)
        for quota in self._by_name.values():
            if quota.end_limit(now):
                self._log.event('workspace.freed', workspace=quota.name)

    def _bind(self, now):
        """Return the HolderViews that bind this instance."""
        self._check_stall(now)
        return self._views.binding(now)

    def _check_stall(self, now):
        """Count the part as uncertain for some time after a stall.

        Requests may be handled before anything tells that the instance stood
        still. In that time, others learn that it goes on.
        """
        at = self._read_time(now)
        if self._maintained_at is None or (
            at - self._maintained_at <= MAX_STALL_S
        ):
            return
        self._maintained_at = at
        view = dataclasses.replace(self._views.shares, is_certain=False)
        self._views.retain(view, now)

    def _read_time(self, now):
        return now if self._read_clock is None else self._read_clock()

    def count_limited(self):
        """Return how many workspaces had a request refused lately."""
        return sum(q.is_limited for q in self._by_name.values())

    def _make_view(self, names):
        return division.HolderView(
            limit_shares.LimitShares(self._own_name, frozenset(names))
        )

    def set_workspaces(self, workspaces, now):
        """Put the quotas of a configuration in force.

        A new quota begins with all tokens, as what was admitted before it
        does not count; one that was removed less than a window ago goes on.
        It has none in the first window of an instance that replaces another,
        as that one may have spent them. The first configuration may be older
        than the one that was in force there.

        :param workspaces: Workspaces.
        """
        views = self._bind(now)
        known = self._take_known(now)
        for workspace in workspaces:
            if not workspace.has_quota:
                continue
            name = workspace.name
            grant = division.make_grant(workspace, self._limits)
            quota = known.get(name)
            if quota is not None:
                quota.set_grant(grant, views, now, self._limits.window_s)
            else:
                quota = workspace_quota.WorkspaceQuota(grant, name, now)
                if now >= self._succeeds_until:
                    quota.allocation.fill(views, now)
            self._by_name[name] = quota

    def _take_known(self, now):
        """Return the quotas by name that are in force or were lately."""
        until = now + self._limits.window_s
        self._former.update(
            (name, (quota, until)) for name, quota in self._by_name.items()
        )
        self._former = {
            name: former
            for name, former in self._former.items()
            if former[1] > now
        }
        self._by_name = {}
        return {name: quota for name, (quota, _) in self._former.items()}

    def admit(self, workspace, until, now, ahead=0, behind=0):
        """Return the Admission of a request; it takes a token if admitted.

        :param workspace: Workspace of the request, or None.
        :param until: runtime clock time until which it can wait.
        :param ahead: number of requests of the workspace that wait before it.
        :param behind: number of those that wait after it.
        """
        quota = self._find(workspace)
        if quota is None:
            return admission.ADMITTED
        views = self._bind(now)
        if not ahead and quota.take(views, now):
            return admission.ADMITTED
        if now < until:
            shares = self._views.shares.shares
            self._lending.ask(quota, shares, ahead + 1 + behind, now)
            if quota.expect_token(
                ahead, views, now
            ) <= until or self._lending.may_borrow(quota, shares, now):
                return admission.Admission(admission.Outcome.WAIT, until)
        return self._refuse(quota, now)

    def _refuse(self, quota, now):
        self._metrics.count('quota_refusals')
        if quota.record_refusal(now + self._limits.window_s):
            self._log.event(
                'workspace.limited',
                workspace=quota.name,
                rate_per_s=round(quota.grant.rate_per_s, 3),
                holders=len(self._views.shares.shares.senders),
            )
        senders = len(self._views.shares.shares.senders)
        return admission.Admission(
            admission.Outcome.REFUSED, quota.choose_return_at(senders, now)
        )

    def give_back(self, workspace, now):
        """Return the token of a request that certainly did not run.

        :param workspace: Workspace of the request, or None.
        """
        quota = self._find(workspace)
        if quota is None:
            return
        quota.allocation.filled(self._bind(now), now).add(1, now)
        self._on_tokens(quota.name)

    def on_message(self, message, now):
        """Handle a QuotaMessage of another instance."""
        quota = self._by_name.get(message.workspace)
        if message.is_request:
            views = self._bind(now)
            self._lending.answer(quota, message, views, now)
        elif quota is not None and self._lending.take_reply(
            quota, message, now
        ):
            self._on_tokens(quota.name)

    def _find(self, workspace):
        return self._by_name.get(workspace.name) if workspace else None
