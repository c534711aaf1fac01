"""Test how the frontend writes responses."""

from typing import Any

import pytest

import oriolestand_core as core
from oriolestand_daemon.messages import exchange

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
GET10 = b'GET /a HTTP/1.0\r\n\r\n'
LOST = core.OriolestandError('lost', core.Verdict.MAY_HAVE_RUN)


def test_own_and_hop_headers_of_the_answer_are_replaced(bench: Any) -> None:
    """An upstream's headers must not pass for the daemon's."""
    bench.send(GET)
    bench.answer(
        b'hi',
        Content_Length='2',
        Oriolestand_Verdict='did_not_run',
        oriolestand_leaving='1',
        Keep_Alive='9',
    )
    bench.end()
    text = bench.wire.value()
    assert text.endswith(b'hi')
    assert b'Oriolestand-Verdict: ran\r\n' in text
    assert b'eaving' not in text and b'Keep-Alive' not in text


def test_head_is_written_before_the_body(bench: Any) -> None:
    """A long stream's caller must see the head at once."""
    bench.send(GET)
    bench.answer()
    assert bench.wire.value().startswith(b'HTTP/1.1 200 OK\r\n')
    assert b'Transfer-Encoding: chunked' in bench.wire.value()


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
def test_cut_answer_breaks_the_connection(
    bench: Any, request_bytes: bytes, headers: dict[str, str], is_short: bool
) -> None:
    """A truncated answer must never look complete."""
    bench.send(request_bytes)
    bench.answer(b'part', **headers)
    if is_short:
        bench.end()
    else:
        bench.fail(LOST)
    assert bench.wire.aborted
    assert not bench.wire.value().endswith(b'0\r\n\r\n')


def test_http10_caller_gets_a_length(bench: Any) -> None:
    """To HTTP/1.0, the close would be the only sign of the end."""
    bench.send(GET10)
    bench.answer(b'one', b'two')
    assert bench.wire.value() == b''
    bench.end()
    assert b'Content-Length: 6\r\n' in bench.wire.value()
    assert bench.wire.value().endswith(b'onetwo')
    assert bench.wire.disconnecting


@pytest.mark.parametrize('is_cut', [False, True])
def test_http10_caller_without_a_length_gets_an_error(
    bench: Any, is_cut: bool
) -> None:
    """A cut or oversize answer without a length is an error, not a part."""
    bench.send(GET10)
    bench.answer(b'x' * 60_000, Content_Encoding='gzip')
    if is_cut:
        bench.fail(LOST)
    else:
        bench.answer(b'x' * 60_000)
    code = 'internal_error' if is_cut else 'unframed_response'
    assert bench.refusal()[1:] == (code, 'may_have_run')
    assert b'gzip' not in bench.wire.value()
    assert bool(bench.dispatch.of(exchange.CancelRequest)) is not is_cut


def test_head_request_keeps_the_length(bench: Any) -> None:
    """A HEAD answer states a length but has no body to check."""
    bench.send(b'HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n')
    bench.answer(Content_Length='99')
    bench.end()
    assert b'Content-Length: 99\r\n' in bench.wire.value()
    assert not bench.wire.aborted


def test_slow_reader_gives_no_credit(bench: Any) -> None:
    """Credit for a caller that does not read would fill the memory."""
    bench.send(GET)
    bench.accept()
    bench.answer(b'x' * 40_000, Content_Length='90000')
    assert [m.size for m in bench.server.seen] == [40_000]
    bench.channel.pauseProducing()
    xid = bench.opened.caller.xid
    bench.task.post(exchange.ResponseChunk(xid=xid, data=b'x' * 50_000))
    assert len(bench.server.seen) == 1
    bench.channel.resumeProducing()
    assert bench.server.seen[-1].size == 50_000


def test_connection_serves_the_next_request(bench: Any) -> None:
    """Pipelined requests are answered in order, each with its own answer."""
    bench.send(GET + GET)
    assert len(bench.dispatch.seen) == 1
    for body in (b'first', b'other'):
        bench.answer(body, Content_Length='5')
        bench.end()
    assert bench.wire.value().index(b'first') < bench.wire.value().index(
        b'other'
    )
    assert len(bench.dispatch.seen) == 2
