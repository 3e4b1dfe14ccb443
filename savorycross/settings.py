"""Settings of an instance, read from flags and environment variables."""

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
    """Settings of ``savorycross serve``.

    Each is a flag ``--name`` and an environment variable ``SAVORYCROSS_NAME``.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=PREFIX, extra='forbid', frozen=True
    )

    name: str = pydantic.Field(
        pattern=r'^[A-Za-z0-9._-]{1,64}$',
        description=(
            'Unique name of the instance, the same after each restart.'
        ),
    )
    data_centre: str = pydantic.Field(
        min_length=1,
        max_length=100,
        description='Data centre that the instance runs in.',
    )
    host: Host = pydantic.Field(
        default='127.0.0.1',
        description=(
            'IP address to listen on and to announce to callers and peers.'
        ),
    )
    http_port: Port = pydantic.Field(
        description='TCP port for requests of callers and operators.'
    )
    peer_port: Port = pydantic.Field(
        description='TCP and UDP port for messages of other instances.'
    )
    platform: Address = pydantic.Field(
        description="Address of the platform's key-value service."
    )
    seeds: Addresses = pydantic.Field(
        default='',
        description=(
            'Peer addresses of other instances, separated by commas, to '
            'contact at start if the platform does not answer.'
        ),
    )
    keep_s: float = pydantic.Field(
        default=5.0,
        ge=0.5,
        le=300.0,
        description='Seconds for which callers may cache the list of entries.',
    )
    stop_timeout_s: float = pydantic.Field(
        default=60.0,
        ge=1.0,
        le=3600.0,
        description=(
            'Seconds after which a planned stop cancels running requests.'
        ),
    )
    hedging: typing.Literal['quantile', 'none'] = pydantic.Field(
        default='quantile',
        description=(
            'When a request to a slow replica is hedged: after a latency '
            'percentile, or never.'
        ),
    )
    extra_load: float = pydantic.Field(
        default=0.05,
        ge=0.0,
        le=1.0,
        description='Maximum ratio of hedges and retries to first sends.',
    )
    log_format: typing.Literal['text', 'json'] = pydantic.Field(
        default='text', description='Format of the log lines.'
    )
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = (
        pydantic.Field(
            default='info', description='Lowest level that is logged.'
        )
    )


def load(flags):
    """Return the Settings from flags and the environment.

    :param flags: dict of values by setting name; they take precedence over
        environment variables.
    :raises SettingsError: with one detail line for each invalid setting.
    """
    try:
        return Settings(**flags)
    except pydantic.ValidationError as exc:
        details = [_describe(e) for e in exc.errors()]
        raise errors.SettingsError(
            f'{len(details)} invalid settings', details=details
        ) from exc


def _describe(error):
    """Return one line about an error that pydantic reports."""
    name = '.'.join(map(str, error['loc'])) or 'settings'
    if error['type'] == 'extra_forbidden':
        setting_names = ', '.join(Settings.model_fields)
        return f'{name}: no such setting; valid names: {setting_names}'
    if error['type'] == 'missing':
        return f'{name}: not given (flag --{name} or {PREFIX}{name.upper()})'
    return f'{name}: {error["input"]!r}: {error["msg"]}'
