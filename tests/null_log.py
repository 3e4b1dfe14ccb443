"""An event log for tests."""


class NullLog:
    """Drops all events."""

    def event(self, event, request='', **fields):
        """Drop an event."""
