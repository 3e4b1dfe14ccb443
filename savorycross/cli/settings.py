"""The ``savorycross settings`` commands."""

from savorycross.cli import deferred
from savorycross import settings


class SettingsCommands:
    """Settings of ``savorycross serve``."""

    def check(self, **flags):
        """Check flags and environment variables and print the settings.

        If any are invalid, it prints a line for each and exits with status 2.
        """
        texts = {name: str(value) for name, value in flags.items()}
        return deferred.Deferred(
            lambda: settings.load(texts).model_dump(mode='json')
        )
