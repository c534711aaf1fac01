"""Minimal ``twisted.web`` reverse proxy, the baseline for the daemon.

It uses the same HTTP client as the daemon with an unlimited connection pool
and no checks, so the difference shows the overhead of the daemon.
"""

import collections
import itertools
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers
from twisted.web import resource
from twisted.web import server

HOST = '127.0.0.1'


class _BodyForwarder(protocol.Protocol):
    """Writes a response body to the caller."""

    def __init__(self, request: Any, on_done: Any) -> None:
        self._request = request
        self._on_done = on_done

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Write a chunk of the body."""
        self._request.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Finish the response and release the connection."""
        self._request.finish()
        self._on_done()


class Forwarder(resource.Resource):
    """Sends each request to the next upstream in turn."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any, ports: tuple[int, ...]) -> None:
        super().__init__()
        self._reactor = reactor
        self._ports = itertools.cycle(ports)
        self._idle: dict[int, collections.deque[Any]] = {
            port: collections.deque() for port in ports
        }

    def _connect(self, port: int) -> 'defer.Deferred[Any]':
        """Return an idle connection, or open a new one."""
        if self._idle[port]:
            return defer.succeed(self._idle[port].pop())
        endpoint: Any = endpoints.TCP4ClientEndpoint(self._reactor, HOST, port)
        factory = protocol.Factory.forProtocol(client.HTTP11ClientProtocol)
        fut: defer.Deferred[Any] = endpoint.connect(factory)
        return fut

    def render(self, request: Any) -> int:
        """Forward a request."""
        port = next(self._ports)
        fut = self._connect(port)
        fut.addCallback(self._send_request, request, port)
        return server.NOT_DONE_YET

    def _send_request(self, conn: Any, request: Any, port: int) -> Any:
        """Send the request to the upstream."""
        out: Any = client.Request
        message = out._construct(
            request.method,
            request.uri,
            http_headers.Headers(
                dict(request.requestHeaders.getAllRawHeaders())
            ),
            None,
            persistent=True,
        )
        fut = conn.request(message)
        fut.addCallback(self._forward_response, conn, request, port)
        return fut

    def _forward_response(
        self, res: Any, conn: Any, request: Any, port: int
    ) -> None:
        """Forward the response to the caller."""
        request.setResponseCode(res.code)
        for name, values in res.headers.getAllRawHeaders():
            request.responseHeaders.setRawHeaders(name, values)
        request.setHeader(b'Content-Length', b'%d' % res.length)
        res.deliverBody(
            _BodyForwarder(request, lambda: self._idle[port].append(conn))
        )


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--upstream', 'ports', type=int, multiple=True, required=True)
def main(port: int, ports: tuple[int, ...]) -> None:
    """Run the forwarder."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    site = server.Site(Forwarder(reactor, ports), reactor=reactor)
    reactor.listenTCP(port, site, interface=HOST)
    reactor.run()


if __name__ == '__main__':
    main()
