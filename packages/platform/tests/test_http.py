"""Test the verdicts of the HTTP client on raw answers."""

import json
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

import oriolestand_core as core
import oriolestand_platform as platform
from oriolestand_platform import _http

TIMEOUT_MS = 1_000
DID_NOT_RUN = core.Verdict.DID_NOT_RUN
MAY_HAVE_RUN = core.Verdict.MAY_HAVE_RUN
ROW = {'table': 't', 'key': 'k', 'version': 1, 'value': {}}
TX = platform.Transaction(request_id='1')


class Wire:
    """Play the server's side of one call in virtual time."""

    def __init__(self) -> None:
        self.reactor: Any = testing.MemoryReactorClock()
        self.client = platform.HttpPlatform(
            self.reactor, 'http://127.0.0.1:7000', TIMEOUT_MS
        )
        self.transport: Any = None
        self.protocol: Any = None
        self.results: list[Any] = []

    def call(self, is_write: bool) -> None:
        work: Any = self.client.read('t', 'k')
        if is_write:
            work.close()
            work = self.client.commit(TX)
        fut = defer.ensureDeferred(work)
        fut.addBoth(self.results.append)

    def connect(self) -> None:
        factory = self.reactor.tcpClients[-1][2]
        self.protocol = factory.buildProtocol(None)
        self.transport = testing.StringTransportWithDisconnection()
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def answer(self, status: int, body: bytes, length: int = -1) -> None:
        size = len(body) if length < 0 else length
        head = f'HTTP/1.1 {status} x\r\nContent-Length: {size}\r\n\r\n'
        self.protocol.dataReceived(head.encode() + body)

    def error(self) -> platform.StoreUnavailableError:
        (result,) = self.results
        exc = result.value
        assert isinstance(exc, platform.StoreUnavailableError)
        return exc


@pytest.fixture
def wire() -> Wire:
    return Wire()


@pytest.mark.parametrize(
    ('status', 'code', 'write_verdict'),
    [
        (503, 'store_unavailable', DID_NOT_RUN),
        (500, 'store_failed', MAY_HAVE_RUN),
        (502, 'store_failed', MAY_HAVE_RUN),
        (400, 'store_refused', DID_NOT_RUN),
        (302, 'malformed_answer', MAY_HAVE_RUN),
    ],
)
@pytest.mark.parametrize('is_write', [False, True])
def test_status_gives_the_verdict(
    wire: Wire,
    is_write: bool,
    status: int,
    code: str,
    write_verdict: core.Verdict,
) -> None:
    """Only a status that rules out an effect may say did_not_run."""
    wire.call(is_write)
    wire.connect()
    wire.answer(status, b'')
    assert wire.error().code == code
    expected = write_verdict if is_write else DID_NOT_RUN
    assert wire.error().verdict is expected


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'\xff',
        b'[' * 100_000,
        json.dumps({**ROW, 'more': 1}).encode(),
        json.dumps({**ROW, 'version': 0}).encode(),
        json.dumps({**ROW, 'key': 'other'}).encode(),
    ],
)
@pytest.mark.parametrize('is_write', [False, True])
def test_malformed_answers_are_errors(
    wire: Wire, is_write: bool, body: bytes
) -> None:
    """A broken answer to a write must not say that it did not run."""
    wire.call(is_write)
    wire.connect()
    wire.answer(200, body)
    assert wire.error().code == 'malformed_answer'
    expected = MAY_HAVE_RUN if is_write else DID_NOT_RUN
    assert wire.error().verdict is expected


@pytest.mark.parametrize('is_write', [False, True])
def test_too_long_an_answer_is_cut_off(
    wire: Wire, is_write: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A faulty server must not fill the memory."""
    monkeypatch.setattr(_http.HttpPlatform._call, '__defaults__', (None, 10))
    wire.call(is_write)
    wire.connect()
    wire.answer(200, b'x' * 11, length=1_000)
    assert wire.error().code == 'malformed_answer'
    expected = MAY_HAVE_RUN if is_write else DID_NOT_RUN
    assert wire.error().verdict is expected
    assert not wire.transport.connected


@pytest.mark.parametrize('moment', ['silent', 'body', 'cut'])
@pytest.mark.parametrize('is_write', [False, True])
def test_lost_answers(wire: Wire, is_write: bool, moment: str) -> None:
    """No answer, half an answer and a cut one all leave a write in doubt."""
    wire.call(is_write)
    wire.connect()
    if moment != 'silent':
        wire.answer(200, b'{"applied"', length=30)
    if moment == 'cut':
        wire.protocol.connectionLost(failure.Failure(error.ConnectionLost()))
    assert bool(wire.results) == (moment == 'cut')
    wire.reactor.advance(TIMEOUT_MS / 1000)
    assert wire.error().code == 'store_timeout'
    expected = MAY_HAVE_RUN if is_write else DID_NOT_RUN
    assert wire.error().verdict is expected


def test_unreachable_server_did_not_run_anything(wire: Wire) -> None:
    """A connection that never came up must not leave a write in doubt."""
    wire.call(is_write=True)
    factory = wire.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(
        None, failure.Failure(error.TCPTimedOutError())
    )
    assert wire.error().verdict is DID_NOT_RUN
    assert wire.reactor.tcpClients[-1][3] == TIMEOUT_MS / 1000 / 2


def test_missing_rows_and_objects_are_none(wire: Wire) -> None:
    """A 404 to a read is an answer, not a failure."""
    wire.call(is_write=False)
    wire.connect()
    wire.answer(404, b'')
    assert wire.results == [None]
