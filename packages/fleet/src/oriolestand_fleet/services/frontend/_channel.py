"""Serve HTTP connections of callers."""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.web import http

import oriolestand_core as core

TOO_LARGE = (
    b'HTTP/1.1 413 Request Entity Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class Channel(http.HTTPChannel):
    """Hold one connection and know whether a request is in progress."""

    is_closing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the factory."""
        super().connectionMade()
        self.factory.channels.add(self)
        self.idle_since = self.factory.now()

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        """Leave the factory."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Note that the connection is idle."""
        self.idle_since = self.factory.now()
        super().requestDone(request)

    def close(self) -> None:
        """Close the connection once what was written has been sent."""
        if not self.is_closing:
            self.is_closing = True
            self.loseConnection()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return not self.requests


class FrontRequest(http.Request):
    """Hand a whole request to the factory's handler."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body that is over the limit before it is read."""
        if length is not None and length > self.channel.factory.body_limit():
            transport: Any = self.channel.transport
            transport.write(TOO_LARGE)
            self.channel.loseConnection()
        super().gotLength(length)

    def process(self) -> None:
        """Pass the request on."""
        self.channel.factory.handle(self)


class FrontFactory(http.HTTPFactory):
    """Own the open connections of callers."""

    noisy = False

    def __init__(
        self,
        clock: core.Clock,
        reactor: Any,
        handle: Callable[[FrontRequest], None],
        body_limit: Callable[[], int],
    ) -> None:
        super().__init__(reactor=reactor)
        self.channels: set[Channel] = set()
        self.handle = handle
        self.body_limit = body_limit
        self._clock = clock

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a channel with the configured idle timeout."""
        channel: Any = Channel()
        channel.requestFactory = FrontRequest
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: Any) -> None:
        """Write no access log; the decisions are logged."""

    def now(self) -> int:
        """Return the time of the daemon's clock."""
        return self._clock.now()
