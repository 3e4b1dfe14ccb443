"""HTTP handlers by which callers and the platform find instances."""

import msgspec
import trio

from savorycross.wire import messages

_JSON_HEADERS = ((b'Content-Type', b'application/json'),)
MAX_ADDRESSES = 64


def make_directory_handler(directory, keep_s):
    """Return a Handler that lists the addresses for callers.

    :param directory: ``fleet.directory.Directory``.
    :param keep_s: seconds for which callers cache the list.
    """

    def handle(request, respond):
        if not request.target.startswith(b'/v1/resolve'):
            respond(messages.Reply(404))
            return None
        addresses = directory.addresses(trio.current_time())
        addresses = addresses[:MAX_ADDRESSES]
        if not addresses:
            respond(messages.Reply(503))
            return None
        body = {
            'addrs': [f'{host}:{port}' for host, port in addresses],
            'ttl_s': keep_s,
        }
        respond(messages.Reply(200, _JSON_HEADERS, msgspec.json.encode(body)))
        return None

    return handle


def make_ready_handler(directory):
    """Return a Handler that reports whether this instance is ready.

    :param directory: ``fleet.directory.Directory``.
    """

    def handle(request, respond):
        is_known_path = request.target.startswith(b'/v1/readyz')
        is_ready = is_known_path and directory.is_ready
        respond(messages.Reply(200 if is_ready else 503))
        return None

    return handle
