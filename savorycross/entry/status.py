"""The status report of an instance, for operators."""

import msgspec

from savorycross.catalogue import state


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as its owner sees it.

    :param phase: whether the target's caches are known to be warm or cold.
    :param limit: largest number of attempts in flight at the target.
    :param why: why the target gets little or no work; empty if it gets work.
    """

    name: str
    replica_set: str
    state: str
    phase: str
    limit: int
    in_flight: int
    latency_ms: float
    why: str


class PeerStatus(msgspec.Struct, frozen=True):
    """Another instance as this one sees it.

    :param status: state that the failure detector gives the peer.
    """

    name: str
    status: str
    view_epoch: int
    config_version: int
    leaving: bool


class InstanceStatus(msgspec.Struct, frozen=True):
    """The body of ``GET /v1/status``.

    :param not_ready: why the instance is not ready; empty if it is ready.
    :param members: names of the members of the adopted view.
    :param first_sends: number of first attempts at targets.
    :param extra_sends: number of retries and hedges.
    """

    name: str
    data_centre: str
    incarnation: int
    not_ready: str
    view_epoch: int
    members: list[str]
    config_version: int
    config_author: str
    config_digest: str
    store_up: bool
    peers: list[PeerStatus]
    targets: list[TargetStatus]
    first_sends: int
    extra_sends: int


def make_status(instance):
    """Return the InstanceStatus of an instance."""
    group = instance.group
    catalogue = instance.catalogue
    return InstanceStatus(
        name=instance.own.name,
        data_centre=instance.own.data_centre,
        incarnation=instance.own.incarnation,
        not_ready=instance.not_ready_reason() or '',
        view_epoch=group.view.epoch,
        members=[m.name for m in group.view.members],
        config_version=catalogue.version,
        config_author=catalogue.author,
        config_digest=catalogue.digest,
        store_up=group.is_store_up,
        peers=[_make_peer_status(p) for p in group.detector.peers()],
        targets=_make_target_statuses(instance),
        first_sends=instance.relay.extra_budget.first_sends,
        extra_sends=instance.relay.extra_budget.extra_sends,
    )


def _make_peer_status(peer):
    return PeerStatus(
        name=peer.member.name,
        status=str(peer.status),
        view_epoch=peer.view_epoch,
        config_version=peer.config_version,
        leaving=peer.leaving,
    )


def _make_target_statuses(instance):
    owned = instance.current_assignment().owned
    return [
        _make_target_status(dispatcher.name, replica)
        for dispatcher in instance.relay.dispatchers()
        if dispatcher.name in owned
        for replica in dispatcher.replicas.values()
    ]


def _make_target_status(replica_set, replica):
    limiter = replica.limiter
    return TargetStatus(
        name=replica.name,
        replica_set=replica_set,
        state=str(replica.state),
        phase=str(limiter.phase),
        limit=limiter.limit,
        in_flight=limiter.in_flight,
        latency_ms=round((replica.latency.value or 0.0) * 1000, 2),
        why=_explain_no_work(replica),
    )


def _explain_no_work(replica):
    """Return why a target gets little or no work, or an empty text."""

    if replica.state is not state.State.OPEN:
        return f'declared or listed as {replica.state}'
    if replica.draining:
        return 'the target itself is draining'
    if not replica.stated_holdings:
        return 'the target has not stated what it holds'
    if not replica.limiter.is_warm:
        return 'in a cold start: little work until it answers as warm'
    return ''
