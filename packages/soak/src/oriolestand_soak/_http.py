"""Minimal HTTP connections, whose faults the soak controls."""

import abc
from collections.abc import Callable
import dataclasses
from typing import Any
from urllib import parse

import httptools
import msgspec
from twisted.internet import defer
from twisted.internet import protocol

import oriolestand_core as core

CONNECT_TIMEOUT_MS = 1_000
MILLIS_PER_SECOND = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A response, or the way in which none is sent.

    ``is_reset``: the connection is reset instead.
    ``is_silent``: the connection delivers nothing any more.
    """

    status: int = 200
    body: bytes = b''
    is_reset: bool = False
    is_silent: bool = False


def json_reply(status: int, content: object) -> Reply:
    """Return a response with a JSON body."""
    return Reply(status=status, body=msgspec.json.encode(content))


class Handler(abc.ABC):
    """Answers the requests of one listener."""

    @abc.abstractmethod
    async def handle(self, request: Request) -> Reply:
        """Return the response to a request."""


class _ServerConnection(protocol.Protocol):
    """A connection that serves one request at a time."""

    def __init__(self, factory: 'ServerFactory') -> None:
        self._factory = factory
        self._parser: Any = None
        self._url = b''
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._is_silent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self._factory.connections.add(self)
        self._parser = httptools.HttpRequestParser(self)

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        """Remove the connection."""
        self._factory.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_message_begin(self) -> None:
        """Prepare for a request; called by the parser."""
        self._url = b''
        self._headers = {}
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Store a part of the URL; called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self._headers[name.decode().lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the request to the handler; called by the parser."""
        path, _, query = self._url.decode('latin-1').partition('?')
        request = Request(
            method=self._parser.get_method().decode(),
            path=path,
            query=dict(parse.parse_qsl(query, keep_blank_values=True)),
            headers=self._headers,
            body=bytes(self._body),
        )
        fut = defer.ensureDeferred(self._factory.handler.handle(request))
        fut.addCallbacks(self._send, self._factory.on_failed)

    def _send(self, reply: Reply) -> None:
        """Send a response."""
        self._is_silent = self._is_silent or reply.is_silent
        if self not in self._factory.connections or self._is_silent:
            return
        if reply.is_reset:
            self.reset()
            return
        head = (
            f'HTTP/1.1 {reply.status} -\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(reply.body)}\r\n\r\n'
        )
        transport: Any = self.transport
        transport.write(head.encode() + reply.body)

    def reset(self) -> None:
        """Reset the connection."""
        transport: Any = self.transport
        transport.abortConnection()


class ServerFactory(protocol.ServerFactory):
    """Creates the connections of one listener."""

    noisy = False

    def __init__(
        self, handler: Handler, on_failed: Callable[[Any], object]
    ) -> None:
        self.handler = handler
        self.on_failed = on_failed
        self.connections: set[_ServerConnection] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a connection."""
        return _ServerConnection(self)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a client saw of a request; a status of 0 means no response.

    ``why``: ``refused`` if no connection could be opened, ``broken`` if it
    ended before the response was complete, or ``timeout``.
    """

    status: int = 0
    body: bytes = b''
    why: str = ''


class ClientConnection(protocol.Protocol):
    """A client's connection, which stays open until the server closes it."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._fut: defer.Deferred[Outcome] | None = None
        self._parser: Any = None
        self._body = bytearray()
        self._timer: Any = None
        self.is_open = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress."""
        return self._fut is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Record that the connection is open."""
        self.is_open = True

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        """End the request in progress."""
        self.is_open = False
        self._finish(Outcome(why='broken'))

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_ms: int,
    ) -> 'defer.Deferred[Outcome]':
        """Send a request; the Deferred fires with the outcome."""
        fut: defer.Deferred[Outcome] = defer.Deferred()
        self._fut = fut
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines.append(f'Content-Length: {len(body)}')
        transport: Any = self.transport
        transport.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        self._timer = self._reactor.callLater(
            timeout_ms / MILLIS_PER_SECOND, self._on_timeout
        )
        return fut

    def _on_timeout(self) -> None:
        """End the request; the connection cannot be used again."""
        self._finish(Outcome(why='timeout'))
        self.close()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a response."""
        if self._fut is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """End the request with its response; called by the parser."""
        outcome = Outcome(
            status=self._parser.get_status_code(), body=bytes(self._body)
        )
        if not self._parser.should_keep_alive():
            self.close()
        self._finish(outcome)

    def _finish(self, outcome: Outcome) -> None:
        """End the request in progress, if any."""
        fut, self._fut = self._fut, None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if fut is not None:
            fut.callback(outcome)

    def close(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        transport: Any = self.transport
        transport.abortConnection()


async def connect(
    reactor: Any, host: str, port: int
) -> ClientConnection | None:
    """Open a connection; return None if that fails."""
    creator = protocol.ClientCreator(reactor, ClientConnection, reactor)
    try:
        conn: ClientConnection = await creator.connectTCP(
            host, port, timeout=CONNECT_TIMEOUT_MS / MILLIS_PER_SECOND
        )
    except OSError:
        return None
    except Exception as exc:
        # Twisted's connection errors have no common base class.
        core.get_logger('soak').debug('No connection', why=str(exc))
        return None
    return conn
