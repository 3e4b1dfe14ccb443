"""The calls by which clients and the platform find instances."""

import msgspec
import trio

from savorycross.wire import messages

_JSON = ((b'Content-Type', b'application/json'),)
MAX_ADDRESSES = 64


def make_directory_handler(directory, keep_s):
    """Return a Handler that tells clients which addresses to use.

    :param directory: fleet.entry.Directory.
    :param keep_s: seconds for which clients keep the answer.
    """

    def handle(request, respond):
        if not request.target.startswith(b'/v1/resolve'):
            respond(messages.Reply(404))
            return None
        found = directory.addresses(trio.current_time())
        found = found[:MAX_ADDRESSES]
        if not found:
            respond(messages.Reply(503))
            return None
        body = {
            'addrs': [f'{host}:{port}' for host, port in found],
            'ttl_s': keep_s,
        }
        respond(messages.Reply(200, _JSON, msgspec.json.encode(body)))
        return None

    return handle


def make_ready_handler(directory):
    """Return a Handler that tells the platform whether it is ready."""

    def handle(request, respond):
        is_known = request.target.startswith(b'/v1/readyz')
        is_ready = is_known and directory.is_ready
        respond(messages.Reply(200 if is_ready else 503))
        return None

    return handle
