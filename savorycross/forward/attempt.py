"""One send of a call to one target."""

import enum


class SendKind(enum.Enum):
    """Why a call is sent; DELEGATED sends are made for another instance."""

    FIRST = 'first'
    RETRY = 'retry'
    HEDGE = 'hedge'
    DELEGATED = 'delegated'


class Attempt:
    """A send as an exchange; reports its result to the fetch.

    ``is_paid`` tells that the send was counted toward the rate that the target
    states, and ``is_pruned`` that the reply lacks those records that are not
    among the greatest of all replies in the same message of a delegate.

    :param fetch: Fetch that the send belongs to.
    :param state: TargetState of the target.
    :param data: request as bytes.
    :param started_at: runtime clock time of the send in seconds.
    """

    __slots__ = (
        'connection',
        'data',
        'fetch',
        'is_head',
        'is_paid',
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
        self.is_paid = False
        self.is_pruned = False
        self.connection = None

    def send(self, max_idle_s=None, avoided=()):
        """Send the request on a connection of the target's pool.

        :param max_idle_s: see ``wire.pool.Pool.send``.
        :param avoided: see ``wire.pool.Pool.send``.
        :returns: whether a connection was available.
        """
        self.connection = self.state.pool.send(self, max_idle_s, avoided)
        return self.connection is not None

    @property
    def was_sent(self):
        """Whether any byte may have been sent to the target."""
        return self.connection is None or self.connection.was_sent

    def accepts(self, reply):
        """Return whether a reply has the identity of the call."""
        return self.fetch.accepts(reply)

    def on_reply(self, reply):
        """Handle the target's reply."""
        self.state.remove_outstanding(self)
        self.fetch.on_reply(self, reply)

    def on_verdict(self, verdict, reply):
        """Handle a reply that came through a delegate.

        :param verdict: Verdict on the reply.
        :param reply: Reply, or None if it is no answer.
        """
        self.state.remove_outstanding(self)
        self.fetch.on_verdict(self, verdict, reply)

    def on_delegate_lost(self, reason):
        """Handle the loss of the delegate that was asked to send."""
        self.state.remove_outstanding(self)
        self.fetch.on_delegate_lost(self, reason)

    def on_lost(self, was_sent, reason):
        """Handle the loss of the connection before its reply.

        :param was_sent: whether any byte of the request may have left.
        :param reason: reason of the loss, for logs and metrics.
        """
        self.state.remove_outstanding(self)
        self.fetch.on_lost(self, was_sent, reason)

    def abandon(self):
        """Close the connection, which stops the target's work."""
        self.state.remove_outstanding(self)
        if self.connection is not None:
            self.connection.close()
