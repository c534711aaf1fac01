"""Test the outcome of attempts, with failures at each stage."""

from typing import Any

import pytest
from twisted.internet import error

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
LOST = ('upstream_lost', 'may_have_run', True)
NOT_SENT = ('upstream_unreachable', 'did_not_run', False)
RAN = ('', 'ran', False)


def test_refused_connection(bench: Any) -> None:
    """Nothing was sent, so the request did not run."""
    bench.start()
    bench.refuse()
    assert bench.summary() == NOT_SENT


def test_deadline_while_connecting(bench: Any) -> None:
    """A connection that opens late must not send, but be reused."""
    bench.start()
    bench.clock.advance(1_000)
    assert bench.summary() == NOT_SENT
    transport = bench.connect()
    assert transport.value() == b''
    bench.start()
    assert b'GET /a' in transport.value()


@pytest.mark.parametrize(
    'data',
    [b'', b'HTTP/1.1 20', HEAD, HEAD + b'abc', b'junk\r\n\r\n']
    + [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'],
)
def test_connection_lost_after_the_head_was_sent(
    bench: Any, data: bytes
) -> None:
    """Without a complete response, the request may have run."""
    bench.start()
    transport = bench.connect()
    transport.protocol.dataReceived(data)
    transport.close(error.ConnectionDone())
    assert bench.summary() == LOST
    assert not bench.caller.of_type(exchange.ResponseEnd)


def test_connection_lost_during_the_body(bench: Any) -> None:
    """The upstream consumed part of the body: a retry is not possible."""
    server = bench.start(body_length=9)
    transport = bench.connect()
    server.post(exchange.BodyChunk(xid=server.xid, data=b'abc'))
    transport.close(error.ConnectionLost())
    outcome = bench.outcome
    assert outcome.verdict.value == 'may_have_run' and outcome.is_final


@pytest.mark.parametrize('body_length', [0, 9])
def test_upstream_refusal(bench: Any, body_length: int) -> None:
    """A refusal is final once the body was requested from the caller."""
    bench.start(body_length=body_length)
    transport = bench.connect()
    transport.protocol.dataReceived(
        b'HTTP/1.1 503 Busy\r\nOriolestand-Verdict: did_not_run\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    outcome = bench.outcome
    assert outcome.verdict.value == 'did_not_run'
    assert outcome.is_final is bool(body_length)
    assert not bench.caller.of_type(exchange.ResponseHead)


def test_unframed_response_is_refused(bench: Any) -> None:
    """A close could mark the end of the response or truncate it."""
    bench.start()
    transport = bench.connect()
    transport.protocol.dataReceived(b'HTTP/1.0 200 OK\r\n\r\npart')
    assert bench.summary() == ('unframed_response', 'may_have_run', True)
    assert not bench.caller.of_type(exchange.ResponseHead)


@pytest.mark.parametrize(
    ('method', 'answer', 'length'),
    [
        ('GET', HEAD + b'abcd', '4'),
        ('HEAD', HEAD, '4'),
        ('GET', b'HTTP/1.1 204 No\r\n\r\n', None),
        ('GET', b'HTTP/1.1 103 Early\r\n\r\n' + HEAD + b'abcd', '4'),
    ],
)
def test_complete_response(
    bench: Any, method: str, answer: bytes, length: str | None
) -> None:
    """A complete response has verdict ran and one Content-Length header."""
    bench.start(method=method)
    bench.connect().protocol.dataReceived(answer)
    assert bench.summary() == RAN
    (head,) = bench.caller.of_type(exchange.ResponseHead)
    found = [v for k, v in head.headers if k.lower() == 'content-length']
    assert found == ([length] if length else [])
    assert len(bench.caller.of_type(exchange.ResponseEnd)) == 1


def test_early_response_is_sent_before_the_body_ends(bench: Any) -> None:
    """The caller must get an early response without delay."""
    bench.start(body_length=None)
    transport = bench.connect()
    transport.protocol.dataReceived(HEAD + b'ab')
    assert bench.caller.of_type(exchange.ResponseHead)
    transport.protocol.dataReceived(b'cd')
    assert bench.summary() == RAN
    assert transport.is_closed


def test_deadline_after_sending(bench: Any) -> None:
    """The slot is held until the upstream must have stopped."""
    bench.start()
    transport = bench.connect()
    bench.clock.advance(1_000)
    outcome = bench.outcome
    assert outcome.error.code == 'upstream_timeout'
    assert (outcome.slot_held_until, outcome.upstream_failed) == (1_250, True)
    assert transport.is_closed


@pytest.mark.parametrize('is_upload', [False, True])
def test_deadline_while_the_caller_is_slow(
    bench: Any, is_upload: bool
) -> None:
    """A slow caller must not count as an upstream failure."""
    bench.start(body_length=9 if is_upload else 0)
    transport = bench.connect()
    if not is_upload:
        size = exchange.CREDIT_BYTES
        transport.protocol.dataReceived(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % (2 * size)
        )
        transport.protocol.dataReceived(b'x' * size)
    bench.clock.advance(1_000)
    outcome = bench.outcome
    assert outcome.error.code == 'caller_too_slow'
    assert outcome.verdict.value == 'may_have_run'
    assert not outcome.upstream_failed


def test_response_follows_credit(bench: Any) -> None:
    """Without flow control, a slow caller could exhaust the memory."""
    server = bench.start()
    transport = bench.connect()
    size = exchange.CREDIT_BYTES
    transport.protocol.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % (size + 10)
    )
    transport.protocol.dataReceived(b'x' * (size + 10))
    sent = bench.caller.of_type(exchange.ResponseChunk)
    assert sum(len(m.data) for m in sent) == size
    assert not bench.dispatch.received
    server.post(exchange.Credit(xid=server.xid, size=20))
    sent = bench.caller.of_type(exchange.ResponseChunk)
    assert sum(len(m.data) for m in sent) == size + 10
    assert bench.summary() == RAN


@pytest.mark.parametrize('is_connected', [False, True])
def test_cancel_by_ticket(bench: Any, is_connected: bool) -> None:
    """A request whose caller has left must end and not be retried."""
    bench.start()
    transport = bench.connect() if is_connected else None
    bench.task.post(exchange.CancelAttempt(ticket_id='ticket', target=''))
    outcome = bench.outcome
    verdict = 'may_have_run' if is_connected else 'did_not_run'
    assert (outcome.verdict.value, outcome.is_final) == (verdict, True)
    assert transport is None or transport.is_closed


@pytest.mark.parametrize(
    'fields',
    [
        {'target': '/a b'},
        {'method': 'GET /b'},
        {'headers': (('x', 'a\r\ny: b'),)},
        {'idempotency_key': 'a\nb'},
    ],
)
def test_unsendable_request_did_not_run(
    bench: Any, fields: dict[str, Any]
) -> None:
    """A request that is not valid HTTP must not hold its slot."""
    bench.start(**fields)
    bench.connect()
    assert bench.summary() == ('bad_request', 'did_not_run', False)


def test_request_headers_for_the_upstream(bench: Any) -> None:
    """The upstream needs the remaining time, the key and the trace."""
    bench.start(
        headers=(('host', 'h'), ('oriolestand-deadline-ms', '9')),
        idempotency_key='k',
        traceparent='tp',
    )
    bench.clock.advance(100)
    text = bench.connect().value().lower()
    assert text.count(b'oriolestand-deadline-ms: 900\r\n') == 1
    assert b'idempotency-key: k\r\n' in text and b'traceparent: tp' in text


def test_response_headers_for_the_caller(bench: Any) -> None:
    """Hop-by-hop and project headers must not reach the caller."""
    bench.kernel.subscribe(membership.UpstreamLeaving, bench.dispatch)
    bench.start()
    bench.connect().protocol.dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Hop\r\n'
        b'X-Hop: 1\r\nOriolestand-Leaving: 1\r\nOriolestand-Verdict: x\r\n'
        b'Via: v\r\n\r\n'
    )
    (head,) = bench.caller.of_type(exchange.ResponseHead)
    assert [k.lower() for k, _ in head.headers] == ['via', 'content-length']
    assert bench.dispatch.of_type(membership.UpstreamLeaving)
