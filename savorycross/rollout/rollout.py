"""The roll-out of one service, as this instance sees it.

Load pattern: requests go on while the order, the record of the writers and
the warnings of other instances arrive in any order, late or not at all. What
this instance sends depends only on the latest of them and on its own counts;
see ``exposure``.

Source of the method: leases on information that must not be stale (Gray and
Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
Cache Consistency", 1989): without a recent confirmation the new version gets
nothing.
"""

import dataclasses

from savorycross.rollout import collector
from savorycross.rollout import confirmations
from savorycross.rollout import exposure as exposures
from savorycross.rollout import losses
from savorycross.rollout import order as orders
from savorycross.rollout import timing as timings
from savorycross.rollout import versions


class Rollout:
    """What this instance knows and counts of one roll-out.

    ``order`` is the RolloutOrder or None, ``record`` the newest
    RolloutRecord or None, ``reason`` says why the new version is known to be
    bad. ``answers`` collects what targets answer,
    ``losses`` the connections that they close. ``is_witness`` tells that
    this instance saw the order being given, so that it knows its age without
    a wall clock. ``confirmations`` holds the Confirmations.

    :param service: name of the service.
    :param data_centre: this instance's data centre.
    :param share: part of the requests that the new version may get.
    :param timing: Timing.
    """

    def __init__(self, service, data_centre, share, timing=timings.Timing()):
        self.service = service
        self.order = None
        self.record = None
        self.reason = ''
        self.is_witness = False
        self.has_new = False
        self._data_centre = data_centre
        self._share = share
        self._timing = timing
        self._ordered_at = 0.0
        self._refreshed_at = 0.0
        self._versions = frozenset()
        self._restart()

    def _restart(self, debt=0):
        """Forget the answers and sends, as another roll-out begins."""
        self.reason = ''
        self.exposure = exposures.Exposure(self._share, debt)
        self.answers = collector.Collector(self._data_centre)
        self.losses = losses.LossCollector()
        self.confirmations = confirmations.Confirmations()

    @property
    def phase(self):
        """The exposure.Phase in force."""
        return self.exposure.phase

    @property
    def is_over(self):
        """Whether nothing has to be known of it any more."""
        record = self.record
        return self.order is None and (
            record is None
            or (record.is_withdrawn and record.state is orders.State.COMPLETE)
        )

    def age_s(self, now):
        """Return the seconds since the order."""
        return max(0.0, now - self._ordered_at)

    def set_order(self, order, now, is_witness, states=()):
        """Set the order, or None if it was withdrawn.

        Instances learn of an order about a second late; the sends of the
        past second stand for those that the new version got meanwhile.

        :param is_witness: whether it was given just now.
        :param states: TargetStates of all targets of the service.
        """
        if order == self.order:
            return
        self.order = order
        if order is not None:
            self._ordered_at = now
            self.is_witness = is_witness
            new = [s for s in states if self.is_new(s)]
            self._restart(sum(s.count_recent_sends(now) for s in new))

    def set_age(self, age_s, now):
        """Take the age of the order from others, unless it is known."""
        if not self.is_witness:
            self._ordered_at = now - age_s

    def set_record(self, record, now, wall_now):
        """Set the record, unless a newer one is known.

        :param wall_now: wall clock time in seconds.
        :returns: whether it is news.
        """
        known = self.record
        if known is not None and known.rank >= record.rank:
            return False
        if known is not None and known.run != record.run:
            self._restart()
        if known is None or known.run != record.run:
            self.set_age(max(0.0, wall_now - record.started_at), now)
        self.record = record
        return True

    def halt(self, reason):
        """Stop to use the new version; return whether it is news."""
        is_news = not self.reason
        self.reason = self.reason or reason
        return is_news

    def refresh(self, now, states, is_available):
        """Update the phase by the time and the known targets.

        :param states: TargetStates of all targets of the service.
        :param is_available: callable that tells whether a target may get
            work, roll-outs aside.
        :returns: whether the phase has changed.
        """
        self._versions = frozenset(s.target.version for s in states)
        self.has_new = any(self.is_new(s) and is_available(s) for s in states)
        self._refreshed_at = now
        before = self.phase
        self.exposure.set_phase(self._choose_phase(now))
        self.exposure.part = orders.MAJORITY
        if self.phase is exposures.Phase.MOVING:
            self.exposure.part = self.order.moving_part(self.age_s(now))
        for state in states:
            state.is_withheld = self.is_withheld(state.target.version)
        return self.phase is not before

    def _choose_phase(self, now):
        order, record = self.order, self.record
        if order is None:
            return exposures.Phase.OLD_ONLY
        return exposures.choose_phase(
            order,
            record,
            self.age_s(now),
            bool(self.reason),
            self.is_confirmed(now),
        )

    def is_confirmed(self, now):
        """Return whether a majority of those that decide has confirmed."""
        return self.confirmations.are_fresh(now, self._timing.confirmed_s)

    def is_settled(self, now):
        """Return whether the facts are known wherever it is confirmed."""
        return self.confirmations.have_settled(
            self.facts, now, self._timing.confirmed_s
        )

    @property
    def facts(self):
        """What others have to know of the run before it can end."""
        record = self.record
        if record is None:
            return None
        return (record.run, record.is_moving, bool(self.reason))

    def note_moving(self):
        """Note that the record says elsewhere that the move has begun."""
        if not (self.record.is_moving or self.record.state.is_final):
            self.record = dataclasses.replace(self.record, is_moving=True)

    @property
    def _to_version(self):
        """The version that the order or its withdrawn record moves to."""
        return (self.order or self.record.order).to_version

    def is_new(self, state):
        """Return whether a target has the version to move to."""
        return state.target.version == self._to_version

    def is_withheld(self, version):
        """Return whether targets of a version get nothing now."""
        return versions.is_withheld(
            version,
            self._to_version,
            versions.list_rejected(self._to_version, self.record),
            self._versions,
            self.phase,
        )

    def list_groups(self, states, is_first, now):
        """Return lists of targets; one of the first that has room is used.

        :param states: TargetStates of the targets that may get work.
        :param is_first: whether the send is the first one of its call.
        """
        states = [s for s in states if not self.is_withheld(s.target.version)]
        new = [s for s in states if self.is_new(s)]
        old = [s for s in states if not self.is_new(s)]
        rejected = versions.list_rejected(self._to_version, self.record)
        if not self._versions - {self._to_version, *rejected}:
            return (states,)
        # After a freeze of the process the phase may be out of date.
        is_fresh = now - self._refreshed_at < self._timing.refreshed_s
        is_fresh = is_fresh and self.is_confirmed(now)
        if self._may_be_over(now) and not is_fresh:
            return ([],)
        if self.phase is exposures.Phase.NEW_ONLY:
            return (new,)
        if is_fresh and self.exposure.allows_new(is_first):
            return ([s for s in new if not s.is_ejected(now)], old)
        return (old,)

    def _may_be_over(self, now):
        """Return whether other instances may have written the end."""
        order = self.order
        return (
            order is not None
            and self._is_rolling
            and self.record.is_for(order)
            and self.age_s(now) >= order.drain_at_s
        )

    def record_send(self, state, is_first):
        """Count a send to a target.

        :param state: TargetState of the target.
        :param is_first: whether it is the first send of its call.
        """
        self.exposure.record_send(self.is_new(state), is_first)

    def record_answer(self, route_name, state, seconds, has_failed, now):
        """Count an answer; those of starting targets say nothing.

        :param state: TargetState of the target.
        :param seconds: latency of the answer.
        """
        if not self._is_rolling or state.is_cold(now):
            return
        is_new = self.is_new(state)
        self.answers.add(route_name, state, is_new, seconds, has_failed)
        self.losses.add_answer(state, is_new, now - seconds)

    def record_lost(self, state, started_at, was_sent, now):
        """Count a lost connection; see ``losses``."""
        if self._is_rolling and not state.is_cold(now):
            self.losses.add_loss(
                state, self.is_new(state), started_at, was_sent, now
            )

    @property
    def _is_rolling(self):
        return self.record is not None and not self.record.state.is_final
