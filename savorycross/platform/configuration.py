"""Decodes the operators' configuration."""

import msgspec

from savorycross import decoding
from savorycross import errors
from savorycross.route import configuration
from savorycross.route import route
from savorycross.route import service
from savorycross.wire import server
from savorycross.workspace import directory
from savorycross.workspace import workspace


class _WeightedService(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    # The latency objective.
    goal_ms: float = 0.0
    attempts: decoding.Integer = 1
    priority: decoding.Integer = 0
    service: str = ''
    # Services among which requests are split by weight.
    backends: tuple[_WeightedService, ...] = ()
    # Services that all answer, each with a part: the shards of an index.
    fanout: tuple[str, ...] = ()
    top_k: decoding.Integer = 0
    min_share: float = 1.0
    public: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: decoding.Integer = 0
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: decoding.Integer = server.MAX_HEADER_BYTES
    max_body_bytes: decoding.Integer = server.MAX_BODY_BYTES
    header_ms: float = server.HEADER_TIMEOUT_S * 1000
    idle_ms: float = server.IDLE_TIMEOUT_S * 1000


class _Workspace(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: decoding.Integer = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Configuration(msgspec.Struct, frozen=True):
    version: decoding.Integer
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    # Workspaces.
    tenants: tuple[_Workspace, ...] = ()


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(data):
    """Return the Configuration that JSON describes.

    :param data: bytes.
    :raises ConfigurationInvalidError: if it is invalid; names the field.
    """
    try:
        document = decoding.decode(_decoder, data)
    except ValueError as exc:
        raise errors.ConfigurationInvalidError(str(exc)) from exc
    limits = document.limits
    return configuration.make_configuration(
        document.version,
        [_to_route(r) for r in document.routes],
        [
            service.Service(s.name, s.max_conns, s.warmup_s, s.warmup_per_s)
            for s in document.services
        ],
        server.Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_ms / 1000,
            limits.idle_ms / 1000,
        ),
        _to_directory(document.tenants),
    )


def _to_directory(rows):
    return directory.WorkspaceDirectory(
        [
            (
                workspace.Workspace(r.name, r.priority, r.rate_per_s, r.burst),
                r.api_keys,
            )
            for r in rows
        ]
    )


def _to_route(fields):
    shape, shares = _to_shares(fields)
    return route.Route(
        name=fields.name,
        host=fields.host.lower(),
        prefix=fields.prefix,
        shape=shape,
        shares=shares,
        is_idempotent=fields.kind == 'idempotent',
        timeout_s=fields.timeout_ms / 1000,
        objective_s=(fields.goal_ms or fields.timeout_ms) / 1000,
        attempts=max(fields.attempts, 1),
        priority=fields.priority,
        record_limit=fields.top_k,
        min_coverage=fields.min_share,
        is_public=fields.public,
    )


def _to_shares(fields):
    if fields.fanout:
        shares = tuple(route.Share(name, 1.0) for name in fields.fanout)
        return route.Shape.ALL, shares
    if fields.backends:
        shares = tuple(
            route.Share(s.service, s.weight) for s in fields.backends
        )
        return route.Shape.WEIGHTED, shares
    return route.Shape.ONE, (route.Share(fields.service, 1.0),)
