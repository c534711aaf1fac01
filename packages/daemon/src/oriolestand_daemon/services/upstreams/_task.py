"""Own the connections to upstreams and the attempts on them."""

import collections
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.web import client

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.upstreams import _attempt
from oriolestand_daemon.services.upstreams import const

MILLIS_PER_SECOND = 1000

Connection = Any


class UpstreamsTask(core.Task):
    """Pool connections by upstream and run one attempt on each."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel, abort_grace_ms: int) -> None:
        super().__init__(kernel, const.DOMAIN)
        self.abort_grace_ms = abort_grace_ms
        self._idle: dict[str, collections.deque[Connection]] = (
            collections.defaultdict(collections.deque)
        )
        self._attempts: dict[int, _attempt.Attempt] = {}
        self._next_xid = 0

    @core.handles(exchange.StartExchange)
    def _on_start(self, msg: exchange.StartExchange) -> None:
        """Begin an attempt."""
        self._next_xid += 1
        attempt = _attempt.Attempt(self, self._next_xid, msg)
        self._attempts[attempt.xid] = attempt
        attempt.begin()

    @core.handles(exchange.BodyChunk)
    def _on_chunk(self, msg: exchange.BodyChunk) -> None:
        """Pass on a part of a request's body."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.send_body(msg.data)

    @core.handles(exchange.BodyEnd)
    def _on_body_end(self, msg: exchange.BodyEnd) -> None:
        """End a request's body."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.end_body()

    @core.handles(exchange.Credit)
    def _on_credit(self, msg: exchange.Credit) -> None:
        """Send more of an answer."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.add_credit(msg.size)

    @core.handles(exchange.Cancel)
    def _on_cancel(self, msg: exchange.Cancel) -> None:
        """Abort an attempt whose caller left."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.cancel()

    def forget(self, xid: int) -> None:
        """Drop an attempt that has ended."""
        self._attempts.pop(xid, None)

    def connect(self, address: str) -> 'defer.Deferred[Connection]':
        """Return an idle connection or open a new one."""
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if conn.state == 'QUIESCENT':
                return defer.succeed(conn)
        host, _, port = address.rpartition(':')
        endpoint: Any = endpoints.HostnameEndpoint(
            self.kernel.reactor,
            host.strip('[]'),
            int(port),
            timeout=const.CONNECT_TIMEOUT_MS / MILLIS_PER_SECOND,
        )
        factory = protocol.Factory.forProtocol(client.HTTP11ClientProtocol)
        fut: defer.Deferred[Connection] = endpoint.connect(factory)
        return fut

    def release(self, address: str, conn: Connection) -> None:
        """Keep a connection whose answer ended cleanly."""
        if conn.state != 'QUIESCENT':
            return
        idle = self._idle[address]
        if len(idle) >= const.IDLE_CONNECTIONS_PER_UPSTREAM:
            conn.transport.loseConnection()
            return
        idle.append(conn)

    def stop(self) -> object:
        """Close idle connections and abort what still runs."""
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        for idle in self._idle.values():
            for conn in idle:
                if conn.transport is not None:
                    conn.transport.loseConnection()
        return super().stop()
