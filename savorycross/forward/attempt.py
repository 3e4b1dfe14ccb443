"""One send of a call to one target."""


class Attempt:
    """The exchange of a send; tells its fetch what became of it.

    :param fetch: Fetch that it belongs to.
    :param state: TargetState it is sent to.
    """

    __slots__ = (
        'connection',
        'data',
        'fetch',
        'is_head',
        'started_at',
        'state',
    )

    def __init__(self, fetch, state, data, started_at):
        self.fetch = fetch
        self.state = state
        self.data = data
        self.started_at = started_at
        self.is_head = fetch.call.method == b'HEAD'
        self.connection = None

    def accepts(self, reply):
        """Tell whether a reply belongs to the call."""
        return self.fetch.accepts(reply)

    def on_reply(self, reply):
        """Take the reply."""
        self.state.end(self)
        self.fetch.on_reply(self, reply)

    def on_lost(self, was_sent, reason):
        """Take the end of the connection."""
        self.state.end(self)
        self.fetch.on_lost(self, was_sent, reason)

    def abandon(self):
        """Close the connection, which stops the target's work."""
        self.state.end(self)
        if self.connection is not None:
            self.connection.close()
