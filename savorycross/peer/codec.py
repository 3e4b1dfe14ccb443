"""Encoding of the messages between instances as Cap'n Proto."""

import pathlib

import capnp

from savorycross import errors
from savorycross.membership import member
from savorycross.peer import messages
from savorycross.plan import inventory

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name('schema.capnp')))
_DECODE_ERRORS = (capnp.KjException, ValueError, UnicodeDecodeError)
_TRAVERSAL_LIMIT_WORDS = 1 << 23


def encode(message, stamp=0):
    """Return a message between instances as the bytes of a frame.

    :param message: an instance of a class in ``peer.messages``.
    :param stamp: hybrid clock stamp of the time of sending.
    """
    frame = _schema.Frame.new_message(stamp=stamp)
    _ENCODERS[type(message)](frame, message)
    return frame.to_bytes()


def decode(data):
    """Decode the bytes of a frame.

    :returns: the message and its hybrid clock stamp.
    :raises PeerProtocolError: if the bytes are not a valid message.
    """
    try:
        with _schema.Frame.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as frame:
            message = _DECODERS[frame.which()](frame)
            return message, frame.stamp
    except _DECODE_ERRORS as exc:
        text = str(exc).splitlines()[0] if str(exc) else type(exc).__name__
        raise errors.PeerProtocolError(f'invalid frame: {text}') from exc


def _set_fields(struct, **fields):
    """Set fields of a Cap'n Proto struct."""
    for name, value in fields.items():
        setattr(struct, name, value)


def _encode_hello(frame, msg):
    _set_fields(
        frame.init('hello'),
        protocol=msg.protocol,
        name=msg.name,
        incarnation=msg.incarnation,
    )


def _encode_part(frame, msg):
    part = frame.init('part')
    part.partId = msg.part_id
    part.requestId = msg.request_id
    part.replicaSets = list(msg.replica_sets)
    part.shards = list(msg.shards)
    part.version = msg.version
    part.epoch = msg.epoch
    part.priority = msg.priority
    part.deadlineMs = msg.deadline_ms
    part.flushMs = msg.flush_ms
    part.payload = msg.payload
    part.repeatable = msg.repeatable


def _encode_answer(frame, msg):
    answer = frame.init('answer')
    answer.partId = msg.part_id
    answer.final = msg.final
    answer.waitMs = msg.wait_ms
    results = answer.init('results', len(msg.results))
    for struct, result in zip(results, msg.results, strict=True):
        struct.shard = result.shard
        struct.cause = result.cause
        struct.body = result.body
        struct.ran = result.ran


def _encode_cancel(frame, msg):
    frame.cancel = msg.part_id


def _encode_inventories(frame, msg):
    structs = frame.init('inventories', len(msg.items))
    for struct, item in zip(structs, msg.items, strict=True):
        _set_fields(
            struct,
            target=item.target,
            boot=item.boot,
            warm=item.warm,
            draining=item.draining,
            stamp=item.stamp,
        )
        if item.rate_per_s is not None:
            struct.ratePerS = item.rate_per_s
        holding_structs = struct.init('holdings', len(item.holdings))
        for holding_struct, holding in zip(
            holding_structs, item.holdings, strict=True
        ):
            _set_fields(
                holding_struct,
                version=holding.snapshot.version,
                epoch=holding.snapshot.epoch,
                total=holding.total,
                shards=list(holding.shards),
            )


def _encode_forward(frame, msg):
    _set_fields(
        frame.init('forward'),
        callId=msg.call_id,
        requestId=msg.request_id,
        ticket=msg.ticket,
        workload=msg.workload,
        key=msg.key,
        deadlineMs=msg.deadline_ms,
        payload=msg.payload,
    )


def _encode_reply(frame, msg):
    _set_fields(
        frame.init('reply'),
        callId=msg.call_id,
        code=msg.code,
        message=msg.message,
        body=msg.body,
    )


def _encode_pull(frame, msg):
    _set_fields(frame.init('pull'), what=msg.what, have=msg.have)


def _encode_push(frame, msg):
    _set_fields(
        frame.init('push'),
        what=msg.what,
        version=msg.version,
        data=msg.data,
    )


def _encode_released(frame, msg):
    _set_fields(frame.init('released'), epoch=msg.epoch, name=msg.name)


def _encode_joining(frame, msg):
    _set_fields(
        frame.init('joining'),
        name=msg.member.name,
        dataCentre=msg.member.data_centre,
        host=msg.member.host,
        httpPort=msg.member.http_port,
        peerPort=msg.member.peer_port,
        incarnation=msg.member.incarnation,
    )


def _decode_hello(frame):
    struct = frame.hello
    return messages.Hello(struct.protocol, struct.name, struct.incarnation)


def _decode_part(frame):
    struct = frame.part
    part = messages.Part(
        part_id=struct.partId,
        request_id=struct.requestId,
        replica_sets=tuple(struct.replicaSets),
        shards=tuple(struct.shards),
        version=struct.version,
        epoch=struct.epoch,
        priority=struct.priority,
        deadline_ms=struct.deadlineMs,
        flush_ms=struct.flushMs,
        payload=struct.payload,
        repeatable=struct.repeatable,
    )
    if len(part.shards) != len(part.replica_sets):
        raise ValueError('a part needs one replica set for each shard')
    return part


def _decode_answer(frame):
    answer = frame.answer
    results = tuple(
        messages.ShardResult(r.shard, r.cause, r.body, r.ran)
        for r in answer.results
    )
    return messages.PartAnswer(
        answer.partId, results, answer.final, answer.waitMs
    )


def _decode_cancel(frame):
    return messages.CancelPart(frame.cancel)


def _decode_inventories(frame):
    return messages.Inventories(
        tuple(
            inventory.TargetInventory(
                target=item.target,
                boot=item.boot,
                warm=item.warm,
                draining=item.draining,
                holdings=tuple(_decode_holding(h) for h in item.holdings),
                stamp=item.stamp,
                rate_per_s=item.ratePerS if item.ratePerS >= 0.0 else None,
            )
            for item in frame.inventories
        )
    )


def _decode_holding(struct):
    snapshot = inventory.Snapshot(struct.version, struct.epoch)
    return inventory.Holding(snapshot, struct.total, tuple(struct.shards))


def _decode_forward(frame):
    struct = frame.forward
    return messages.Forward(
        call_id=struct.callId,
        request_id=struct.requestId,
        ticket=struct.ticket,
        workload=struct.workload,
        key=struct.key,
        deadline_ms=struct.deadlineMs,
        payload=struct.payload,
    )


def _decode_reply(frame):
    struct = frame.reply
    return messages.Reply(
        struct.callId, struct.code, struct.message, struct.body
    )


def _decode_pull(frame):
    return messages.Pull(frame.pull.what, frame.pull.have)


def _decode_push(frame):
    struct = frame.push
    return messages.Push(struct.what, struct.version, struct.data)


def _decode_released(frame):
    return messages.Released(frame.released.epoch, frame.released.name)


def _decode_joining(frame):
    struct = frame.joining
    return messages.Joining(
        member.Member(
            name=struct.name,
            data_centre=struct.dataCentre,
            host=struct.host,
            http_port=struct.httpPort,
            peer_port=struct.peerPort,
            incarnation=struct.incarnation,
        )
    )


_ENCODERS = {
    messages.Hello: _encode_hello,
    messages.Part: _encode_part,
    messages.PartAnswer: _encode_answer,
    messages.CancelPart: _encode_cancel,
    messages.Inventories: _encode_inventories,
    messages.Forward: _encode_forward,
    messages.Reply: _encode_reply,
    messages.Pull: _encode_pull,
    messages.Push: _encode_push,
    messages.Released: _encode_released,
    messages.Joining: _encode_joining,
}

_DECODERS = {
    'hello': _decode_hello,
    'part': _decode_part,
    'answer': _decode_answer,
    'cancel': _decode_cancel,
    'inventories': _decode_inventories,
    'forward': _decode_forward,
    'reply': _decode_reply,
    'pull': _decode_pull,
    'push': _decode_push,
    'released': _decode_released,
    'joining': _decode_joining,
}


def encode_datagram(msg):
    """Return a heartbeat message as the bytes of a datagram."""
    return _schema.Datagram.new_message(
        kind=msg.kind,
        sender=msg.sender,
        incarnation=msg.incarnation,
        sequence=msg.sequence,
        subject=msg.subject,
        viewEpoch=msg.view_epoch,
        configVersion=msg.config_version,
        stamp=msg.stamp,
        load=msg.load,
        leaving=msg.leaving,
        rumours=[
            {'name': r.name, 'incarnation': r.incarnation, 'status': r.status}
            for r in msg.rumours
        ],
        confirmedAgeMs=(
            -1 if msg.confirmed_age_ms is None else msg.confirmed_age_ms
        ),
    ).to_bytes_packed()


def decode_datagram(data):
    """Return the heartbeat message in the bytes of a datagram.

    :raises PeerProtocolError: if the bytes are not a valid message.
    """
    try:
        struct = _schema.Datagram.from_bytes_packed(data)
        return messages.Datagram(
            kind=struct.kind,
            sender=struct.sender,
            incarnation=struct.incarnation,
            sequence=struct.sequence,
            subject=struct.subject,
            view_epoch=struct.viewEpoch,
            config_version=struct.configVersion,
            stamp=struct.stamp,
            load=struct.load,
            leaving=struct.leaving,
            rumours=tuple(
                messages.Rumour(r.name, r.incarnation, r.status)
                for r in struct.rumours
            ),
            confirmed_age_ms=(
                None if struct.confirmedAgeMs < 0 else struct.confirmedAgeMs
            ),
        )
    except _DECODE_ERRORS as exc:
        raise errors.PeerProtocolError('invalid datagram') from exc
