"""Fixtures with the upstreams service and connections in memory."""

from typing import Any

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.upstreams import _task
from oriolestand_policy import tables

ADDRESS = '10.0.0.1:80'
DEADLINE_MS = 1_000
GRACE_MS = 250


class ClosableTransport(testing.StringTransport):
    """A transport that closes immediately, as if no output were pending."""

    protocol: Any = None
    is_closed = False

    def abortConnection(self) -> None:  # noqa: N802
        self.close(error.ConnectionAborted())

    def loseConnection(self) -> None:  # noqa: N802
        super().loseConnection()
        self.close(error.ConnectionDone())

    def close(self, reason: Exception) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connectionLost(failure.Failure(reason))


class Recorder(core.Task):
    """Record all messages that it receives."""

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.received: list[Any] = []

    @core.handles(exchange.ExchangeAccepted)
    @core.handles(exchange.ResponseHead)
    @core.handles(exchange.ResponseChunk)
    @core.handles(exchange.ResponseEnd)
    @core.handles(exchange.Credit)
    @core.handles(dispatch.AttemptFinished)
    @core.handles(membership.UpstreamLeaving)
    def _on_message(self, msg: object) -> None:
        self.received.append(msg)

    def of_type(self, message_type: type) -> list[Any]:
        return [m for m in self.received if isinstance(m, message_type)]


class Bench:
    """The service with a recording caller side and in-memory connections."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.reactor = testing.MemoryReactorClock()
        self.kernel = core.Kernel(self.clock, core.IdSource(1), self.reactor)
        self.dispatch = Recorder(self.kernel, 'dispatch')
        self.kernel.register('dispatch', self.dispatch)
        self.caller = Recorder(self.kernel, 'frontend')
        self.task = _task.UpstreamsTask(self.kernel, GRACE_MS)
        self.task.start()
        self.grant(1)

    def grant(self, slots: int) -> None:
        self.kernel.publish(
            grants.GrantsChanged(
                slots={ADDRESS: slots} if slots else {}, horizon_ms={}
            ),
            is_state=True,
        )

    def start(
        self, body_length: int | None = 0, **fields: Any
    ) -> exchange.Endpoint:
        head = exchange.RequestHead(
            **{
                'request_id': 'r',
                'method': 'GET' if body_length == 0 else 'POST',
                'target': '/a',
                'headers': (('host', 'h'),),
                'route': tables.Route(name='all', pool='main'),
                'generation': 1,
                'deadline': core.Millis(self.clock.now() + DEADLINE_MS),
                'team': 't',
                'body_length': body_length,
                **fields,
            }
        )
        self.task.post(
            exchange.StartExchange(
                head=head,
                ticket_id='ticket',
                target=ADDRESS,
                caller=exchange.Endpoint(task=self.caller, xid=5),
            )
        )
        return exchange.Endpoint(task=self.task, xid=self.task._next_xid)

    @property
    def dials(self) -> int:
        return len(self.reactor.tcpClients)

    def connect(self) -> ClosableTransport:
        """Complete the last connection attempt."""
        factory = self.reactor.tcpClients[-1][2]
        transport = ClosableTransport()
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        return transport

    def refuse(self) -> None:
        """Fail the last connection attempt."""
        client = self.reactor.tcpClients[-1]
        client[2].clientConnectionFailed(
            None, failure.Failure(error.ConnectionRefusedError())
        )

    @property
    def outcome(self) -> Any:
        """Return the only outcome reported since the previous access."""
        (found,) = self.dispatch.of_type(dispatch.AttemptFinished)
        self.dispatch.received.clear()
        return found.outcome

    def summary(self) -> tuple[str, str, bool]:
        """Return error code, verdict and whether the slot is still held."""
        found = self.outcome
        code = found.error.code if found.error is not None else ''
        assert found.error is None or found.error.verdict is found.verdict
        return code, found.verdict.value, found.slot_held_until is not None


@pytest.fixture
def bench() -> Bench:
    return Bench()
