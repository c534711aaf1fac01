"""Pool the connections to upstreams within the limits of the grants."""

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
class _UpstreamConnections:
    """The connections to one upstream and their limit.

    ``open_count`` includes connections that are idle, connecting or closing.
    """

    limit: int = 0
    open_count: int = 0
    is_leaving: bool = False
    idle: collections.deque[Connection] = dataclasses.field(
        default_factory=collections.deque
    )


class ConnectionPool:
    """Opens, reuses and closes connections, grouped by upstream address."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._upstreams: dict[str, _UpstreamConnections] = {}

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """Set the granted slots; close idle connections above the limit."""
        for address in slots:
            self._upstreams.setdefault(address, _UpstreamConnections())
        for address, upstream in list(self._upstreams.items()):
            upstream.limit = const.CONNECTIONS_PER_SLOT * slots.get(address, 0)
            excess = upstream.open_count - upstream.limit
            for _ in range(min(excess, len(upstream.idle))):
                upstream.idle.popleft().abort()
            if address not in slots and not upstream.open_count:
                del self._upstreams[address]

    def set_leaving(self, address: str) -> None:
        """Close idle connections to a leaving upstream, now and on release."""
        upstream = self._upstreams.get(address)
        if upstream is None:
            return
        upstream.is_leaving = True
        self._close_idle(upstream)

    def count_open(self, address: str) -> int:
        """Return the number of connections to an upstream in any state."""
        upstream = self._upstreams.get(address)
        return upstream.open_count if upstream is not None else 0

    def take_idle(self, address: str) -> Connection | None:
        """Return an idle connection that is still open, if there is one."""
        upstream = self._upstreams.get(address)
        while upstream is not None and upstream.idle:
            conn = upstream.idle.pop()
            if conn.can_send():
                return conn
            conn.abort()
        return None

    def connect(self, address: str) -> 'defer.Deferred[Connection]':
        """Open a connection, or fail with ConnectionLimitError."""
        upstream = self._upstreams.get(address)
        if upstream is None or upstream.open_count >= upstream.limit:
            return defer.fail(
                errors.ConnectionLimitError(
                    'the granted slots allow no further connection',
                    upstream=address,
                )
            )
        upstream.open_count += 1
        factory = protocol.Factory()
        factory.noisy = False
        factory.protocol = lambda: Connection(
            lambda: self._on_connection_closed(upstream)
        )
        fut: defer.Deferred[Connection] = self._endpoint(address).connect(
            factory
        )

        def on_connect_failed(reason: failure.Failure) -> failure.Failure:
            self._on_connection_closed(upstream)
            return reason

        return fut.addErrback(on_connect_failed)

    def _endpoint(self, address: str) -> Any:
        """Return the endpoint for an address, host:port or [host]:port."""
        host, _, port = address.rpartition(':')
        host = host.strip('[]')
        endpoint_class: Any = endpoints.TCP4ClientEndpoint
        if ':' in host:
            endpoint_class = endpoints.TCP6ClientEndpoint
        timeout = const.CONNECT_TIMEOUT_MS / MILLIS_PER_SECOND
        return endpoint_class(self._reactor, host, int(port), timeout=timeout)

    def _on_connection_closed(self, upstream: _UpstreamConnections) -> None:
        """Decrement the number of open connections."""
        upstream.open_count -= 1

    def release(self, address: str, conn: Connection) -> None:
        """Return a connection for reuse, or close it if not reusable."""
        upstream = self._upstreams.get(address)
        if not conn.is_idle:
            conn.abort()
        elif (
            upstream is None
            or upstream.is_leaving
            or upstream.open_count > upstream.limit
        ):
            conn.abort()
        else:
            upstream.idle.append(conn)

    def close(self) -> None:
        """Close all idle connections."""
        for upstream in self._upstreams.values():
            self._close_idle(upstream)

    def _close_idle(self, upstream: _UpstreamConnections) -> None:
        """Close the idle connections to one upstream."""
        while upstream.idle:
            upstream.idle.popleft().abort()
