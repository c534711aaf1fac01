"""HTTP connections of callers and the load balancer."""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.web import http

import oriolestand_core as core
from oriolestand_fleet import _http
from oriolestand_fleet.services.frontend import _arrivals

TOO_LARGE = (
    b'HTTP/1.1 413 Request Entity Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class Channel(http.HTTPChannel):
    """A connection that tracks whether it is idle."""

    is_closing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to the factory's set."""
        super().connectionMade()
        self.factory.channels.add(self)
        self.idle_since = self.factory.now()

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        """Remove the connection from the factory's set."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Record when the connection became idle."""
        self.idle_since = self.factory.now()
        super().requestDone(request)

    def close(self) -> None:
        """Close the connection after sending buffered data."""
        if not self.is_closing:
            self.is_closing = True
            self.loseConnection()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return not self.requests


class FrontendRequest(http.Request):
    """A request that is passed to the factory's handler when complete.

    ``arrival_ms`` is the earliest time at which its first line arrived.
    """

    def __init__(self, channel: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(channel, *args, **kwargs)
        self.arrival_ms: int = channel.factory.arrivals.earliest_ms()

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body over the size limit before reading it."""
        if length is not None and length > self.channel.factory.body_limit():
            transport: Any = self.channel.transport
            transport.write(TOO_LARGE)
            self.channel.loseConnection()
        super().gotLength(length)

    def process(self) -> None:
        """Pass the complete request to the handler."""
        self.channel.factory.handle(self)


class FrontendFactory(_http.QuietFactory):
    """Create connections and track the open ones."""

    def __init__(
        self,
        clock: core.Clock,
        reactor: Any,
        handle: Callable[[FrontendRequest], None],
        body_limit: Callable[[], int],
    ) -> None:
        super().__init__(reactor=reactor)
        self.arrivals = _arrivals.Arrivals(clock)
        self.channels: set[Channel] = set()
        self.handle = handle
        self.body_limit = body_limit
        self._clock = clock

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a channel with the configured idle timeout."""
        channel: Any = Channel()
        channel.requestFactory = FrontendRequest
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def now(self) -> int:
        """Return the time of the daemon's clock in milliseconds."""
        return self._clock.now()
