"""An event log that discards its events, for tests."""


class NullLog:
    """An event log that discards all events."""

    def event(self, event, request='', detail=None, **fields):
        """Discard an event."""
