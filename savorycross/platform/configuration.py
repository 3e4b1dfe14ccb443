"""Reads the operators' configuration."""

import msgspec

from savorycross import errors
from savorycross.route import configuration
from savorycross.route import route
from savorycross.route import service
from savorycross.wire import server


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    # The wire's goal is the latency objective.
    goal_ms: float = 0.0
    attempts: int = 1
    priority: int = 0
    service: str = ''
    # On a route, backends are services with weights.
    backends: tuple[_Split, ...] = ()
    # Services that all answer: the shards of an index.
    fanout: tuple[str, ...] = ()
    top_k: int = 0
    min_share: float = 1.0


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: int = 0
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = server.MAX_HEADER_BYTES
    max_body_bytes: int = server.MAX_BODY_BYTES
    header_ms: float = server.HEADER_TIMEOUT_S * 1000
    idle_ms: float = server.IDLE_TIMEOUT_S * 1000


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(data):
    """Return the Configuration in bytes.

    :raises ConfigurationInvalidError: naming the field.
    """
    try:
        found = _decoder.decode(data)
    except ValueError as exc:
        raise errors.ConfigurationInvalidError(str(exc)) from exc
    limits = found.limits
    return configuration.make_configuration(
        found.version,
        [_to_route(r) for r in found.routes],
        [
            service.Service(s.name, s.max_conns, s.warmup_s, s.warmup_per_s)
            for s in found.services
        ],
        server.Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_ms / 1000,
            limits.idle_ms / 1000,
        ),
    )


def _to_route(found):
    shape, shares = _to_shares(found)
    return route.Route(
        name=found.name,
        host=found.host.lower(),
        prefix=found.prefix,
        shape=shape,
        shares=shares,
        is_idempotent=found.kind == 'idempotent',
        timeout_s=found.timeout_ms / 1000,
        objective_s=(found.goal_ms or found.timeout_ms) / 1000,
        attempts=max(found.attempts, 1),
        priority=found.priority,
        record_limit=found.top_k,
        min_coverage=found.min_share,
    )


def _to_shares(found):
    if found.fanout:
        shares = tuple(route.Share(name, 1.0) for name in found.fanout)
        return route.Shape.ALL, shares
    if found.backends:
        shares = tuple(
            route.Share(s.service, s.weight) for s in found.backends
        )
        return route.Shape.WEIGHTED, shares
    return route.Shape.ONE, (route.Share(found.service, 1.0),)
