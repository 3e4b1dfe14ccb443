"""Asks other instances to confirm that the configuration is the newest."""

import math
import random

import trio

from savorycross.workspace import confirmation

CHECK_INTERVAL_S = 0.2
# Time for an answer of another instance, far longer than a round trip.
ANSWER_TIMEOUT_S = 0.1
# Requests whose answer may still come; the oldest are forgotten.
MAX_PENDING = 16


class PeerConfirmer:
    """Confirms from the answers of peers, and answers their requests.

    The instance that is ranked first asks only if its own reads of the store
    fail; the others read the store only if their peers do not help.

    :param name: name of this instance.
    :param list_listed: callable that returns the names of the instances
        that callers are told to use.
    :param send: callable that takes the name of an instance and a message
        for it.
    :param freshness: Freshness.
    :param read_statement: callable that returns the Statement of this
        instance, or None if it has no configuration.
    :param read_clock: callable that returns the time for the Freshness.
    :param metrics: Registry.
    """

    def __init__(
        self,
        name,
        list_listed,
        send,
        freshness,
        read_statement,
        read_clock,
        metrics,
    ):
        self._name = name
        self._list_listed = list_listed
        self._send = send
        self._freshness = freshness
        self._read_statement = read_statement
        self._read_clock = read_clock
        self._metrics = metrics
        # An answer to a former process of this name must match no request.
        self._next_number = random.SystemRandom().getrandbits(62)
        self._sent_at = {}
        self._answered = trio.Event()

    async def run(self):
        """Ask for confirmations when they are needed until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._freshness.needs_peer(self._read_clock(), False):
                await self._ask_peers()

    async def _ask_peers(self):
        """Ask the instances ranked first, unless this one reads for them."""
        names = confirmation.rank(self._list_listed())
        is_first = names[:1] == [self._name]
        if self._freshness.needs_peer(self._read_clock(), is_first):
            others = [name for name in names if name != self._name]
            await self._ask_each(others[: confirmation.MAX_ASKED])

    async def _ask_each(self, names):
        """Ask one instance after the other, until one helps."""
        if self._read_statement() is None:
            return
        for name in names:
            self._ask(name)
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await self._answered.wait()
            if not self._freshness.needs_peer(self._read_clock(), True):
                return

    def _ask(self, name):
        self._answered = trio.Event()
        number = self._next_number
        self._next_number += 1
        while len(self._sent_at) >= MAX_PENDING:
            del self._sent_at[next(iter(self._sent_at))]
        self._sent_at[number] = self._read_clock()
        self._send(name, self._make_message(number, True))

    def on_message(self, message):
        """Answer a request, or take an answer.

        :param message: ConfirmationMessage.
        """
        if message.is_request:
            self._answer(message)
            return
        sent_at = self._sent_at.pop(message.number, None)
        if sent_at is None:
            return
        outcome = 'unconfirmed'
        own = self._read_statement()
        if message.age_ms is not None and own is not None:
            outcome = 'other_configuration'
            if own.covers(message.statement):
                outcome = 'confirmed'
                self._freshness.confirm(sent_at - message.age_ms / 1000)
        self._metrics.count('peer_confirmations', outcome=outcome)
        self._answered.set()

    def _answer(self, message):
        """Tell how old this instance's last confirmation is."""
        now = self._read_clock()
        self._freshness.note_asked(now)
        own = self._read_statement()
        age_s = self._freshness.age_s(now)
        fields = ()
        if own is not None and math.isfinite(age_s):
            age_ms = math.ceil(max(age_s, 0.0) * 1000)
            fields = (age_ms, *own.revision, own.version)
        answer = self._make_message(message.number, False, *fields)
        self._send(message.sender, answer)

    def _make_message(self, number, is_request, *fields):
        return confirmation.ConfirmationMessage(
            confirmation.FORMAT, self._name, number, is_request, *fields
        )
