"""One send of a call to one target."""


class Attempt:
    """The exchange of a send; tells its fetch what became of it.

    :param fetch: Fetch that it belongs to.
    :param state: TargetState it is sent to.

    ``is_pruned`` tells that records were left out of the reply which are
    not among the greatest of all replies that came with it.
    """

    __slots__ = (
        'connection',
        'data',
        'fetch',
        'is_head',
        'is_pruned',
        'started_at',
        'state',
    )
    on_chunk = None

    def __init__(self, fetch, state, data, started_at):
        self.fetch = fetch
        self.state = state
        self.data = data
        self.started_at = started_at
        self.is_head = fetch.call.method == b'HEAD'
        self.is_pruned = False
        self.connection = None

    def send(self, max_idle_s=None):
        """Send on a connection of the target; return whether there is one.

        :param max_idle_s: see ``wire.pool.Pool.send``.
        """
        self.connection = self.state.pool.send(self, max_idle_s)
        return self.connection is not None

    @property
    def was_sent(self):
        """Whether any byte may have left for the target."""
        return self.connection is None or self.connection.was_sent

    def accepts(self, reply):
        """Tell whether a reply belongs to the call."""
        return self.fetch.accepts(reply)

    def on_reply(self, reply):
        """Take the reply."""
        self.state.end(self)
        self.fetch.on_reply(self, reply)

    def on_verdict(self, verdict, reply):
        """Take what a delegate says of the reply, and the reply if any."""
        self.state.end(self)
        self.fetch.on_verdict(self, verdict, reply)

    def on_delegate_lost(self, reason):
        """Take the end of a delegate that was to send."""
        self.state.end(self)
        self.fetch.on_delegate_lost(self, reason)

    def on_lost(self, was_sent, reason):
        """Take the end of the connection."""
        self.state.end(self)
        self.fetch.on_lost(self, was_sent, reason)

    def abandon(self):
        """Close the connection, which stops the target's work."""
        self.state.end(self)
        if self.connection is not None:
            self.connection.close()
