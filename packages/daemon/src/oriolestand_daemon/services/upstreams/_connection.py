"""Speak HTTP/1.1 on one connection to an upstream."""

from collections.abc import Callable
import socket
from typing import Any

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

Response = Any


class UpstreamConnection(client.HTTP11ClientProtocol):
    """Tell whether the connection can carry another request.

    :param on_lost: called once when the connection is closed.
    """

    def __init__(self, on_lost: Callable[[], None]) -> None:
        super().__init__()
        self._on_lost = on_lost
        self._last_parser: Any = None

    def send(
        self, request: Any, on_early: Callable[[Response], object]
    ) -> 'defer.Deferred[Response]':
        """Send a request; the Deferred has the response.

        ``on_early`` is called instead when the response's head comes while
        the request's body is still being sent.
        """
        fut: defer.Deferred[Response] = self.request(request)
        conn: Any = self
        self._last_parser = conn._parser
        if conn._state == 'TRANSMITTING' and conn._responseDeferred:

            def early(response: Response) -> Response:
                if conn._state == 'TRANSMITTING':
                    on_early(response)
                return response

            conn._responseDeferred.addCallback(early)
        return fut

    @property
    def connection_headers(self) -> list[bytes]:
        """Return the values of the last response's Connection headers."""
        if self._last_parser is None:
            return []
        headers = self._last_parser.connHeaders
        values: list[bytes] = headers.getRawHeaders(b'connection', [])
        return values

    @property
    def is_chunked(self) -> bool:
        """Return whether the last response has chunks."""
        if self._last_parser is None:
            return False
        headers = self._last_parser.connHeaders
        return bool(headers.hasHeader(b'transfer-encoding'))

    @property
    def is_quiescent(self) -> bool:
        """Return whether the last response ended cleanly."""
        conn: Any = self
        return bool(conn._state == 'QUIESCENT')

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has no input.

        The upstream may have closed it without the reactor knowing yet; a
        request written then would have to count as one that may have run.
        """
        if not self.is_quiescent:
            return False
        sock = getattr(self.transport, 'socket', None)
        if sock is None:
            return True
        try:
            sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self) -> Any:
        """Close the connection at once, without writing what waits."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        """End a response; bytes after its end make reuse unsafe."""
        conn: Any = self
        current = conn._currentRequest
        if current is not None and (rest or self._says_close()):
            current.persistent = False
        super()._finishResponse(rest)

    def _says_close(self) -> bool:
        """Return whether the upstream closes after this response."""
        return any(b'close' in v.lower() for v in self.connection_headers)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tell the pool."""
        super().connectionLost(reason)
        self._on_lost()
