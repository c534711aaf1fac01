"""Fixtures with a frontend; the other services only record messages."""

import json
from typing import Any

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.frontend import _channel
from oriolestand_daemon.services.frontend import _task
from oriolestand_policy import tables

ROUTES = (
    tables.Route(name='all', pool='main', timeout_ms=5_000),
    tables.Route(
        name='safe',
        pool='main',
        match=tables.Match(path_prefix='/safe'),
        idempotent=True,
    ),
)


class RecordingTransport(testing.StringTransport):
    """A transport that records how the daemon closes the connection."""

    aborted = False
    is_write_closed = False
    is_hung_up = False

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing; there is no socket."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_write_closed = True


class Recorder(core.Task):
    """Record all messages that it receives."""

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.received: list[Any] = []

    @core.handles(exchange.OpenExchange)
    @core.handles(exchange.CancelRequest)
    @core.handles(exchange.BodyChunk)
    @core.handles(exchange.BodyEnd)
    @core.handles(exchange.Credit)
    @core.handles(exchange.Cancel)
    def _on_message(self, msg: object) -> None:
        self.received.append(msg)

    def of_type(self, message_type: type) -> list[Any]:
        return [m for m in self.received if isinstance(m, message_type)]


class Bench:
    """A frontend with one connection of a caller.

    The other services only record the messages that they receive.
    """

    def __init__(self, **limits: int) -> None:
        cfg = settings.parse_settings(
            {
                'instance_id': 'a',
                'failure_domain': 'd',
                'region': 'r',
                'limits': limits,
                'telemetry': {'sample_rate': 0},
            }
        )
        self.clock = core.ManualClock()
        reactor = testing.MemoryReactorClock()
        self.kernel = core.Kernel(self.clock, core.IdSource(1), reactor)
        self.dispatch = Recorder(self.kernel, 'dispatch')
        self.kernel.register('dispatch', self.dispatch)
        self.idempotency = Recorder(self.kernel, 'idempotency')
        self.kernel.register('idempotency', self.idempotency)
        self.server = Recorder(self.kernel, 'upstreams')
        self.task = _task.FrontendTask(self.kernel, cfg)
        self.task.start()
        self.kernel.publish(
            config.TablesChanged(
                tables=tables.Tables(version=1, routes=ROUTES), document=b''
            )
        )
        self.channel: Any = None
        self.transport = self.connect()

    def connect(self) -> RecordingTransport:
        self.channel = _channel.CallerFactory(self.task).buildProtocol(None)
        self.transport = RecordingTransport()
        self.channel.makeConnection(self.transport)
        return self.transport

    def send(self, data: bytes) -> None:
        self.channel.dataReceived(data)

    def leave(self) -> None:
        self.channel.connectionLost(failure.Failure(error.ConnectionDone()))

    @property
    def opened(self) -> exchange.OpenExchange:
        received = (*self.idempotency.received, *self.dispatch.received)
        found = [m for m in received if isinstance(m, exchange.OpenExchange)]
        return found[-1]

    def accept(self, credit: int = 0) -> None:
        xid = self.opened.caller.xid
        server = exchange.Endpoint(task=self.server, xid=7)
        self.task.post(exchange.ExchangeAccepted(xid=xid, server=server))
        if credit:
            self.task.post(exchange.Credit(xid=xid, size=credit))

    def answer(self, *chunks: bytes, **headers: str) -> None:
        xid = self.opened.caller.xid
        pairs = tuple((k.replace('_', '-'), v) for k, v in headers.items())
        self.task.post(
            exchange.ResponseHead(xid=xid, status=200, headers=pairs)
        )
        for data in chunks:
            self.task.post(exchange.ResponseChunk(xid=xid, data=data))

    def end(self) -> None:
        self.task.post(exchange.ResponseEnd(xid=self.opened.caller.xid))

    def fail(self, exc: core.OriolestandError) -> None:
        xid = self.opened.caller.xid
        self.task.post(exchange.ExchangeFailed(xid=xid, error=exc))

    def parse_refusal(self) -> tuple[int, str, str]:
        """Return status, code and verdict of the error response."""
        head, _, body = self.transport.value().partition(b'\r\n\r\n')
        data = json.loads(body)
        return int(head.split()[1]), data['code'], data['verdict']


@pytest.fixture
def bench() -> Bench:
    return Bench(max_body_bytes=200_000, head_timeout_ms=1_000)
