"""The ``savorycross configuration`` commands."""

import dataclasses
import pathlib

from savorycross.cli import deferred
from savorycross import errors
from savorycross.inspection import difference
from savorycross.inspection import finding
from savorycross.inspection import routes
from savorycross.inspection import workspaces
from savorycross.platform import adapter


class ConfigurationCommands:
    """Check a configuration of the users' platform before it is sent."""

    def check(self, file, in_force=None):
        """Check a configuration and show what it would change.

        With errors it prints a line for each and exits with status 1.

        :param file: path of the configuration.
        :param in_force: path of the configuration in force.
        """
        return deferred.Deferred(lambda: _check(str(file), in_force))


def _check(file, in_force):
    """Return the warnings and changes as a dictionary.

    :raises ConfigurationInvalidError: if there are errors.
    """
    new = _read(file)
    findings = [
        *routes.check_routes(new),
        *workspaces.check_workspaces(new),
        *workspaces.check_use(new),
    ]
    changes = []
    if in_force is not None:
        old = _read(str(in_force))
        changes = difference.compare(old, new)
        if new.version <= old.version:
            findings.append(
                finding.Finding(
                    finding.Severity.ERROR,
                    'version',
                    f'{new.version} is not above {old.version}, which is in '
                    'force',
                )
            )
    is_error = [f.severity is finding.Severity.ERROR for f in findings]
    if any(is_error):
        raise errors.ConfigurationInvalidError(
            f'{file}: {sum(is_error)} errors',
            details=[
                f'{f.severity}: {f.place}: {f.message}' for f in findings
            ],
        )
    return {
        'version': new.version,
        'warnings': [f'{f.place}: {f.message}' for f in findings],
        'changes': [dataclasses.asdict(c) for c in changes],
    }


def _read(file):
    """Return the Configuration in a file.

    :raises UsageError: if it cannot be read.
    :raises ConfigurationInvalidError: if it is no configuration.
    """
    try:
        data = pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise errors.UsageError(f'{file}: {exc.strerror}') from exc
    try:
        return adapter.decode_configuration(data)
    except errors.ConfigurationInvalidError as exc:
        raise errors.ConfigurationInvalidError(
            f'{file}: {exc.message}'
        ) from exc
