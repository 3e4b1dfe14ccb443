"""Malformed messages at each decoder, and at the tasks that read them."""

import math
import random
import socket

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest
import trio

from savorycross import decoding
from savorycross.delegate import protocol
from savorycross.discovery import item
from savorycross import errors
from savorycross.fleet import heartbeat
from savorycross.fleet import heartbeat_transport
from savorycross.fleet import mirror_sync
from savorycross.fleet import peer_registry
from savorycross.metrics import registry
from savorycross.platform import configuration
from savorycross.platform import dialect
from savorycross.platform import keys
from savorycross.platform import settings as platform_settings
from savorycross.platform import store
from savorycross.quota import protocol as quota_protocol
from savorycross.rate import protocol as rate_protocol
from savorycross.wire import messages
from savorycross.workspace import confirmation
from standins import loopback
from tests.fleet import test_peer_registry
from tests import null_log

PEER = test_peer_registry._peer('b0')
HEARTBEAT = heartbeat.Heartbeat(
    heartbeat.FORMAT,
    PEER.id,
    heartbeat.READY,
    7,
    True,
    (heartbeat.StatusRow(3, 20, 1, 5),),
    (9,),
    (PEER,),
    4,
)
BATCH = protocol.BatchRequest(
    protocol.FORMAT,
    b'id',
    b'GET',
    b'/p',
    ((b'Host', b'h'),),
    b'',
    500,
    20,
    10.0,
    2,
    ('a',),
)
RESULTS = protocol.Results(
    1.0, (protocol.Result(0, protocol.Outcome.OK, 1.0, b's', b'r' * 16),)
)
ENTRY = (
    b'{"service":"s","addr":"10.0.0.1:80","zone":"z","slots":2,'
    b'"state":"ready","warmup_ms":5,"born":1}'
)
CONFIGURATION = (
    b'{"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/",'
    b'"kind":"idempotent","timeout_ms":500,"service":"s"}],'
    b'"services":[{"name":"s","max_conns":5}]}'
)
SNAPSHOT = mirror_sync.Snapshot(
    item.Revision(2, 3), [('k', item.Revision(2, 1), b'v')]
)
QUOTA = quota_protocol.QuotaMessage(quota_protocol.FORMAT, 'b0', True, 'w', 3)
RATE = rate_protocol.RateMessage(
    rate_protocol.FORMAT, 'b0', False, (rate_protocol.Row('t', 2.5, 10, 1),)
)
CONFIRMATION = confirmation.ConfirmationMessage(
    confirmation.FORMAT, 'b0', 5, False, 20, 1, 7, 3
)
PAGE = b'{"current_rev":1,"items":[{"key":"a","rev":1,"value":"eA=="}]}'


def _decode_snapshot(data):
    return decoding.decode(mirror_sync._snapshot_decoder, data)


def _decode_page(data):
    page = store._decode(messages.Reply(200, (), data), store._range_decoder)
    return store._to_items(page.items, 1, item.Source.LISTING)


DECODERS = {
    'heartbeat': (heartbeat.decode, heartbeat.encode(HEARTBEAT)),
    'peer': (heartbeat.decode_peer, heartbeat.encode_peer(PEER)),
    'batch': (protocol.decode_batch, protocol.encode(BATCH)),
    'results': (protocol.decode_results, protocol.encode(RESULTS)),
    'snapshot': (
        _decode_snapshot,
        msgspec.msgpack.encode(SNAPSHOT),
    ),
    'entry': (lambda data: keys.decode_target('servers/x', data), ENTRY),
    'configuration': (configuration.decode_configuration, CONFIGURATION),
    'page': (_decode_page, PAGE),
    'quota': (quota_protocol.decode, msgspec.msgpack.encode(QUOTA)),
    'rate': (rate_protocol.decode, msgspec.msgpack.encode(RATE)),
    'confirmation': (
        confirmation.decode,
        msgspec.msgpack.encode(CONFIRMATION),
    ),
}
ALLOWED = (ValueError, errors.SavorycrossError)
DEPTH = 20_000


def _nest(data):
    """Return a valid message with a further value that is nested deep."""
    if data.startswith(b'{'):
        return b'{"further":' + b'[' * DEPTH + b']' * DEPTH + b',' + data[1:]
    # The first byte of a short array in MessagePack holds its length.
    return bytes((data[0] + 1,)) + data[1:] + b'\x91' * DEPTH + b'\xc0'


@pytest.mark.parametrize('name', DECODERS)
def test_valid_message_is_decoded(name):
    decode, data = DECODERS[name]
    assert decode(data)


@pytest.mark.parametrize('name', DECODERS)
@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.data())
def test_malformed_message_raises_only_what_readers_expect(name, data):
    decode, valid = DECODERS[name]
    changed = bytearray(valid)
    for _ in range(data.draw(st.integers(1, 4))):
        place = data.draw(st.integers(0, len(changed) - 1))
        changed[place] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(changed)))
    for message in (bytes(changed), bytes(changed[:cut]), bytes(changed) * 2):
        try:
            decode(message)
        except ALLOWED:
            pass


# Guards against an entry of the store that ended each listing of it.
@pytest.mark.parametrize('name', DECODERS)
def test_deep_message_raises_only_what_readers_expect(name):
    decode, valid = DECODERS[name]
    with pytest.raises(ALLOWED):
        decode(_nest(valid))


def test_deep_settings_are_reported(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text('node = ' + '[' * DEPTH)
    with pytest.raises(errors.SettingsError):
        platform_settings.read_settings(9464, str(path))


@pytest.mark.parametrize(
    'port', [0, -1, 65536, 2**40], ids=['zero', 'negative', 'large', 'huge']
)
def test_peer_with_an_impossible_address_is_refused(port):
    fields = ('x', 1, 'z', ('10.0.0.1', port), ('10.0.0.1', 5))
    with pytest.raises(ValueError, match='int'):
        heartbeat.decode_peer(msgspec.msgpack.encode(fields))
    fields = ('x', 1, 'z', ('not an address', 5), ('10.0.0.1', 5))
    with pytest.raises(ValueError, match='address'):
        heartbeat.decode_peer(msgspec.msgpack.encode(fields))


@pytest.mark.parametrize('value', [0.0, -1.0, math.nan, math.inf])
def test_batch_with_an_impossible_latency_is_refused(value):
    data = protocol.encode(msgspec.structs.replace(BATCH, usual_ms=value))
    with pytest.raises(ValueError, match='float'):
        protocol.decode_batch(data)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(text=st.text(max_size=300))
def test_malformed_settings_are_reported(text, tmp_path_factory):
    path = tmp_path_factory.mktemp('settings') / 'settings.toml'
    path.write_text(text, encoding='utf-8', errors='replace')
    with pytest.raises(errors.SettingsError):
        platform_settings.read_settings(9464, str(path))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    headers=st.lists(st.tuples(st.binary(max_size=12), st.binary(max_size=12)))
)
def test_any_headers_make_a_call_or_none(headers):
    platform_dialect = dialect.PlatformDialect()
    names = (b'Request-Id', b'Host', b'Deadline-Ms')
    known = tuple(zip(names, (b'1', b'h', b'\xb2'), strict=True))
    for extra in (tuple(headers), tuple(headers) + known):
        request = messages.Request(b'GET', b'/p/x', extra, b'')
        call = platform_dialect.read_call(request)
        assert call is None or call.id
        platform_dialect.read_key(request)
        call = platform_dialect.read_call(request, True)
        assert call is None or not {b'api-key', b'tenant'} & {
            name.lower() for name, _ in call.headers
        }


async def test_malformed_datagrams_do_not_stop_heartbeats(nursery):
    own = heartbeat.Peer(
        'a0', 1, 'x', loopback.find_address(), loopback.find_address()
    )
    metrics = registry.Registry()
    peers = peer_registry.PeerRegistry(own, null_log.NullLog())
    transport = heartbeat_transport.HeartbeatTransport(
        peers,
        (),
        lambda: {'flags': 1, 'revision': 1, 'has_store': True, 'load': 0},
        random.Random(1),
        metrics,
    )
    nursery.start_soon(transport.run)
    await trio.testing.wait_all_tasks_blocked()
    impossible = ('b1', 1, 'x', ('10.0.0.1', 99999), ('10.0.0.1', 5))
    message = list(msgspec.msgpack.decode(heartbeat.encode(HEARTBEAT)))
    message[7] = [impossible]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b'', b'\xc1', msgspec.msgpack.encode(message)):
            sock.sendto(data, own.address)
        await trio.sleep(2.5 * peer_registry.HEARTBEAT_INTERVAL_S)
        sock.sendto(heartbeat.encode(HEARTBEAT), own.address)
        await trio.sleep(0.1)
    assert [p.name for p in peers.recent_peers(trio.current_time())] == ['b0']
