"""Settings of an instance, from flags and environment variables."""

import ipaddress
import typing

import pydantic
import pydantic_settings

from savorycross import errors
from savorycross import host_port

PREFIX = 'SAVORYCROSS_'


def _check_host(text):
    ipaddress.ip_address(text)
    return text


def _check_address(text):
    host_port.split(text)
    return text


def _check_addresses(text):
    for part in text.split(','):
        if part:
            host_port.split(part)
    return text


Host = typing.Annotated[str, pydantic.AfterValidator(_check_host)]
Address = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
Addresses = typing.Annotated[str, pydantic.AfterValidator(_check_addresses)]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]


class Settings(pydantic_settings.BaseSettings):
    """Settings of ``savorycross serve``; each is a flag as well."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=PREFIX, extra='forbid', frozen=True
    )

    name: str = pydantic.Field(
        pattern=r'^[A-Za-z0-9._-]{1,64}$',
        description='Name of the instance, unique and kept over restarts.',
    )
    data_centre: str = pydantic.Field(
        min_length=1,
        max_length=100,
        description='Data centre that the instance runs in.',
    )
    host: Host = pydantic.Field(
        default='127.0.0.1',
        description='IP address to listen on and to tell others.',
    )
    http_port: Port = pydantic.Field(
        description='TCP port for callers and operators.'
    )
    peer_port: Port = pydantic.Field(
        description='TCP and UDP port for other instances.'
    )
    platform: Address = pydantic.Field(
        description="Address of the platform's key-value service."
    )
    seeds: Addresses = pydantic.Field(
        default='',
        description=(
            'Peer addresses of other instances, separated by commas, to '
            'ask at start while the platform does not answer.'
        ),
    )
    keep_s: float = pydantic.Field(
        default=5.0,
        ge=0.5,
        le=300.0,
        description='Seconds for which callers may keep the entry answer.',
    )
    stop_timeout_s: float = pydantic.Field(
        default=60.0,
        ge=1.0,
        le=3600.0,
        description='Seconds after which a planned stop ends requests.',
    )
    hedging: typing.Literal['quantile', 'none'] = pydantic.Field(
        default='quantile',
        description='Whether slow replicas are hedged.',
    )
    extra_load: float = pydantic.Field(
        default=0.05,
        ge=0.0,
        le=1.0,
        description='Hedges and retries as a ratio of first sends.',
    )
    log_format: typing.Literal['text', 'json'] = pydantic.Field(
        default='text', description='Form of the log lines.'
    )
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = (
        pydantic.Field(default='info', description='Least level logged.')
    )


def load(flags):
    """Return the Settings from flags and the environment.

    :param flags: map of setting name to value; flags go first.
    :raises SettingsError: with one line for each fault.
    """
    try:
        return Settings(**flags)
    except pydantic.ValidationError as exc:
        faults = [_describe(f) for f in exc.errors()]
        raise errors.SettingsError(
            f'{len(faults)} invalid settings', details=faults
        ) from exc


def _describe(fault):
    name = '.'.join(map(str, fault['loc'])) or 'settings'
    if fault['type'] == 'extra_forbidden':
        known = ', '.join(Settings.model_fields)
        return f'{name}: no such setting; there are: {known}'
    if fault['type'] == 'missing':
        return f'{name}: not given (flag --{name} or {PREFIX}{name.upper()})'
    return f'{name}: {fault["input"]!r}: {fault["msg"]}'
