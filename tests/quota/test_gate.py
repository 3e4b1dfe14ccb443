"""Tests of quotas in the gateway."""

import dataclasses
import random

from savorycross.gateway import gateway
from savorycross.overload import shares
from savorycross.quota import division
from savorycross.quota import protocol
from savorycross.quota import quotas
from savorycross.route import configuration
from savorycross.wire import server
from savorycross.workspace import directory
from savorycross.workspace import workspace
from tests.forward import fake_engine
from tests import recording_log

ONE = workspace.Workspace('w', 0, 1.0, 1.0)
# One of them holds the whole quota, which is another instance than the tested
# one.
BORROWERS = ('entry-1', 'entry-2')


class Entry:
    """A gateway whose workspace may make one request, and its replies."""

    def __init__(self, names=('entry-1',)):
        self.engine = fake_engine.FakeEngine()
        self.log = recording_log.RecordingLog()
        self.messages = []
        self.replies = []
        self.quotas = quotas.Quotas(
            'entry-1',
            False,
            None,
            lambda name, message: self.messages.append((name, message)),
            random.Random(1),
            self.log,
            self.engine.metrics,
            self.engine.time,
        )
        holders = shares.LimitShares('entry-1', frozenset(names))
        self.quotas.set_view(division.HolderView(holders), self.engine.time)
        self.gateway = gateway.Gateway(self.engine, quotas=self.quotas)
        self.route = fake_engine.make_route(('s',))
        self.gateway.adopt(
            configuration.make_configuration(
                1,
                [self.route],
                [],
                server.Limits(),
                directory.WorkspaceDirectory([(ONE, ['key'])]),
            )
        )

    def call(self):
        """Handle a call of the workspace; return its operation."""
        call = dataclasses.replace(
            fake_engine.make_call(self.engine.time), workspace=ONE
        )
        return self.gateway._enter(call, self.route, self.replies.append)

    def lend(self, tokens):
        """Let the instance that was asked last reply."""
        name, _ = self.messages[-1]
        reply = protocol.QuotaMessage(
            protocol.FORMAT, name, False, 'w', tokens
        )
        self.quotas.on_message(reply, self.engine.time)


def test_request_beyond_the_quota_is_refused_with_a_time_to_return():
    entry = Entry()
    entry.engine.add_target('t', 's')
    entry.call()
    entry.call()
    (refusal,) = entry.replies
    assert refusal.status == 429
    assert float(refusal.header(b'retry-after')) >= 0.9
    assert len(entry.engine.sends) == 1


# Guards against quotas that are used up by requests which never ran.
def test_request_that_was_refused_without_a_run_gives_its_token_back():
    entry = Entry()
    entry.gateway.plan_end(entry.engine.time, entry.engine.time)
    for _ in range(3):
        entry.call()
    assert [r.status for r in entry.replies] == [503] * 3


def test_request_waits_for_a_borrowed_token():
    entry = Entry(BORROWERS)
    entry.engine.add_target('t', 's')
    entry.call()
    assert not entry.engine.sends
    entry.lend(1)
    assert len(entry.engine.sends) == 1


# Guards against waits that take the time that the answer needs.
def test_request_is_refused_once_a_fifth_of_its_objective_has_passed():
    entry = Entry(BORROWERS)
    entry.call()
    entry.engine.advance(0.19 * entry.route.objective_s)
    assert not entry.replies
    entry.engine.advance(0.011 * entry.route.objective_s)
    assert [r.status for r in entry.replies] == [429]


def test_caller_that_leaves_while_its_request_waits_takes_no_token():
    entry = Entry(BORROWERS)
    entry.engine.add_target('t', 's')
    entry.call().cancel()
    entry.lend(1)
    assert not entry.engine.sends


def test_one_line_tells_that_a_workspace_begins_and_ends_to_be_limited():
    entry = Entry()
    entry.engine.add_target('t', 's')
    for _ in range(4):
        entry.call()
    assert len(entry.log.fields('workspace.limited')) == 1
    entry.quotas.maintain(entry.engine.time)
    assert not entry.log.fields('workspace.freed')
    entry.quotas.maintain(entry.engine.time + 5.0)
    assert len(entry.log.fields('workspace.freed')) == 1
