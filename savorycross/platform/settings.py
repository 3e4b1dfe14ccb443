"""Reads an instance's settings from the platform's settings file."""

import math
import os
import tomllib
import typing

import msgspec

from savorycross import decoding
from savorycross import errors
from savorycross.gateway import instance_settings
from savorycross import host_port

PATH_VARIABLE = 'SAVORYCROSS_SETTINGS'
BYTES_PER_MB = 1_000_000
BYTES_PER_MBIT = 125_000


class _Bounds(msgspec.Struct, frozen=True):
    # Time after a disruption from which the bounds on times apply again.
    contact_ms: float = 4000
    drain_ms: float = 3000
    apply_ms: float = 3000
    evac_ms: float = 5000.0
    grace_s: float = 6.0
    ttl_max_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    strict_revoke: bool = False
    revoke_ms: float = 5000.0
    quota_window_s: float | None = None
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    # Bounds of roll-outs.
    canary_share: float | None = None
    canary_slack: float = 0.0
    rollback_ms: float = 5000.0


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str
    directory: str


class _Limits(msgspec.Struct, frozen=True):
    # Part of the cores that the process may use.
    cpu_share: float = 0.0
    cores: float = 0.0
    memory_mb: float | None = None
    max_fds: decoding.Integer = 0
    link_mbps: float = 0.0
    # Microseconds of latency that a byte to another data centre is worth.
    link_byte_us: typing.Annotated[float, msgspec.Meta(ge=0)] = 1.0


class _Platform(msgspec.Struct, frozen=True):
    addr: str


class _Settings(msgspec.Struct, frozen=True):
    node: str
    ip: str
    # The data centre.
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Platform
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False


def read_settings(metrics_port, path=None):
    """Return the InstanceSettings in a settings file.

    :param metrics_port: TCP port on which metrics are served.
    :param path: path of the file; by default that in the environment
        variable PATH_VARIABLE.
    :raises SettingsError: if the file is missing or invalid; names the
        field.
    """
    path = path or os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise errors.SettingsError(f'{PATH_VARIABLE} names no file')
    try:
        with open(path, 'rb') as file:
            document = msgspec.convert(tomllib.load(file), _Settings)
    except (OSError, ValueError, RecursionError) as exc:
        # The errors of tomllib and msgspec are subclasses of ValueError.
        raise errors.SettingsError(f'{path}: {exc}') from exc
    return _to_instance_settings(document, metrics_port)


def _to_instance_settings(document, metrics_port):
    bounds = document.bounds
    limits = document.limits
    memory_bytes = instance_settings.MEMORY_BYTES
    if limits.memory_mb is not None and 0 < limits.memory_mb < math.inf:
        memory_bytes = int(limits.memory_mb * BYTES_PER_MB)
    return instance_settings.InstanceSettings(
        name=document.node,
        data_centre=document.zone,
        caller_address=_parse_address(document.listen.front),
        ready_address=_parse_address(document.listen.ready),
        directory_address=_parse_address(document.listen.directory),
        peer_address=(document.ip, document.internal_ports[0]),
        rate_address=(document.ip, document.internal_ports[1]),
        metrics_address=(document.ip, metrics_port),
        store_address=_parse_address(document.platform.addr),
        seeds=tuple(
            (_parse_address(seed)[0], document.internal_ports[0])
            for seed in document.seeds
        ),
        is_first_start=document.bootstrap,
        grace_s=bounds.grace_s,
        recovery_s=bounds.contact_ms / 1000,
        apply_s=bounds.apply_ms / 1000,
        drain_s=bounds.drain_ms / 1000,
        evacuate_s=bounds.evac_ms / 1000,
        max_directory_ttl_s=bounds.ttl_max_s,
        extra_send_limits=instance_settings.ExtraSendLimits(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        ),
        cold_send_limits=instance_settings.ColdSendLimits(
            bounds.cold_overage, bounds.cold_slack
        ),
        memory_bytes=memory_bytes,
        capacity=instance_settings.MachineCapacity(
            limits.cpu_share * limits.cores,
            memory_bytes,
            limits.max_fds,
            limits.link_mbps * BYTES_PER_MBIT,
        ),
        link_byte_s=limits.link_byte_us / 1e6,
        revocation_s=(
            bounds.revoke_ms / 1000 if bounds.strict_revoke else None
        ),
        quota_limits=_to_quota_limits(bounds),
        rollout_limits=_to_rollout_limits(bounds),
    )


def _to_quota_limits(bounds):
    if bounds.quota_window_s is None:
        return None
    return instance_settings.QuotaLimits(
        bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
    )


def _to_rollout_limits(bounds):
    if bounds.canary_share is None:
        return None
    return instance_settings.RolloutLimits(
        bounds.canary_share, bounds.canary_slack, bounds.rollback_ms / 1000
    )


def _parse_address(text):
    """Return the host and port that a text such as ``10.0.0.1:80`` names.

    :raises SettingsError: if the text is no IP address with a port.
    """
    try:
        return host_port.split(text)
    except ValueError as exc:
        raise errors.SettingsError(f'address {text!r}: {exc}') from exc
