"""Send HTTP requests and read responses of bounded size."""

import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

MAX_CONNECTIONS = 4
MILLIS_PER_SECOND = 1000
JSON_HEADERS = http_headers.Headers({b'content-type': [b'application/json']})


class ResponseTooLongError(Exception):
    """Raised when the body of a response exceeds the size limit."""


class IncompleteBodyError(Exception):
    """Raised when a response ended before its body was complete."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """Status and complete body of a response."""

    status: int
    body: bytes


@interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Write the body of a request at once; the sender bounds its size."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(  # noqa: N802
        self, consumer: Any
    ) -> 'defer.Deferred[None]':
        """Write the body."""
        consumer.write(self._data)
        return defer.succeed(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""


class _Timeout:
    """Cancel a request after a time, once received data is read.

    The reactor calls due timers before it reads from sockets. After a pause
    of the process the response may have been received in time, so the request
    gets one more pass, and another one as long as each brings data.
    """

    def __init__(
        self, reactor: Any, request: 'defer.Deferred[Any]', delay_s: float
    ) -> None:
        self._reactor = reactor
        self._request = request
        self.has_received = False
        self._timer = reactor.callLater(delay_s, self._on_timeout)

    def _on_timeout(self) -> None:
        """Let the reactor read from its sockets once."""
        self.has_received = False
        self._timer = self._reactor.callLater(0, self._on_expiry)

    def _on_expiry(self) -> None:
        """Cancel the request unless the last pass brought data."""
        if self.has_received:
            self._on_timeout()
        else:
            self._request.cancel()

    def stop(self, result: Any) -> Any:
        """Stop the timer; return the result of the request unchanged."""
        if self._timer.active():
            self._timer.cancel()
        return result


class _BodyReader(protocol.Protocol):
    """Read the body of a response; ``done`` fails above ``limit`` bytes."""

    def __init__(self, limit: int, timeout: _Timeout) -> None:
        self._limit = limit
        self._timeout = timeout
        self._data = bytearray()
        self.done: defer.Deferred[bytes] = defer.Deferred(self._abort)

    def _abort(self, _: object) -> None:
        """Close the connection; called on cancellation or above the limit."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer received data, or fail with ResponseTooLongError."""
        if self.done.called:
            return
        self._timeout.has_received = True
        self._data += data
        if len(self._data) > self._limit:
            self.done.errback(ResponseTooLongError(self._limit))
            self._abort(None)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fire ``done`` with the body, or fail if it may be incomplete."""
        if self.done.called:
            return
        if reason.check(client.ResponseDone):
            self.done.callback(bytes(self._data))
        else:
            self.done.errback(IncompleteBodyError(reason.getErrorMessage()))


@interface.implementer(iweb.IAgentEndpointFactory)
class _AddressEndpoints:
    """Create endpoints that connect to IP addresses, without DNS."""

    def __init__(self, reactor: Any, timeout: float) -> None:
        self._reactor = reactor
        self._timeout = timeout

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return the endpoint for the host and port of a URL."""
        host = uri.host.decode('ascii').strip('[]')
        endpoint_class = (
            endpoints.TCP6ClientEndpoint
            if ':' in host
            else endpoints.TCP4ClientEndpoint
        )
        return endpoint_class(
            self._reactor, host, uri.port, timeout=self._timeout
        )


class HttpTransport:
    """Send requests to one server over a pool of connections.

    :param timeout_ms: limit for a whole exchange. Connecting may take half
        of it, so that an unreachable server is distinguished from a lost
        response.
    """

    def __init__(self, reactor: Any, base_url: str, timeout_ms: int) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip('/')
        self._timeout = timeout_ms / MILLIS_PER_SECOND
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        # Twisted must not retry by itself, because a write may have run.
        self._pool.retryAutomatically = False
        self._agent = client.Agent.usingEndpointFactory(
            reactor,
            _AddressEndpoints(reactor, self._timeout / 2),
            pool=self._pool,
        )

    def send(
        self, method: str, path: str, data: bytes | None, limit: int
    ) -> 'defer.Deferred[HttpResponse]':
        """Send a request and return the response.

        ``limit`` is the maximum size of the response's body in bytes.
        """
        producer = None if data is None else _BytesProducer(data)
        fut = self._agent.request(
            method.encode('ascii'),
            f'{self._base_url}{path}'.encode('ascii'),
            JSON_HEADERS,
            producer,
        )
        timeout = _Timeout(self._reactor, fut, self._timeout)
        fut.addCallback(self._read_body, limit, timeout)
        fut.addBoth(timeout.stop)
        return fut

    def _read_body(
        self, response: Any, limit: int, timeout: _Timeout
    ) -> 'defer.Deferred[HttpResponse]':
        """Read the complete body of a response."""
        timeout.has_received = True
        reader = _BodyReader(limit, timeout)
        response.deliverBody(reader)
        return reader.done.addCallback(
            lambda body: HttpResponse(status=response.code, body=body)
        )

    def close(self) -> object:
        """Close idle connections."""
        return self._pool.closeCachedConnections()
