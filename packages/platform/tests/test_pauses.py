"""Tests of responses that arrive while the process stands still."""

from typing import Any

import pytest
from twisted.internet import base
from twisted.internet import defer
from twisted.internet import testing

import oriolestand_platform as platform

TIMEOUT_MS = 1_000
ADDRESS = '127.0.0.1:7001'
BODY = (
    platform.WorkerReply(
        boot='b', now_ms=7, slots=1, memory_mb=1, accelerators=0
    )
    .model_dump_json()
    .encode()
)
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
    len(BODY),
    BODY,
)


class _Reactor(base.ReactorBase):  # type: ignore[misc]
    """A reactor with the timers of Twisted and sockets in memory."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.factories: list[Any] = []
        super().__init__()

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, **kwargs: Any
    ) -> None:
        """Record the factory of a connection to open."""
        self.factories.append(factory)

    def installWaker(self) -> None:  # noqa: N802
        """Do nothing, as no other thread wakes this reactor."""

    def seconds(self) -> float:
        """Return the simulated time."""
        return self.now_s

    def turn(self, passed_s: float) -> None:
        """Let time pass, then call the timers that are due."""
        self.now_s += passed_s
        self.runUntilCurrent()


class _Call:
    """A call to a worker over a connection in virtual time."""

    def __init__(self) -> None:
        self.reactor = _Reactor()
        client = platform.HttpPlatform(
            self.reactor, 'http://127.0.0.1:7000', TIMEOUT_MS
        )
        self.results: list[Any] = []
        coroutine: Any = client.call_worker(ADDRESS, platform.StatusRequest())
        defer.ensureDeferred(coroutine).addBoth(self.results.append)
        self.protocol = self.reactor.factories[-1].buildProtocol(None)
        transport = testing.StringTransportWithDisconnection()
        transport.protocol = self.protocol
        self.protocol.makeConnection(transport)


@pytest.fixture
def call() -> _Call:
    """Return a call that waits for its response."""
    return _Call()


@pytest.mark.parametrize('pause_s', [1, 30])
def test_response_that_was_received_during_a_pause(
    call: _Call, pause_s: int
) -> None:
    # The reactor calls due timers before it reads from sockets. The response
    # of a worker, with the end of a task, was dropped after a pause.
    call.reactor.turn(pause_s)
    call.protocol.dataReceived(RESPONSE)
    call.reactor.turn(0)
    (reply,) = call.results
    assert isinstance(reply, platform.WorkerReply)
    # The only timer left is that of the idle connection in the pool.
    assert len(call.reactor.getDelayedCalls()) == 1


def test_response_that_is_read_in_parts(call: _Call) -> None:
    # One pass reads a part of what was received; the first has the head.
    call.reactor.turn(30)
    head = len(RESPONSE) - len(BODY)
    call.protocol.dataReceived(RESPONSE[:head])
    call.reactor.turn(0)
    for start in range(head, len(RESPONSE), 10):
        call.protocol.dataReceived(RESPONSE[start : start + 10])
        call.reactor.turn(0)
    (reply,) = call.results
    assert isinstance(reply, platform.WorkerReply)


def test_response_that_does_not_arrive(call: _Call) -> None:
    # Guards against a timeout that is postponed without end.
    call.reactor.turn(TIMEOUT_MS / 1_000 - 0.01)
    assert not call.results
    call.reactor.turn(0.02)
    call.reactor.turn(0)
    (failure,) = call.results
    assert failure.check(platform.WorkerTimeoutError)
