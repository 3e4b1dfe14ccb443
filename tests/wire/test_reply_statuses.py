"""Replies whose status line is none."""

import httpcore
import pytest
import trio

from savorycross.client import client
from savorycross.wire import pool
from tests.wire import test_pool

listen = test_pool.listen

EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
INVALID = (
    b'HTTP/1.1 000',
    b'HTTP/1.1 001',
    b'HTTP/1.1 099',
    b'HTTP/1.1 600',
    b'HTTP/1.1 999',
    b'HTTP/1.1 1000',
    b'HTTP/1.1 20',
    b'HTTP/1.1 2x0',
    b'HTTP/1.1 -20',
    b'HTTP/0.9 200',
    b'HTTP/2.0 200',
)


def _encode(status_line):
    return status_line + b' Trouble\r\nContent-Length: 2\r\n\r\nok'


# Guards against a reply with status 000 that reaches the caller, or that is
# dropped like an informational one, so that the caller waits.
@pytest.mark.parametrize('first', [b'', EARLY_HINTS])
@pytest.mark.parametrize('status_line', INVALID)
async def test_reply_with_an_invalid_status_is_lost_at_once(
    status_line, first, listen, nursery
):
    address = await listen(first + _encode(status_line))
    conn_pool = pool.Pool(address, nursery)
    exchange = await test_pool._call(conn_pool)
    await trio.sleep(0.05)
    assert exchange.reply is None
    assert exchange.lost == (True, 'no valid reply')
    assert conn_pool.size == 0


@pytest.mark.parametrize('status', [200, 304, 404, 500, 599])
async def test_final_reply_with_any_valid_status_is_passed_on(
    status, listen, nursery
):
    address = await listen(
        EARLY_HINTS + _encode(b'HTTP/1.1 %d' % status), None
    )
    exchange = await test_pool._call(pool.Pool(address, nursery))
    assert exchange.reply.status == status


# The callers' library reads replies with a parser of its own.
@pytest.mark.parametrize('status_line', INVALID[:3])
async def test_library_for_callers_takes_no_reply_with_an_invalid_status(
    status_line, listen
):
    host, port = await listen(_encode(status_line))
    tested = client.Client([f'{host}:{port}'])
    with pytest.raises(httpcore.ProtocolError):
        await tested._send_request(f'{host}:{port}', 'GET', '/')
