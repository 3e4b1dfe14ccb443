"""Binds sockets to addresses that may be in use for a while."""

import trio

from savorycross.events import failure

RETRY_INTERVAL_S = 0.1


async def bind(sock, address):
    """Bind a socket, as soon as the address is free.

    Only the first failure is reported.

    :param sock: trio socket.
    :param address: host and port.
    """
    is_reported = False
    while True:
        try:
            await sock.bind(address)
        except OSError as exc:
            if not is_reported:
                failure.report(f'bind of port {address[1]}', exc)
            is_reported = True
        else:
            return
        await trio.sleep(RETRY_INTERVAL_S)
