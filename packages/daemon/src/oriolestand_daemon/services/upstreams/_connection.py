"""Provide an HTTP/1.1 connection to an upstream."""

from collections.abc import Callable
import socket
from typing import Any

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

Response = Any


class UpstreamConnection(client.HTTP11ClientProtocol):
    """An HTTP/1.1 connection that detects whether it can be reused.

    Untyped private attributes of the base class are accessed through
    ``conn``, an alias of type Any.

    :param on_lost: called once after the connection is closed.
    """

    def __init__(self, on_lost: Callable[[], None]) -> None:
        super().__init__()
        self._on_connection_lost = on_lost
        # Twisted drops its parser at the end of a response, but the headers
        # of the response are needed later.
        self._last_parser: Any = None

    def send(
        self, request: Any, on_early_response: Callable[[Response], object]
    ) -> 'defer.Deferred[Response]':
        """Send a request; the result is the response.

        If the head of the response arrives while the request body is still
        being sent, ``on_early_response`` is called with the response.
        """
        fut: defer.Deferred[Response] = self.request(request)
        conn: Any = self
        self._last_parser = conn._parser
        if conn._state == 'TRANSMITTING' and conn._responseDeferred:

            def deliver_early(response: Response) -> Response:
                if conn._state == 'TRANSMITTING':
                    on_early_response(response)
                return response

            conn._responseDeferred.addCallback(deliver_early)
        return fut

    @property
    def connection_headers(self) -> list[bytes]:
        """Return the Connection headers of the last response."""
        if self._last_parser is None:
            return []
        headers = self._last_parser.connHeaders
        values: list[bytes] = headers.getRawHeaders(b'connection', [])
        return values

    @property
    def is_chunked(self) -> bool:
        """Return whether the last response uses chunked encoding."""
        if self._last_parser is None:
            return False
        headers = self._last_parser.connHeaders
        return bool(headers.hasHeader(b'transfer-encoding'))

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress and reuse is allowed."""
        conn: Any = self
        return bool(conn._state == 'QUIESCENT')

    def can_send(self) -> bool:
        """Return whether a request can be sent on the connection.

        It must be idle and open, with no unread input. The socket is checked,
        because the reactor may not have detected yet that the upstream has
        closed it. A request written to such a connection would get the
        verdict may_have_run.
        """
        if not self.is_idle:
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
        """Close the connection immediately and discard pending output."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _finishResponse(self, extra_data: bytes) -> None:  # noqa: N802
        """End a response and determine whether the connection is reusable.

        It is not reusable if extra bytes follow the response or the upstream
        announces that it will close the connection.
        """
        conn: Any = self
        current = conn._currentRequest
        if current is not None and (extra_data or self._announces_close()):
            current.persistent = False
        super()._finishResponse(extra_data)

    def _announces_close(self) -> bool:
        """Return whether the upstream will close after this response."""
        return any(b'close' in v.lower() for v in self.connection_headers)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Call ``on_lost`` after the connection is closed."""
        super().connectionLost(reason)
        self._on_connection_lost()
