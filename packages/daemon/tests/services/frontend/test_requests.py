"""Test how the frontend parses, refuses and forwards requests."""

import socket
from typing import Any

import pytest

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.frontend import _channel
from oriolestand_daemon.services.frontend import const

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: h\r\n'


@pytest.mark.parametrize(
    ('data', 'expected'),
    [
        (b'GET /a HTTP/1.1\r\n\r\n', (400, 'bad_request')),
        (GET + b'Host: other\r\n\r\n', (400, 'bad_request')),
        (GET + b'no colon\r\n\r\n', (400, 'bad_request')),
        (POST + b'Content-Length : 1\r\n\r\nx', (400, 'bad_request')),
        (GET + b'X: a\rY: b\r\n\r\n', (400, 'bad_request')),
        (GET + b'X: \0\r\n\r\n', (400, 'bad_request')),
        (b'GET a HTTP/1.1\r\nHost: h\r\n\r\n', (400, 'bad_request')),
        (GET + b'Oriolestand-Deadline-Ms: 1x\r\n\r\n', (400, 'bad_request')),
        (
            POST + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\n',
            (400, 'bad_request'),
        ),
        (
            POST
            + b'Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n',
            (400, 'bad_request'),
        ),
        (
            b'POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            (400, 'bad_request'),
        ),
        (POST + b'Content-Length: 200001\r\n\r\n', (413, 'body_too_large')),
        (GET + b'X: ' + b'y' * 20_000 + b'\r\n\r\n', (431, 'head_too_large')),
        (GET + b'X: y' * 9_000, (431, 'head_too_large')),
        (GET + b'X: y\r\n' * 600 + b'\r\n', (431, 'head_too_large')),
    ],
)
def test_bad_heads_are_refused(
    bench: Any, data: bytes, expected: tuple[int, str]
) -> None:
    """Callers decide by code and verdict whether to retry."""
    bench.send(data)
    assert bench.parse_refusal() == (*expected, 'did_not_run')
    assert not bench.dispatch.received


def test_head_reaches_dispatch_without_hop_headers(bench: Any) -> None:
    """Hop-by-hop headers must not be forwarded to the next hop."""
    bench.send(
        GET + b'Connection: X-Secret, Host\r\nX-Secret: 1\r\nTE: gzip\r\n'
        b'Oriolestand-Verdict: ran\r\nOriolestand-Deadline-Ms: 700\r\n'
        b'Idempotency-Key: k\r\nAccept: a\r\nAccept: b\r\n'
        b'traceparent: ' + b'00-%s-%s-00\r\n\r\n' % (b'a' * 32, b'b' * 16)
    )
    head = bench.opened.head
    names = [name for name, _ in head.headers]
    assert names == ['host', 'idempotency-key', 'accept', 'accept'] + [
        'traceparent'
    ]
    assert (head.deadline, head.idempotency_key) == (700, 'k')
    assert head.traceparent.endswith('b-00')


def test_absolute_target_replaces_the_host(bench: Any) -> None:
    """RFC 9112 requires servers to accept absolute-form targets."""
    bench.send(b'GET http://x:81?q HTTP/1.1\r\nHost: h\r\n\r\n')
    assert bench.opened.head.target == '/?q'
    assert bench.opened.head.headers == (('host', 'x:81'),)


def test_body_follows_credit(bench: Any) -> None:
    """Without flow control, one upload could exhaust the memory."""
    bench.send(POST + b'Content-Length: 100\r\n\r\n' + b'x' * 60)
    assert bench.transport.producerState == 'paused'
    bench.accept(credit=50)
    assert [len(m.data) for m in bench.server.received] == [50]
    assert bench.transport.producerState == 'paused'
    # A drained response buffer must not resume a body without credit.
    bench.channel.resumeProducing()
    assert bench.transport.producerState == 'paused'
    bench.task.post(exchange.Credit(xid=bench.opened.caller.xid, size=50))
    assert bench.transport.producerState == 'producing'
    bench.send(b'x' * 40)
    assert (
        sum(len(m.data) for m in bench.server.of_type(exchange.BodyChunk))
        == 100
    )
    assert len(bench.server.of_type(exchange.BodyEnd)) == 1


def test_continue_is_sent_once_the_body_is_accepted(bench: Any) -> None:
    """A caller must not upload a body that may still be refused."""
    bench.send(POST + b'Content-Length: 9\r\nExpect: 100-continue\r\n\r\n')
    assert bench.transport.value() == b''
    bench.accept(credit=10)
    assert bench.transport.value() == b'HTTP/1.1 100 Continue\r\n\r\n'


@pytest.mark.parametrize('is_accepted', [False, True])
@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (b'%x\r\n' % 200_001 + b'x' * 200_001, 'body_too_large'),
        (b'zz\r\n', 'bad_request'),
    ],
)
def test_bad_chunked_bodies_end_the_exchange(
    bench: Any, body: bytes, code: str, is_accepted: bool
) -> None:
    """After a part was forwarded, the verdict is may_have_run."""
    bench.send(POST + b'Transfer-Encoding: chunked\r\n\r\n')
    if is_accepted:
        bench.accept(credit=1)
    bench.send(body)
    verdict = 'may_have_run' if is_accepted else 'did_not_run'
    assert bench.parse_refusal()[1:] == (code, verdict)
    assert bench.dispatch.of_type(exchange.CancelRequest)
    assert len(bench.server.of_type(exchange.Cancel)) == is_accepted


def test_refused_body_is_read_before_the_close(bench: Any) -> None:
    """A reset could destroy the error response before it is read."""
    bench.send(POST + b'Content-Length: 200001\r\n\r\n' + b'x' * 100)
    assert bench.transport.is_write_closed
    assert b'Connection: close' in bench.transport.value()
    bench.send(b'GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n')
    assert not bench.dispatch.received
    bench.clock.advance(const.LINGER_MS)
    assert bench.transport.aborted


def test_slow_head_is_refused(bench: Any) -> None:
    """A caller that sends its head slowly must not hold a connection."""
    for _ in range(4):
        bench.send(b'G')
        bench.clock.advance(500)
    assert bench.parse_refusal() == (408, 'head_timeout', 'did_not_run')


def test_idle_timeout_spares_a_busy_connection(bench: Any) -> None:
    """A connection with a request in progress is not idle."""
    bench.send(GET + b'\r\n')
    bench.clock.advance(120_000)
    assert not bench.transport.disconnecting
    bench.answer(Content_Length='0')
    bench.end()
    bench.clock.advance(61_000)
    assert bench.transport.disconnecting and not bench.transport.aborted
    bench.clock.advance(const.LINGER_MS)
    assert bench.transport.aborted


@pytest.mark.parametrize('is_accepted', [False, True])
def test_disconnect_of_the_caller_cancels_the_request(
    bench: Any, is_accepted: bool
) -> None:
    """An abandoned request would hold a slot until its deadline."""
    bench.send(GET + b'\r\n')
    if is_accepted:
        bench.accept()
    bench.leave()
    ticket = bench.opened.ticket.id
    assert (
        bench.dispatch.of_type(exchange.CancelRequest)[0].ticket_id == ticket
    )
    assert len(bench.server.of_type(exchange.Cancel)) == is_accepted
    bench.answer(b'late')
    bench.end()


def test_disconnect_is_detected_while_reading_is_paused(bench: Any) -> None:
    """The reactor does not report the close of a paused connection."""
    bench.send(POST + b'Content-Length: 9\r\n\r\nxx')
    bench.clock.advance(1_000)
    assert not bench.transport.aborted
    bench.transport.is_hung_up = True
    bench.clock.advance(1_000)
    assert bench.transport.aborted


def test_closed_socket_is_detected_without_reading() -> None:
    """The close must be detected although unread bytes precede it."""
    server, client = socket.socketpair()
    client.sendall(b'unread')
    assert not _channel._is_closed_by_caller(server)
    client.close()
    assert _channel._is_closed_by_caller(server)
    server.close()


def test_credit_is_reset_for_a_new_attempt(bench: Any) -> None:
    """Credit granted by a failed attempt does not hold for the next one."""
    bench.send(POST + b'Content-Length: 90\r\n\r\n')
    bench.accept(credit=50)
    bench.accept()
    bench.send(b'x' * 60)
    assert not bench.server.of_type(exchange.BodyChunk)


def test_overload_carries_retry_after(bench: Any) -> None:
    """Without Retry-After, callers retry immediately."""
    bench.send(GET + b'\r\n')
    bench.fail(core.InboxFullError('full'))
    assert bench.parse_refusal() == (503, 'inbox_full', 'did_not_run')
    assert b'Retry-After: 1' in bench.transport.value()
