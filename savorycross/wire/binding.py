"""Binds sockets to addresses that may be in use for a while."""

import errno

import trio

from savorycross.events import failure

RETRY_INTERVAL_S = 0.1
# Reasons that may pass while the socket stays as it is.
IN_USE = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


async def bind(sock, address):
    """Bind a socket, as soon as the address is free.

    Only the first failure is reported.

    :param sock: trio socket.
    :param address: host and port.
    :raises OSError: if the socket cannot be bound for another reason.
    """
    is_reported = False
    while True:
        try:
            await sock.bind(address)
        except OSError as exc:
            if exc.errno not in IN_USE:
                raise
            if not is_reported:
                failure.report(f'bind of port {address[1]}', exc)
            is_reported = True
        else:
            return
        await trio.sleep(RETRY_INTERVAL_S)
