"""Fixtures that connect the peers services of daemons in memory."""

from collections.abc import Callable
import dataclasses
from typing import Any

import pytest

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import peers
from oriolestand_daemon.services.peers import _link
from oriolestand_daemon.services.peers import _task
from oriolestand_policy import tables


class Recorder(core.Task):
    """Record all messages that it receives."""

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.received: list[Any] = []

    def post(self, message: object) -> None:
        self.received.append(message)

    def of_type(self, message_type: type) -> list[Any]:
        return [m for m in self.received if isinstance(m, message_type)]


class BufferedTransport:
    """A transport that buffers output until the test delivers it."""

    def __init__(self) -> None:
        self.link: Any = None
        self.other: BufferedTransport | None = None
        self.buffer = b''
        self.is_closed = False

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def write(self, data: bytes) -> None:
        self.buffer += data

    def abortConnection(self) -> None:
        for end in (self, self.other):
            if end is not None and not end.is_closed:
                end.is_closed = True
                end.link.connectionLost()

    loseConnection = abortConnection

    def deliver(self, size: int | None = None) -> bool:
        """Deliver buffered bytes to the other end.

        Return whether there were any.

        :param size: maximum number of bytes, None for all.
        """
        # A size of None delivers the whole buffer, as no buffer reaches
        # 1 << 30 bytes.
        data, self.buffer = self.buffer[:size], self.buffer[size or 1 << 30 :]
        if data and self.other is not None and not self.other.is_closed:
            self.other.link.dataReceived(data)
        return bool(data)


class PeerDaemon:
    """The peers service of one daemon.

    The other services only record the messages that they receive.
    """

    def __init__(
        self, clock: core.ManualClock, name: str, seed: int, **extra: Any
    ) -> None:
        data = {
            'instance_id': name,
            'failure_domain': 'a',
            'region': 'r',
            **extra,
        }
        self.kernel = core.Kernel(clock, core.IdSource(seed=seed))
        self.task = _task.PeersTask(self.kernel, settings.parse_settings(data))
        self.kernel.register('peers', self.task)
        self.dispatch = Recorder(self.kernel, 'dispatch')
        self.tables = Recorder(self.kernel, 'tables')
        self.caller = Recorder(self.kernel, 'caller')
        self.events = Recorder(self.kernel, 'events')
        for task in (self.dispatch, self.tables):
            self.kernel.register(task.name, task)
        for event in (
            membership.PeerConnected,
            membership.PeerDisconnected,
            membership.UpstreamLeaving,
            peers.PeerLoadChanged,
        ):
            self.kernel.subscribe(event, self.events)

    def post_tables(self, version: int, *routes: str) -> None:
        """Announce tables with these routes."""
        self.task.post(
            config.TablesChanged(
                tables=tables.Tables(
                    version=version,
                    routes=tuple(
                        tables.Route(name=name, pool=f'{name}-{version}')
                        for name in routes
                    ),
                ),
                document=b'{}',
            )
        )

    def forward(self, peer: str, number: int, **changes: Any) -> None:
        """Forward a request; the number identifies ticket and exchange."""
        head = exchange.RequestHead(
            request_id=f'r{number}',
            method='GET',
            target='/',
            headers=(),
            route=tables.Route(name='main', pool='main'),
            generation=1,
            deadline=core.Millis(self.kernel.clock.now() + 5_000),
            team='t',
        )
        self.task.post(
            exchange.StartExchange(
                head=dataclasses.replace(head, **changes),
                ticket_id=f't{number}',
                target=peer,
                caller=exchange.Endpoint(task=self.caller, xid=number),
            )
        )

    def nth_open_message(self, index: int) -> exchange.OpenExchange:
        message: exchange.OpenExchange = self.dispatch.of_type(
            exchange.OpenExchange
        )[index]
        return message

    def outcomes(self) -> dict[str, Any]:
        return {
            m.ticket_id: m.outcome
            for m in self.dispatch.received
            if hasattr(m, 'outcome')
        }


class Net:
    """A network that connects daemons and delivers their bytes."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(start=10_000)
        self.transports: list[BufferedTransport] = []

    def add_daemon(self, name: str, seed: int = 0, **extra: Any) -> PeerDaemon:
        """Return a new daemon; the name is its instance id."""
        daemon = PeerDaemon(self.clock, name, seed or ord(name[0]), **extra)
        daemon.post_tables(1, 'main')
        return daemon

    def connect(
        self, dialer: PeerDaemon, other: PeerDaemon
    ) -> tuple[Any, Any]:
        """Open a connection without delivering any bytes."""
        ends = (BufferedTransport(), BufferedTransport())
        ends[0].other, ends[1].other = ends[1], ends[0]
        ends[0].link = _link.Link(dialer.task, dialed_address='127.0.0.1:1')
        ends[1].link = _link.Link(other.task)
        for end in ends:
            end.link.makeConnection(end)
        self.transports += ends
        return ends[0].link, ends[1].link

    def deliver_all(self) -> None:
        """Deliver bytes until all buffers are empty."""
        # With a generator, any() would stop at the first transport that has
        # output; the list makes each round deliver the output of all.
        while any([transport.deliver() for transport in self.transports]):
            pass

    def run(self, duration_ms: int) -> None:
        """Advance the clock in steps of 100 ms and deliver all bytes."""
        for _ in range(duration_ms // 100):
            self.clock.advance(100)
            self.deliver_all()


@pytest.fixture
def net() -> Net:
    return Net()


@pytest.fixture(scope='session')
def make_net() -> Callable[[], Net]:
    return Net
