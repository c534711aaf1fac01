"""Test the errors and verdicts of the HTTP client."""

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
TRANSACTION = platform.Transaction(request_id='1')


class ServerHarness:
    """Act as the server of a single call in virtual time."""

    def __init__(self) -> None:
        self.reactor: Any = testing.MemoryReactorClock()
        self.client = platform.HttpPlatform(
            self.reactor, 'http://127.0.0.1:7000', TIMEOUT_MS
        )
        self.transport: Any = None
        self.protocol: Any = None
        self.results: list[Any] = []

    def call(self, is_write: bool) -> None:
        coroutine: Any = self.client.read('t', 'k')
        if is_write:
            coroutine.close()
            coroutine = self.client.commit(TRANSACTION)
        fut = defer.ensureDeferred(coroutine)
        fut.addBoth(self.results.append)

    def connect(self) -> None:
        factory = self.reactor.tcpClients[-1][2]
        self.protocol = factory.buildProtocol(None)
        self.transport = testing.StringTransportWithDisconnection()
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def respond(self, status: int, body: bytes, length: int = -1) -> None:
        size = len(body) if length < 0 else length
        head = f'HTTP/1.1 {status} x\r\nContent-Length: {size}\r\n\r\n'
        self.protocol.dataReceived(head.encode() + body)

    def error(self) -> platform.StoreUnavailableError:
        (result,) = self.results
        exc = result.value
        assert isinstance(exc, platform.StoreUnavailableError)
        return exc


@pytest.fixture
def server() -> ServerHarness:
    return ServerHarness()


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
def test_status_determines_the_verdict(
    server: ServerHarness,
    is_write: bool,
    status: int,
    code: str,
    write_verdict: core.Verdict,
) -> None:
    """A write gets did_not_run only if the status rules out an effect."""
    server.call(is_write)
    server.connect()
    server.respond(status, b'')
    assert server.error().code == code
    expected = write_verdict if is_write else DID_NOT_RUN
    assert server.error().verdict is expected


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
def test_malformed_responses_are_errors(
    server: ServerHarness, is_write: bool, body: bytes
) -> None:
    """A malformed response to a write must not give did_not_run."""
    server.call(is_write)
    server.connect()
    server.respond(200, body)
    assert server.error().code == 'malformed_answer'
    expected = MAY_HAVE_RUN if is_write else DID_NOT_RUN
    assert server.error().verdict is expected


@pytest.mark.parametrize('is_write', [False, True])
def test_oversized_response_is_aborted(
    server: ServerHarness, is_write: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A server must not exhaust memory with an oversized response."""
    monkeypatch.setattr(_http.HttpPlatform._call, '__defaults__', (None, 10))
    server.call(is_write)
    server.connect()
    server.respond(200, b'x' * 11, length=1_000)
    assert server.error().code == 'malformed_answer'
    expected = MAY_HAVE_RUN if is_write else DID_NOT_RUN
    assert server.error().verdict is expected
    assert not server.transport.connected


@pytest.mark.parametrize('failure_mode', ['silent', 'body', 'cut'])
@pytest.mark.parametrize('is_write', [False, True])
def test_lost_response_gives_may_have_run_for_writes(
    server: ServerHarness, is_write: bool, failure_mode: str
) -> None:
    """A write without a complete response must be may_have_run."""
    server.call(is_write)
    server.connect()
    if failure_mode != 'silent':
        server.respond(200, b'{"applied"', length=30)
    if failure_mode == 'cut':
        server.protocol.connectionLost(failure.Failure(error.ConnectionLost()))
    assert bool(server.results) == (failure_mode == 'cut')
    server.reactor.advance(TIMEOUT_MS / 1000)
    assert server.error().code == 'store_timeout'
    expected = MAY_HAVE_RUN if is_write else DID_NOT_RUN
    assert server.error().verdict is expected


def test_unreachable_server_gives_did_not_run(server: ServerHarness) -> None:
    """A write must be did_not_run if the connection cannot be opened."""
    server.call(is_write=True)
    factory = server.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(
        None, failure.Failure(error.TCPTimedOutError())
    )
    assert server.error().verdict is DID_NOT_RUN
    assert server.reactor.tcpClients[-1][3] == TIMEOUT_MS / 1000 / 2


def test_missing_rows_and_objects_are_none(server: ServerHarness) -> None:
    """A 404 response to a read must not be an error."""
    server.call(is_write=False)
    server.connect()
    server.respond(404, b'')
    assert server.results == [None]
