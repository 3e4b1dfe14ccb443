"""Binding of sockets."""

import pytest
import trio

from savorycross.wire import binding
from standins import loopback


async def test_address_in_use_is_bound_once_it_is_free(nursery):
    address = loopback.find_address()
    with trio.socket.socket() as first, trio.socket.socket() as second:
        await first.bind(address)
        nursery.start_soon(binding.bind, second, address)
        await trio.sleep(0.05)
        first.close()
        with trio.fail_after(5):
            while second.getsockname() != address:
                await trio.sleep(0.01)


# Guards against a task that tries for ever what cannot succeed.
async def test_socket_that_cannot_be_bound_any_more_is_given_up():
    host, port = loopback.find_address()
    with trio.socket.socket() as sock:
        await sock.bind((host, 0))
        with trio.fail_after(5), pytest.raises(OSError):
            await binding.bind(sock, (host, port))
