"""Test how the frontend sends responses to callers."""

from typing import Any

import pytest

import oriolestand_core as core
from oriolestand_daemon.messages import exchange

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
GET10 = b'GET /a HTTP/1.0\r\n\r\n'
LOST = core.OriolestandError('lost', core.Verdict.MAY_HAVE_RUN)


def test_reserved_and_hop_by_hop_headers_are_removed(bench: Any) -> None:
    """An upstream must not be able to forge headers of the daemon."""
    bench.send(GET)
    bench.answer(
        b'hi',
        Content_Length='2',
        Oriolestand_Verdict='did_not_run',
        oriolestand_leaving='1',
        Keep_Alive='9',
    )
    bench.end()
    text = bench.transport.value()
    assert text.endswith(b'hi')
    assert b'Oriolestand-Verdict: ran\r\n' in text
    assert b'eaving' not in text and b'Keep-Alive' not in text


def test_head_is_written_before_the_body(bench: Any) -> None:
    """The caller of a long stream needs the head immediately."""
    bench.send(GET)
    bench.answer()
    assert bench.transport.value().startswith(b'HTTP/1.1 200 OK\r\n')
    assert b'Transfer-Encoding: chunked' in bench.transport.value()


LENGTH = {'Content_Length': '9'}


@pytest.mark.parametrize(
    ('request_bytes', 'headers', 'is_short'),
    [
        (GET, {}, False),
        (GET, LENGTH, False),
        (GET, LENGTH, True),
        (GET10, LENGTH, False),
        (GET10, LENGTH, True),
    ],
)
def test_truncated_response_aborts_the_connection(
    bench: Any, request_bytes: bytes, headers: dict[str, str], is_short: bool
) -> None:
    """A truncated response must never look complete."""
    bench.send(request_bytes)
    bench.answer(b'part', **headers)
    if is_short:
        bench.end()
    else:
        bench.fail(LOST)
    assert bench.transport.aborted
    assert not bench.transport.value().endswith(b'0\r\n\r\n')


def test_http10_caller_gets_a_length(bench: Any) -> None:
    """Otherwise only the close would mark the end of the response."""
    bench.send(GET10)
    bench.answer(b'one', b'two')
    assert bench.transport.value() == b''
    bench.end()
    assert b'Content-Length: 6\r\n' in bench.transport.value()
    assert bench.transport.value().endswith(b'onetwo')
    assert bench.transport.disconnecting


@pytest.mark.parametrize('is_cut', [False, True])
def test_http10_caller_gets_an_error_for_an_unframed_response(
    bench: Any, is_cut: bool
) -> None:
    """A truncated or too large response must not be sent in part."""
    bench.send(GET10)
    bench.answer(b'x' * 60_000, Content_Encoding='gzip')
    if is_cut:
        bench.fail(LOST)
    else:
        bench.answer(b'x' * 60_000)
    code = 'internal_error' if is_cut else 'unframed_response'
    assert bench.parse_refusal()[1:] == (code, 'may_have_run')
    assert b'gzip' not in bench.transport.value()
    assert bool(bench.dispatch.of_type(exchange.CancelRequest)) is not is_cut


def test_head_request_keeps_the_length(bench: Any) -> None:
    """The response to HEAD declares a length but has no body."""
    bench.send(b'HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n')
    bench.answer(Content_Length='99')
    bench.end()
    assert b'Content-Length: 99\r\n' in bench.transport.value()
    assert not bench.transport.aborted


def test_credit_is_withheld_while_the_caller_reads_slowly(bench: Any) -> None:
    """Returning credit regardless would exhaust the memory."""
    bench.send(GET)
    bench.accept()
    bench.answer(b'x' * 40_000, Content_Length='90000')
    assert [m.size for m in bench.server.received] == [40_000]
    bench.channel.pauseProducing()
    xid = bench.opened.caller.xid
    bench.task.post(exchange.ResponseChunk(xid=xid, data=b'x' * 50_000))
    assert len(bench.server.received) == 1
    bench.channel.resumeProducing()
    assert bench.server.received[-1].size == 50_000


def test_pipelined_requests_are_answered_in_order(bench: Any) -> None:
    """Each pipelined request must get its own response."""
    bench.send(GET + GET)
    assert len(bench.dispatch.received) == 1
    for body in (b'first', b'other'):
        bench.answer(body, Content_Length='5')
        bench.end()
    assert bench.transport.value().index(
        b'first'
    ) < bench.transport.value().index(b'other')
    assert len(bench.dispatch.received) == 2
