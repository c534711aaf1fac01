"""Serve the metrics over HTTP."""

from collections.abc import Callable
from typing import Any

from twisted.web import http

from oriolestand_fleet import _http


class _MetricsRequest(http.Request):
    """A request, at any path, that is answered with all metrics."""

    def process(self) -> None:
        """Respond with all metrics in the Prometheus text format."""
        if self.method not in (b'GET', b'HEAD'):
            is_known = self.method == b'POST'
            self.setResponseCode(
                http.NOT_ALLOWED if is_known else http.NOT_IMPLEMENTED
            )
            self.setHeader(b'allow', b'GET, HEAD')
            self.setHeader(b'content-length', b'0')
            self.finish()
            return
        body = self.channel.factory.render().encode()
        self.setHeader(b'content-type', b'text/plain; version=0.0.4')
        self.setHeader(b'content-length', b'%d' % len(body))
        self.write(body)
        self.finish()


class MetricsFactory(_http.QuietFactory):
    """Create connections on which the metrics are served."""

    def __init__(self, reactor: Any, render: Callable[[], str]) -> None:
        super().__init__(reactor=reactor)
        self.render = render

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a channel with the default idle timeout."""
        channel: Any = http.HTTPChannel()
        channel.requestFactory = _MetricsRequest
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel
