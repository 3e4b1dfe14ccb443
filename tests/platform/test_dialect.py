"""HTTP headers of callers and targets."""

import pytest

from savorycross.forward import call as calls
from savorycross.platform import dialect
from savorycross.wire import messages

DIALECT = dialect.PlatformDialect()


def _request(*headers):
    required = ((b'Host', b'H.example:80'), (b'request-id', b'id-1'))
    return messages.Request(b'GET', b'/a/b?c', required + headers)


def test_call_keeps_all_but_hop_by_hop_and_replaced_headers():
    call = DIALECT.read_call(
        _request(
            (b'X-Own', b'1'), (b'Connection', b'x'), (b'Deadline-Ms', b'1500')
        )
    )
    assert call.host == 'h.example'
    assert call.path == '/a/b'
    assert call.caller_timeout_s == 1.5
    names = [name for name, _ in call.headers]
    assert names == [b'Host', b'request-id', b'X-Own']


# Guards against requests, and those pipelined before them, that were cut off.
@pytest.mark.parametrize('digits', [400, 5000])
def test_deadline_of_hundreds_of_digits_is_none(digits):
    call = DIALECT.read_call(_request((b'Deadline-Ms', b'9' * digits)))
    assert call.caller_timeout_s is None


def test_send_names_deadline_and_target():
    call = DIALECT.read_call(_request())
    data = DIALECT.encode_send(call, 0.25, 'i-7')
    assert data == (
        b'GET /a/b?c HTTP/1.1\r\nHost: H.example:80\r\nrequest-id: id-1\r\n'
        b'Deadline-Ms: 250\r\nExpect-Instance: i-7\r\n\r\n'
    )


def test_request_without_an_id_and_a_host_is_no_call():
    assert DIALECT.read_call(messages.Request(b'GET', b'/', ())) is None


@pytest.mark.parametrize(
    ('status', 'headers', 'verdict'),
    [
        (200, {b'Server-Stamp': b'x'}, calls.Verdict.OK),
        (200, {}, calls.Verdict.INVALID),
        (
            200,
            {b'Server-Stamp': b'x', b'Content-Encoding': b'gzip'},
            calls.Verdict.INVALID,
        ),
        (500, {b'Server-Stamp': b'x'}, calls.Verdict.FAILED),
        (503, {b'Server-Stamp': b'x'}, calls.Verdict.FAILED),
        (503, {b'Not-Run': b'1'}, calls.Verdict.NOT_RUN),
        (429, {b'Not-Run': b'1'}, calls.Verdict.NOT_RUN),
        (421, {b'Instance': b'i'}, calls.Verdict.MISDIRECTED),
    ],
)
def test_reply_is_classified(status, headers, verdict):
    reply = messages.Reply(status, tuple(headers.items()))
    assert DIALECT.classify(reply) is verdict


def test_refusal_has_the_time_to_retry_after():
    reply = DIALECT.make_refusal(503, 0.25)
    assert reply.header(b'retry-after') == b'0.250'
