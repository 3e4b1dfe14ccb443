"""An event log that keeps its events, for tests."""


class RecordingLog:
    """An event log that keeps names and fields of all events."""

    def __init__(self):
        self.events = []

    def event(self, event, request='', detail=None, **fields):
        """Keep an event."""
        self.events.append((event, fields))

    def fields(self, name):
        """Return the fields of each event of a name."""
        return [fields for event, fields in self.events if event == name]
