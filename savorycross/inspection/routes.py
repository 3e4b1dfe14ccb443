"""Checks the routes of a configuration."""

import collections

from savorycross.inspection import finding
from savorycross.route import route as routes

_ERROR = finding.Severity.ERROR
_WARNING = finding.Severity.WARNING


def check_routes(configuration):
    """Return the Findings about the routes of a Configuration.

    :param configuration: Configuration.
    """
    findings = list(_check_uniqueness(configuration))
    for route in configuration.routes:
        place = f'route {route.name!r}'
        checks = (
            _check_match(route),
            _check_services(route, configuration.services),
            _check_limits(route),
        )
        for check in checks:
            findings += (
                finding.Finding(severity, place, message)
                for severity, message in check
            )
    return findings


def _check_uniqueness(configuration):
    """Find routes that others hide, and names that stand for several."""
    names = collections.Counter(r.name for r in configuration.routes)
    for name, count in names.items():
        if count > 1:
            yield finding.Finding(
                _WARNING, f'route {name!r}', f'{count} routes have this name'
            )
    last = {(r.host, r.prefix): r for r in configuration.routes}
    for route in configuration.routes:
        other = last[route.host, route.prefix]
        if other is not route:
            yield finding.Finding(
                _ERROR,
                f'route {route.name!r}',
                f'never matches: route {other.name!r} has the same host '
                f'{route.host!r} and prefix {route.prefix!r}',
            )


def _check_match(route):
    if not route.host or ':' in route.host:
        yield (
            _ERROR,
            f'never matches: host {route.host!r} is not a name without a port',
        )
    prefix = route.prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        yield (
            _ERROR,
            f'never matches: prefix {prefix!r} must begin and end with a '
            'slash',
        )
    elif '?' in prefix or '#' in prefix:
        yield (
            _ERROR,
            f'never matches: prefix {prefix!r} holds what is no path',
        )


def _check_services(route, services):
    if not any(route.services):
        yield _ERROR, 'names no service'
        return
    for name, count in collections.Counter(route.services).items():
        if name not in services:
            yield _ERROR, f'service {name!r} is not declared'
        if count > 1:
            yield _ERROR, f'names service {name!r} {count} times'
    if route.shape is not routes.Shape.WEIGHTED:
        return
    for share in route.shares:
        if share.weight <= 0:
            yield (
                _WARNING,
                f'service {share.service!r} gets no requests: its weight is '
                f'{share.weight:g}',
            )
    if all(share.weight <= 0 for share in route.shares):
        yield _ERROR, 'no service has a weight above 0'


def _check_limits(route):
    if route.timeout_s <= 0:
        yield _ERROR, f'timeout of {route.timeout_s:g} s leaves no time'
    elif route.objective_s > route.timeout_s:
        yield (
            _WARNING,
            f'objective of {route.objective_s:g} s is longer than the timeout '
            f'of {route.timeout_s:g} s',
        )
    if route.shape is not routes.Shape.ALL:
        return
    if not route.is_idempotent:
        yield _ERROR, 'asks many services, so its requests must be idempotent'
    if route.record_limit <= 0:
        yield (
            _WARNING,
            f'answers are empty: they hold {route.record_limit} records',
        )
    if not 0.0 <= route.min_coverage <= 1.0:
        yield (
            _ERROR,
            f'coverage of {route.min_coverage:g} is not from 0 to 1',
        )
    elif 1.0 - 1.0 / len(route.services) < route.min_coverage < 1.0:
        yield (
            _WARNING,
            f'coverage of {route.min_coverage:g} needs all '
            f'{len(route.services)} services',
        )
