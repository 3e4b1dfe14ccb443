"""Reads the settings file of the platform."""

import os
import tomllib

import msgspec

from savorycross import errors
from savorycross.gateway import instance_settings
from savorycross import host_port

PATH_VARIABLE = 'SAVORYCROSS_SETTINGS'


class _Bounds(msgspec.Struct, frozen=True):
    # Time without disruption after which time bounds hold.
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


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str
    directory: str


class _Platform(msgspec.Struct, frozen=True):
    addr: str


class _Settings(msgspec.Struct, frozen=True):
    node: str
    ip: str
    # The wire's zone is a data centre.
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Platform
    bounds: _Bounds = _Bounds()
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False


def read_site(metrics_port, path=None):
    """Return the InstanceSettings in a settings file.

    :param metrics_port: TCP port on which metrics are served.
    :param path: the file; by default the one that the environment names.
    :raises SettingsError: naming the field that is missing or wrong.
    """
    path = path or os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise errors.SettingsError(f'{PATH_VARIABLE} names no file')
    try:
        with open(path, 'rb') as file:
            found = msgspec.convert(tomllib.load(file), _Settings)
    except (OSError, ValueError) as exc:
        # Errors of tomllib and msgspec are value errors.
        raise errors.SettingsError(f'{path}: {exc}') from exc
    return _to_site(found, metrics_port)


def _to_site(found, metrics_port):
    bounds = found.bounds
    return instance_settings.InstanceSettings(
        name=found.node,
        data_centre=found.zone,
        caller_address=_split(found.listen.front),
        ready_address=_split(found.listen.ready),
        directory_address=_split(found.listen.directory),
        peer_address=(found.ip, found.internal_ports[0]),
        metrics_address=(found.ip, metrics_port),
        store_address=_split(found.platform.addr),
        seeds=tuple(
            (_split(seed)[0], found.internal_ports[0]) for seed in found.seeds
        ),
        is_first_start=found.bootstrap,
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
    )


def _split(text):
    """Return the host and port in a text.

    :raises SettingsError: if it is no IP address with a port.
    """
    try:
        return host_port.split(text)
    except ValueError as exc:
        raise errors.SettingsError(f'address {text!r}: {exc}') from exc
