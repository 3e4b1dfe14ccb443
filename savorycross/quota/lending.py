"""Asks other instances for tokens of workspaces, and answers them."""

from savorycross.quota import protocol
from savorycross.rate import bucket

# Requests for tokens in vain that an instance sends for all workspaces, which
# bounds the control traffic while many of them exceed their quotas.
ASKS_PER_S = 40.0
ASKS_BURST = 80.0


class Lending:
    """The messages of this instance about tokens.

    :param own_name: name of this instance.
    :param send: callable that takes the name of an instance and a
        QuotaMessage; it may lose it.
    :param rng: random.Random.
    :param metrics: metrics.registry.Registry.
    :param now: runtime clock time in seconds.
    """

    def __init__(self, own_name, send, rng, metrics, now):
        self._own_name = own_name
        self._send = send
        self._rng = rng
        self._metrics = metrics
        self._asks = bucket.TokenBucket(now)
        self._asks.set_rate(ASKS_PER_S, ASKS_BURST, now)
        self._asks.add(ASKS_BURST, now)

    def may_borrow(self, quota, shares, now):
        """Return whether another instance may lend a token.

        :param quota: WorkspaceQuota.
        :param shares: LimitShares in force.
        """
        asking = quota.allocation.borrowing
        if asking.is_paused(now):
            return False
        if not asking.is_waiting(now) and not self._asks.count(now):
            return False
        return bool(quota.list_lenders(shares))

    def ask(self, quota, shares, wanted, now):
        """Ask an instance for tokens, unless a reply is due or all have none.

        :param wanted: number of tokens that are of use.
        """
        if not self._asks.count(now):
            return
        wanted = min(wanted, protocol.MAX_TOKENS)
        lenders = quota.list_lenders(shares)
        quota.limit_pause(len(lenders) + 1)
        lender = quota.allocation.borrowing.choose(
            lenders, self._rng, now, wanted
        )
        if lender is not None:
            self._asks.take(now)
            self._send_tokens(lender, quota.name, wanted, is_request=True)

    def answer(self, quota, message, views, now):
        """Lend tokens to the sender of a request, or none.

        :param quota: WorkspaceQuota, or None if the workspace has no quota
            here.
        :param views: see ``rate.allocation.Allocation``.
        """
        lent = 0
        if quota is not None:
            lent = quota.allocation.lend(message.tokens, views, now)
        self._send_tokens(message.sender, message.workspace, lent)

    def take_reply(self, quota, message, now):
        """Use the tokens of a reply; return whether it was due."""
        asking = quota.allocation.borrowing
        # Tokens of a late reply are not used, as the lender has refilled.
        tokens = message.tokens if asking.is_waiting(now) else 0
        if not asking.record_reply(message.sender, tokens, now):
            return False
        if tokens:
            self._metrics.count('quota_tokens_borrowed', tokens)
            quota.allocation.borrow(tokens, now)
            self._asks.add(1, now)
        return True

    def _send_tokens(self, name, workspace, tokens, is_request=False):
        message = protocol.QuotaMessage(
            protocol.FORMAT, self._own_name, is_request, workspace, tokens
        )
        self._metrics.count('quota_messages')
        self._send(name, message)
