"""Keep connections to upstreams within what the grants allow."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.python import failure

from oriolestand_daemon.services.upstreams import _connection
from oriolestand_daemon.services.upstreams import const
from oriolestand_daemon.services.upstreams import errors

MILLIS_PER_SECOND = 1000

Connection = _connection.UpstreamConnection


@dataclasses.dataclass(slots=True, kw_only=True)
class _Upstream:
    """Count the connections to one upstream.

    ``opened`` includes those that are idle, connecting or closing.
    """

    limit: int = 0
    opened: int = 0
    is_leaving: bool = False
    idle: collections.deque[Connection] = dataclasses.field(
        default_factory=collections.deque
    )


class ConnectionPool:
    """Open, reuse and close connections by upstream address."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._upstreams: dict[str, _Upstream] = {}

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """Replace the granted slots; close idle connections above them."""
        for address in slots:
            self._upstreams.setdefault(address, _Upstream())
        for address, upstream in list(self._upstreams.items()):
            upstream.limit = const.CONNECTIONS_PER_SLOT * slots.get(address, 0)
            excess = upstream.opened - upstream.limit
            for _ in range(min(excess, len(upstream.idle))):
                upstream.idle.popleft().abort()
            if address not in slots and not upstream.opened:
                del self._upstreams[address]

    def set_leaving(self, address: str) -> None:
        """Keep no idle connection to an upstream that leaves."""
        upstream = self._upstreams.get(address)
        if upstream is None:
            return
        upstream.is_leaving = True
        self._close_idle(upstream)

    def opened(self, address: str) -> int:
        """Return the number of connections to an upstream, of any state."""
        upstream = self._upstreams.get(address)
        return upstream.opened if upstream is not None else 0

    def take_idle(self, address: str) -> Connection | None:
        """Return an idle connection that is still open."""
        upstream = self._upstreams.get(address)
        while upstream is not None and upstream.idle:
            conn = upstream.idle.pop()
            if conn.is_usable():
                return conn
            conn.abort()
        return None

    def connect(self, address: str) -> 'defer.Deferred[Connection]':
        """Open a connection, or fail with ConnectionLimitError."""
        upstream = self._upstreams.get(address)
        if upstream is None or upstream.opened >= upstream.limit:
            return defer.fail(
                errors.ConnectionLimitError(
                    'the granted slots allow no further connection',
                    upstream=address,
                )
            )
        upstream.opened += 1
        factory = protocol.Factory()
        factory.noisy = False
        factory.protocol = lambda: Connection(lambda: self._closed(upstream))
        fut: defer.Deferred[Connection] = self._endpoint(address).connect(
            factory
        )

        def failed(reason: failure.Failure) -> failure.Failure:
            self._closed(upstream)
            return reason

        return fut.addErrback(failed)

    def _endpoint(self, address: str) -> Any:
        """Return where to connect; addresses are host:port or [host]:port."""
        host, _, port = address.rpartition(':')
        host = host.strip('[]')
        kind: Any = endpoints.TCP4ClientEndpoint
        if ':' in host:
            kind = endpoints.TCP6ClientEndpoint
        timeout = const.CONNECT_TIMEOUT_MS / MILLIS_PER_SECOND
        return kind(self._reactor, host, int(port), timeout=timeout)

    def _closed(self, upstream: _Upstream) -> None:
        """Count a connection less."""
        upstream.opened -= 1

    def release(self, address: str, conn: Connection) -> None:
        """Keep a connection whose response ended cleanly, or close it."""
        upstream = self._upstreams.get(address)
        if not conn.is_quiescent:
            conn.abort()
        elif (
            upstream is None
            or upstream.is_leaving
            or upstream.opened > upstream.limit
        ):
            conn.abort()
        else:
            upstream.idle.append(conn)

    def close(self) -> None:
        """Close all idle connections."""
        for upstream in self._upstreams.values():
            self._close_idle(upstream)

    def _close_idle(self, upstream: _Upstream) -> None:
        """Close the idle connections to one upstream."""
        while upstream.idle:
            upstream.idle.popleft().abort()
