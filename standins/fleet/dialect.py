"""The headers that modelled callers and targets use."""

import dataclasses

from savorycross.forward import call as calls
from savorycross.wire import messages
from savorycross.workspace import workspace as workspaces

HOST = 'fleet'
ID = b'id'
DEADLINE = b'deadline'
OUTCOME = b'outcome'
RETRY_AFTER = b'retry-after'
PARTS = b'parts'
WORKSPACE = b'workspace'
RATE_LIMIT = b'rate-limit'


class ModelDialect:
    """Implements ``forward.call.Dialect`` for the model of a fleet."""

    def make_request(self, id_, path, remaining_s, received_at, workspace=''):
        """Return a caller's Request.

        :param id_: identity of the try, as bytes.
        :param path: path of the kind, as bytes.
        :param remaining_s: seconds that the caller waits.
        :param workspace: name of the caller's workspace, or an empty text.
        """
        headers = ((ID, id_), (DEADLINE, b'%.6f' % remaining_s))
        if workspace:
            headers = (*headers, (WORKSPACE, workspace.encode()))
        return messages.Request(b'GET', path, headers, received_at=received_at)

    def read_call(self, request, has_workspaces=False):
        """Return the Call that a Request makes."""
        name = request.header(WORKSPACE)
        return calls.Call(
            id=request.header(ID),
            host=HOST,
            path=request.target.decode(),
            method=request.method,
            target=request.target,
            headers=(),
            body=b'',
            caller_timeout_s=float(request.header(DEADLINE)),
            received_at=request.received_at,
            workspace=name and workspaces.Workspace(name.decode()),
        )

    def read_key(self, request):
        """Return None, as callers of the model have no workspaces."""
        return None

    def assign(self, call, workspace):
        """Return the Call with a workspace."""
        return dataclasses.replace(call, workspace=workspace)

    def encode_send(self, call, remaining_s, target_id):
        """Return id, path and remaining milliseconds as bytes."""
        remaining_ms = max(1, int(remaining_s * 1000))
        return b'%s %s %d' % (call.id, call.target, remaining_ms)

    def matches(self, call, reply):
        """Return whether a reply has the id of a call."""
        return reply.header(ID) == call.id

    def classify(self, reply):
        """Return the Verdict that a reply states."""
        return calls.Verdict(reply.header(OUTCOME).decode())

    def stamp(self, reply):
        """Return the id in a reply; parts of one call share it."""
        return reply.header(ID)

    def read_rate_limit(self, reply):
        """Return the rate that a target states, or None."""
        value = reply.header(RATE_LIMIT)
        return None if value is None else float(value)

    def read_pause_s(self, reply):
        """Return 0, as targets of the model ask for no pause."""
        return 0.0

    def is_leaving(self, reply):
        """Return False, as targets of the model do not leave."""
        return False

    def make_part(self, stamp, body):
        """Return a successful Reply."""
        return messages.Reply(200, ((ID, stamp),), body)

    def make_merged(self, stamps, missed, body):
        """Return the Reply that merges several parts."""
        return messages.Reply(200, ((PARTS, b'%d' % len(stamps)),), body)

    def make_refusal(self, status, retry_after_s=None):
        """Return the Reply of an instance itself."""
        headers = ()
        if retry_after_s is not None:
            headers = ((RETRY_AFTER, b'%.4f' % retry_after_s),)
        return messages.Reply(status, headers)
