"""Convert messages to and from the Cap'n Proto encoding."""

from collections.abc import Callable
import importlib.resources
from typing import Any

import capnp

from oriolestand_wire import _errors
from oriolestand_wire import _messages

PROTOCOL_VERSION = 1
UNKNOWN_LENGTH = -1

BYTES_PER_WORD = 8
TRAVERSAL_FACTOR = 8
TRAVERSAL_SLACK_WORDS = 1_024
"""Limit the words that the decoder reads, in proportion to the frame's size.

Empty structs occupy no bytes, so a frame of 100 bytes can declare a list of
millions of elements, each of which takes time to decode. The default limit
of the library, 64 MB, is too high to prevent this.
"""

capnp.remove_import_hook()
_SCHEMA = capnp.load(
    str(importlib.resources.files('oriolestand_wire') / 'peer.capnp')
)

Encoder = Callable[[Any, Any], None]
Decoder = Callable[[int, Any], _messages.PeerMessage]


def _encode_headers(builder: Any, headers: _messages.Headers) -> None:
    """Encode headers into the ``headers`` field of a struct."""
    items = builder.init('headers', len(headers))
    for item, (name, value) in zip(items, headers, strict=True):
        item.name = name
        item.value = value


def _decode_headers(payload: Any) -> _messages.Headers:
    """Decode the ``headers`` field of a struct."""
    return tuple((item.name, item.value) for item in payload.headers)


def _encode_hello(builder: Any, msg: _messages.Hello) -> None:
    """Encode the identity of a daemon."""
    payload = builder.init('hello')
    payload.version = msg.version
    payload.instanceId = msg.instance_id
    payload.incarnation = msg.incarnation
    payload.failureDomain = msg.failure_domain
    payload.region = msg.region
    payload.peerAddress = msg.peer_address
    payload.isLeaving = msg.is_leaving


def _decode_hello(xid: int, payload: Any) -> _messages.Hello:
    """Decode the identity of a daemon."""
    return _messages.Hello(
        xid=xid,
        version=payload.version,
        instance_id=payload.instanceId,
        incarnation=payload.incarnation,
        failure_domain=payload.failureDomain,
        region=payload.region,
        peer_address=payload.peerAddress,
        is_leaving=payload.isLeaving,
    )


def _encode_open(builder: Any, msg: _messages.Open) -> None:
    """Encode the head of a forwarded request."""
    payload = builder.init('open')
    payload.requestId = msg.request_id
    payload.method = msg.method
    payload.target = msg.target
    _encode_headers(payload, msg.headers)
    payload.route = msg.route
    payload.generation = msg.generation
    payload.remainingMs = msg.remaining_ms
    payload.team = msg.team
    payload.traceparent = msg.traceparent
    payload.hops = msg.hops
    length = msg.body_length
    payload.bodyLength = UNKNOWN_LENGTH if length is None else length
    payload.priority = msg.priority
    payload.idempotencyKey = msg.idempotency_key
    payload.isService = msg.is_service


def _decode_open(xid: int, payload: Any) -> _messages.Open:
    """Decode the head of a forwarded request."""
    length = payload.bodyLength
    return _messages.Open(
        xid=xid,
        request_id=payload.requestId,
        method=payload.method,
        target=payload.target,
        headers=_decode_headers(payload),
        route=payload.route,
        generation=payload.generation,
        remaining_ms=payload.remainingMs,
        team=payload.team,
        traceparent=payload.traceparent,
        hops=payload.hops,
        body_length=None if length < 0 else length,
        priority=payload.priority,
        idempotency_key=payload.idempotencyKey,
        is_service=payload.isService,
    )


def _encode_response_head(builder: Any, msg: _messages.ResponseHead) -> None:
    """Encode the head of a response."""
    payload = builder.init('responseHead')
    payload.status = msg.status
    _encode_headers(payload, msg.headers)


def _encode_failed(builder: Any, msg: _messages.Failed) -> None:
    """Encode an error that ends an exchange."""
    payload = builder.init('failed')
    payload.code = msg.code
    payload.message = msg.message
    payload.verdict = msg.verdict
    payload.httpStatus = msg.http_status


def _encode_load(builder: Any, msg: _messages.Load) -> None:
    """Encode the load of a daemon's pools."""
    items = builder.init('load').init('pools', len(msg.pools))
    for item, pool in zip(items, msg.pools, strict=True):
        item.pool = pool.pool
        item.free = pool.free
        item.queued = pool.queued
        item.latencyMs = pool.latency_ms


def _decode_load(xid: int, payload: Any) -> _messages.Load:
    """Decode the load of a daemon's pools."""
    pools = tuple(
        _messages.PoolLoad(
            pool=item.pool,
            free=item.free,
            queued=item.queued,
            latency_ms=item.latencyMs,
        )
        for item in payload.pools
    )
    return _messages.Load(xid=xid, pools=pools)


def _encode_leaving(builder: Any, msg: _messages.Leaving) -> None:
    """Encode the addresses of leaving upstreams."""
    items = builder.init('leaving').init('upstreams', len(msg.upstreams))
    for index, upstream in enumerate(msg.upstreams):
        items[index] = upstream


def _encoder_for_value(field: str, attribute: str) -> Encoder:
    """Return an encoder that writes one attribute to a union member."""

    def encode_field(builder: Any, msg: Any) -> None:
        setattr(builder, field, getattr(msg, attribute))

    return encode_field


def _encoder_for_void(field: str) -> Encoder:
    """Return an encoder for messages without attributes."""

    def encode_void(builder: Any, msg: Any) -> None:
        setattr(builder, field, None)

    return encode_void


_ENCODERS: dict[type, Encoder] = {
    _messages.Hello: _encode_hello,
    _messages.Heartbeat: _encoder_for_value('heartbeat', 'sequence'),
    _messages.HeartbeatAck: _encoder_for_value('heartbeatAck', 'sequence'),
    _messages.Open: _encode_open,
    _messages.Accepted: _encoder_for_void('accepted'),
    _messages.BodyChunk: _encoder_for_value('bodyChunk', 'data'),
    _messages.BodyEnd: _encoder_for_void('bodyEnd'),
    _messages.ResponseHead: _encode_response_head,
    _messages.ResponseChunk: _encoder_for_value('responseChunk', 'data'),
    _messages.ResponseEnd: _encoder_for_void('responseEnd'),
    _messages.Failed: _encode_failed,
    _messages.Cancel: _encoder_for_void('cancel'),
    _messages.Credit: _encoder_for_value('credit', 'size'),
    _messages.Load: _encode_load,
    _messages.TablesDocument: _encoder_for_value('tables', 'document'),
    _messages.Leaving: _encode_leaving,
}

_DECODERS: dict[str, Decoder] = {
    'hello': _decode_hello,
    'heartbeat': lambda xid, payload: _messages.Heartbeat(
        xid=xid, sequence=payload
    ),
    'heartbeatAck': lambda xid, payload: _messages.HeartbeatAck(
        xid=xid, sequence=payload
    ),
    'open': _decode_open,
    'accepted': lambda xid, payload: _messages.Accepted(xid=xid),
    'bodyChunk': lambda xid, payload: _messages.BodyChunk(
        xid=xid, data=payload
    ),
    'bodyEnd': lambda xid, payload: _messages.BodyEnd(xid=xid),
    'responseHead': lambda xid, payload: _messages.ResponseHead(
        xid=xid, status=payload.status, headers=_decode_headers(payload)
    ),
    'responseChunk': lambda xid, payload: _messages.ResponseChunk(
        xid=xid, data=payload
    ),
    'responseEnd': lambda xid, payload: _messages.ResponseEnd(xid=xid),
    'failed': lambda xid, payload: _messages.Failed(
        xid=xid,
        code=payload.code,
        message=payload.message,
        verdict=payload.verdict,
        http_status=payload.httpStatus,
    ),
    'cancel': lambda xid, payload: _messages.Cancel(xid=xid),
    'credit': lambda xid, payload: _messages.Credit(xid=xid, size=payload),
    'load': _decode_load,
    'tables': lambda xid, payload: _messages.TablesDocument(
        xid=xid, document=payload
    ),
    'leaving': lambda xid, payload: _messages.Leaving(
        xid=xid, upstreams=tuple(payload.upstreams)
    ),
}


def encode(msg: _messages.PeerMessage) -> bytes:
    """Return the serialized message, without a frame.

    >>> decode(encode(_messages.Credit(xid=3, size=9)))
    Credit(xid=3, size=9)
    """
    builder = _SCHEMA.Message.new_message(xid=msg.xid)
    _ENCODERS[type(msg)](builder, msg)
    return bytes(builder.to_bytes())


def _traversal_limit(data: bytes) -> int:
    """Return how many words the decoder may read in a frame."""
    words = len(data) // BYTES_PER_WORD
    return TRAVERSAL_FACTOR * words + TRAVERSAL_SLACK_WORDS


def decode(data: bytes) -> _messages.PeerMessage:
    """Return the message in the payload of a frame.

    Raises MalformedMessageError for any invalid input, and no other error.
    """
    try:
        with _SCHEMA.Message.from_bytes(
            data, traversal_limit_in_words=_traversal_limit(data)
        ) as msg:
            name = str(msg.which())
            return _DECODERS[name](msg.xid, getattr(msg, name))
    except (capnp.KjException, KeyError, ValueError, TypeError) as exc:
        raise _errors.MalformedMessageError(
            'cannot decode the message', reason=str(exc)[:200]
        ) from exc
