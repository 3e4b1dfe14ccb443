"""The ``savorycross settings`` commands."""

from savorycross.cli import deferred
from savorycross import settings


class SettingsCommands:
    """Settings of ``savorycross serve``."""

    def check(self, **flags):
        """Check flags and environment variables; print what is in force.

        Ends with status 2 and a line for each fault.
        """
        texts = {name: str(value) for name, value in flags.items()}
        return deferred.Deferred(
            lambda: settings.load(texts).model_dump(mode='json')
        )
