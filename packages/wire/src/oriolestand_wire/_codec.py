"""Convert messages between data classes and Cap'n Proto."""

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
"""Bounds the reading of one frame in proportion to its size.

A list of empty structs takes no bytes, so that a frame of 100 bytes could
announce millions of elements; the library's own limit is 64 MB.
"""

capnp.remove_import_hook()
_SCHEMA = capnp.load(
    str(importlib.resources.files('oriolestand_wire') / 'peer.capnp')
)

Encoder = Callable[[Any, Any], None]
Decoder = Callable[[int, Any], _messages.PeerMessage]


def _encode_headers(target: Any, headers: _messages.Headers) -> None:
    """Fill a list of headers."""
    rows = target.init('headers', len(headers))
    for row, (name, value) in zip(rows, headers, strict=True):
        row.name = name
        row.value = value


def _decode_headers(source: Any) -> _messages.Headers:
    """Return a list of headers."""
    return tuple((row.name, row.value) for row in source.headers)


def _encode_hello(out: Any, msg: _messages.Hello) -> None:
    """Fill a hello."""
    hello = out.init('hello')
    hello.version = msg.version
    hello.instanceId = msg.instance_id
    hello.incarnation = msg.incarnation
    hello.failureDomain = msg.failure_domain
    hello.region = msg.region
    hello.peerAddress = msg.peer_address
    hello.isLeaving = msg.is_leaving


def _decode_hello(xid: int, body: Any) -> _messages.Hello:
    """Return a hello."""
    return _messages.Hello(
        xid=xid,
        version=body.version,
        instance_id=body.instanceId,
        incarnation=body.incarnation,
        failure_domain=body.failureDomain,
        region=body.region,
        peer_address=body.peerAddress,
        is_leaving=body.isLeaving,
    )


def _encode_open(out: Any, msg: _messages.Open) -> None:
    """Fill the head of a forwarded request."""
    body = out.init('open')
    body.requestId = msg.request_id
    body.method = msg.method
    body.target = msg.target
    _encode_headers(body, msg.headers)
    body.route = msg.route
    body.generation = msg.generation
    body.remainingMs = msg.remaining_ms
    body.team = msg.team
    body.traceparent = msg.traceparent
    body.hops = msg.hops
    length = msg.body_length
    body.bodyLength = UNKNOWN_LENGTH if length is None else length
    body.priority = msg.priority
    body.idempotencyKey = msg.idempotency_key
    body.isService = msg.is_service


def _decode_open(xid: int, body: Any) -> _messages.Open:
    """Return the head of a forwarded request."""
    length = body.bodyLength
    return _messages.Open(
        xid=xid,
        request_id=body.requestId,
        method=body.method,
        target=body.target,
        headers=_decode_headers(body),
        route=body.route,
        generation=body.generation,
        remaining_ms=body.remainingMs,
        team=body.team,
        traceparent=body.traceparent,
        hops=body.hops,
        body_length=None if length < 0 else length,
        priority=body.priority,
        idempotency_key=body.idempotencyKey,
        is_service=body.isService,
    )


def _encode_response_head(out: Any, msg: _messages.ResponseHead) -> None:
    """Fill the head of an answer."""
    body = out.init('responseHead')
    body.status = msg.status
    _encode_headers(body, msg.headers)


def _encode_failed(out: Any, msg: _messages.Failed) -> None:
    """Fill an error."""
    body = out.init('failed')
    body.code = msg.code
    body.message = msg.message
    body.verdict = msg.verdict
    body.httpStatus = msg.http_status


def _encode_load(out: Any, msg: _messages.Load) -> None:
    """Fill an advertisement of load."""
    rows = out.init('load').init('pools', len(msg.pools))
    for row, pool in zip(rows, msg.pools, strict=True):
        row.pool = pool.pool
        row.free = pool.free
        row.queued = pool.queued
        row.latencyMs = pool.latency_ms


def _decode_load(xid: int, body: Any) -> _messages.Load:
    """Return an advertisement of load."""
    pools = tuple(
        _messages.PoolLoad(
            pool=row.pool,
            free=row.free,
            queued=row.queued,
            latency_ms=row.latencyMs,
        )
        for row in body.pools
    )
    return _messages.Load(xid=xid, pools=pools)


def _encode_leaving(out: Any, msg: _messages.Leaving) -> None:
    """Fill a list of leaving upstreams."""
    rows = out.init('leaving').init('upstreams', len(msg.upstreams))
    for index, upstream in enumerate(msg.upstreams):
        rows[index] = upstream


def _set(field: str, attribute: str) -> Encoder:
    """Return an encoder of a message with one plain field."""

    def encode_field(out: Any, msg: Any) -> None:
        setattr(out, field, getattr(msg, attribute))

    return encode_field


def _mark(field: str) -> Encoder:
    """Return an encoder of a message without fields."""

    def encode_mark(out: Any, msg: Any) -> None:
        setattr(out, field, None)

    return encode_mark


_ENCODERS: dict[type, Encoder] = {
    _messages.Hello: _encode_hello,
    _messages.Heartbeat: _set('heartbeat', 'sequence'),
    _messages.HeartbeatAck: _set('heartbeatAck', 'sequence'),
    _messages.Open: _encode_open,
    _messages.Accepted: _mark('accepted'),
    _messages.BodyChunk: _set('bodyChunk', 'data'),
    _messages.BodyEnd: _mark('bodyEnd'),
    _messages.ResponseHead: _encode_response_head,
    _messages.ResponseChunk: _set('responseChunk', 'data'),
    _messages.ResponseEnd: _mark('responseEnd'),
    _messages.Failed: _encode_failed,
    _messages.Cancel: _mark('cancel'),
    _messages.Credit: _set('credit', 'size'),
    _messages.Load: _encode_load,
    _messages.TablesDocument: _set('tables', 'document'),
    _messages.Leaving: _encode_leaving,
}

_DECODERS: dict[str, Decoder] = {
    'hello': _decode_hello,
    'heartbeat': lambda xid, body: _messages.Heartbeat(xid=xid, sequence=body),
    'heartbeatAck': lambda xid, body: _messages.HeartbeatAck(
        xid=xid, sequence=body
    ),
    'open': _decode_open,
    'accepted': lambda xid, body: _messages.Accepted(xid=xid),
    'bodyChunk': lambda xid, body: _messages.BodyChunk(xid=xid, data=body),
    'bodyEnd': lambda xid, body: _messages.BodyEnd(xid=xid),
    'responseHead': lambda xid, body: _messages.ResponseHead(
        xid=xid, status=body.status, headers=_decode_headers(body)
    ),
    'responseChunk': lambda xid, body: _messages.ResponseChunk(
        xid=xid, data=body
    ),
    'responseEnd': lambda xid, body: _messages.ResponseEnd(xid=xid),
    'failed': lambda xid, body: _messages.Failed(
        xid=xid,
        code=body.code,
        message=body.message,
        verdict=body.verdict,
        http_status=body.httpStatus,
    ),
    'cancel': lambda xid, body: _messages.Cancel(xid=xid),
    'credit': lambda xid, body: _messages.Credit(xid=xid, size=body),
    'load': _decode_load,
    'tables': lambda xid, body: _messages.TablesDocument(
        xid=xid, document=body
    ),
    'leaving': lambda xid, body: _messages.Leaving(
        xid=xid, upstreams=tuple(body.upstreams)
    ),
}


def encode(msg: _messages.PeerMessage) -> bytes:
    """Return the bytes of a message, without a frame.

    >>> decode(encode(_messages.Credit(xid=3, size=9)))
    Credit(xid=3, size=9)
    """
    out = _SCHEMA.Message.new_message(xid=msg.xid)
    _ENCODERS[type(msg)](out, msg)
    return bytes(out.to_bytes())


def _traversal_limit(data: bytes) -> int:
    """Return how many words may be read while a frame is decoded."""
    words = len(data) // BYTES_PER_WORD
    return TRAVERSAL_FACTOR * words + TRAVERSAL_SLACK_WORDS


def decode(data: bytes) -> _messages.PeerMessage:
    """Return the message in a frame, or raise MalformedMessageError."""
    try:
        with _SCHEMA.Message.from_bytes(
            data, traversal_limit_in_words=_traversal_limit(data)
        ) as msg:
            name = str(msg.which())
            return _DECODERS[name](msg.xid, getattr(msg, name))
    except (capnp.KjException, KeyError, ValueError, TypeError) as exc:
        raise _errors.MalformedMessageError(
            'the bytes are not a message', reason=str(exc)[:200]
        ) from exc
