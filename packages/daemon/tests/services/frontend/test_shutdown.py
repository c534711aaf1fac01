"""Test how connections of callers are closed on shutdown."""

from typing import Any

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import lifecycle

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


def _serve(bench: Any) -> bytes:
    """Send a request, send its response and return the written bytes."""
    bench.transport.clear()
    bench.send(GET)
    bench.answer(b'x', Content_Length='1')
    bench.end()
    written: bytes = bench.transport.value()
    return written


def test_persistent_connections_close_after_the_next_response(
    bench: Any,
) -> None:
    """Callers must move to another entry instance before the stop."""
    assert b'Connection: close' not in _serve(bench)
    assert not bench.transport.disconnecting
    bench.task.post(lifecycle.ShutdownStarted())
    written = _serve(bench)
    assert b'Connection: close' in written
    assert written.endswith(b'x')
    assert bench.transport.disconnecting


def test_a_request_in_progress_is_not_interrupted(bench: Any) -> None:
    """Closing the listener must not abort requests or responses."""
    idle = bench.transport
    _serve(bench)
    new = bench.connect()
    busy, channel = bench.connect(), bench.channel
    bench.send(GET)
    bench.answer(b'ab', Content_Length='4')
    bench.task.post(lifecycle.CloseListener())
    assert [w.disconnecting for w in (idle, new, busy)] == [True, False, False]
    xid = bench.opened.caller.xid
    bench.task.post(exchange.ResponseChunk(xid=xid, data=b'cd'))
    bench.end()
    assert busy.value().endswith(b'abcd')
    ended = bench.task.ask(lifecycle.CloseConnections())
    assert new.disconnecting
    for connection in list(bench.task.channels):
        assert not ended.called
        bench.channel = connection
        bench.leave()
    assert ended.called
    assert channel not in bench.task.channels


def test_keyed_requests_are_guarded_unless_they_are_idempotent(
    bench: Any,
) -> None:
    """A keyed request that bypassed idempotency could run twice."""
    for path in (b'a', b'safe'):
        bench.connect()
        bench.send(
            b'POST /%s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n'
            b'Content-Length: 0\r\n\r\n' % path
        )
        bench.leave()
    assert [type(m) for m in bench.idempotency.received] == [
        exchange.OpenExchange,
        exchange.CancelRequest,
    ]
    assert len(bench.dispatch.received) == 2
