"""Tests of the encoding of messages between instances."""

import hypothesis
from hypothesis import strategies
import pytest

from savorycross import errors
from savorycross.membership import member
from savorycross.peer import codec
from savorycross.peer import frames
from savorycross.peer import messages
from savorycross.plan import inventory

MEMBER = member.Member('b', 'x', '127.0.0.1', 1, 2, 3)
HOLDING = inventory.Holding(inventory.Snapshot(3, 1), 4, (0, 2))
MESSAGES = [
    messages.Hello(1, 'a', 7),
    messages.Part(1, 'r', ('s',), ('s/0',), 2, 3, 1, 10.5, 2.5, b'{}', False),
    messages.PartAnswer(
        1,
        (
            messages.ShardResult('s/0', '', b'[]', 1),
            messages.ShardResult('s/1', 'deadline', b'', -1),
        ),
        True,
        1.5,
    ),
    messages.CancelPart(9),
    messages.Inventories(
        (
            inventory.TargetInventory('t', 'b', True, False, (HOLDING,), 8),
            inventory.TargetInventory('u', 'b', True, False, (), 9, 4.5),
        )
    ),
    messages.Forward(1, 'r', 't', 'w', 'k', 5.5, b'1'),
    messages.Reply(1, 'not_run', 'text', b''),
    messages.Pull('view', 3),
    messages.Push('catalogue', 3, b'x'),
    messages.Released(4, 'a'),
    messages.Joining(MEMBER),
]


@pytest.mark.parametrize('message', MESSAGES, ids=lambda m: type(m).__name__)
def test_decoded_message_equals_the_encoded_one(message):
    assert codec.decode(codec.encode(message, 77)) == (message, 77)


def test_every_message_has_an_example():
    assert {type(m) for m in MESSAGES} == set(codec._ENCODERS)


def test_decoded_datagram_equals_the_encoded_one():
    rumour = messages.Rumour('c', 5, 'suspect')
    datagram = messages.Datagram(
        'ping', 'a', 1, 2, 'b', 3, 4, 5, 0.5, True, (rumour,), 250
    )
    data = codec.encode_datagram(datagram)
    assert codec.decode_datagram(data) == datagram


@hypothesis.given(strategies.binary(max_size=200))
def test_garbage_is_an_error_with_a_code(data):
    for decode in (codec.decode, codec.decode_datagram):
        try:
            decode(data)
        except errors.PeerProtocolError as exc:
            assert exc.code == 'peer_protocol'


@hypothesis.given(
    strategies.sampled_from(MESSAGES),
    strategies.integers(0, 400),
    strategies.integers(0, 255),
)
def test_damaged_message_is_decoded_or_refused(message, place, value):
    data = bytearray(codec.encode(message))
    data[place % len(data)] = value
    try:
        codec.decode(bytes(data))
    except errors.PeerProtocolError:
        pass


def test_part_without_a_replica_set_for_each_shard_is_rejected():
    part = messages.Part(1, 'r', (), ('s/0',), 1, 1, 0, 1.0, 0.0, b'')
    with pytest.raises(errors.PeerProtocolError):
        codec.decode(codec.encode(part))


@hypothesis.given(
    strategies.lists(strategies.binary(max_size=50)),
    strategies.integers(1, 20),
)
def test_frames_are_found_however_the_stream_is_cut(parts, size):
    stream = b''.join(frames.pack(p) for p in parts)
    reader = frames.FrameReader()
    found = []
    for start in range(0, len(stream), size):
        found += reader.feed(stream[start : start + size])
    assert found == parts


def test_oversized_frame_is_rejected():
    reader = frames.FrameReader()
    with pytest.raises(errors.PeerProtocolError):
        reader.feed(b'\xff\xff\xff\xff')
