"""Checks the workspaces and services of a configuration."""

import collections

from savorycross.inspection import finding

_ERROR = finding.Severity.ERROR
_WARNING = finding.Severity.WARNING


def check_workspaces(configuration):
    """Return the Findings about the workspaces of a Configuration.

    No finding shows a key.

    :param configuration: Configuration.
    """
    directory = configuration.workspaces
    findings = []

    def add(severity, name, message):
        place = f'workspace {name!r}'
        findings.append(finding.Finding(severity, place, message))

    names = collections.Counter(w.name for w in directory.workspaces)
    for name, count in names.items():
        if count > 1:
            add(_ERROR, name, f'{count} workspaces have this name')
    for name, holder in directory.conflicts:
        add(_ERROR, name, f'has a key that workspace {holder!r} holds')
    for workspace in directory.workspaces:
        if not directory.count_keys(workspace):
            add(_WARNING, workspace.name, 'has no keys, so nobody can use it')
        if workspace.rate_per_s < 0 or workspace.burst < 0:
            add(
                _ERROR,
                workspace.name,
                f'rate {workspace.rate_per_s:g} and burst '
                f'{workspace.burst:g} must not be negative',
            )
        elif workspace.burst and not workspace.has_quota:
            add(
                _WARNING,
                workspace.name,
                f'burst of {workspace.burst:g} without a rate limits nothing',
            )
    return findings


def check_use(configuration):
    """Return the Findings about services that no route names.

    :param configuration: Configuration.
    """
    used = {s for r in configuration.routes for s in r.services}
    return [
        finding.Finding(
            _WARNING, f'service {name!r}', 'no route sends requests to it'
        )
        for name in configuration.services
        if name not in used
    ]
