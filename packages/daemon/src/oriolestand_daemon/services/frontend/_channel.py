"""Read requests from one caller's connection."""

import select
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon.services.frontend import _head
from oriolestand_daemon.services.frontend import _refusal
from oriolestand_daemon.services.frontend import _request
from oriolestand_daemon.services.frontend import _response
from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors

if TYPE_CHECKING:
    from oriolestand_daemon.services.frontend._task import FrontendTask


_FRAMING = {
    'content-length': b'Content-Length',
    'transfer-encoding': b'Transfer-Encoding',
}
"""Headers that say where a body ends, as the base spells them."""


def _ignore(_: bytes) -> None:
    """Drop what a caller sends after the final response."""


class CallerChannel(http.HTTPChannel):
    """Bound what a connection may send and close it without loss."""

    def __init__(self, owner: 'FrontendTask') -> None:
        super().__init__()
        channel: Any = self
        limit = owner.cfg.limits.max_header_bytes
        channel.totalHeadersSize = limit
        channel.MAX_LENGTH = limit
        self._owner = owner
        channel.requestFactory = lambda *_: _request.CallerRequest(self, owner)
        # A sweep of all connections replaces a timer per request.
        channel.timeOut = None
        self._head_since: core.Millis | None = None
        self._idle_since: core.Millis | None = None
        self._done_requests = 0
        self._swept_requests = 0
        self._is_body_paused = False
        self._is_lingering = False
        self._linger_timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Begin to read requests."""
        super().connectionMade()
        self._owner.channels.add(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tell the requests in progress that the caller left."""
        self._owner.channel_lost(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        super().connectionLost(reason)

    def checkPersistence(  # noqa: N802
        self, request: Any, version: bytes
    ) -> bool:
        """Return whether more requests may follow on the connection."""
        values = [v for name, v in request.pairs if name == 'connection']
        if values and 'close' in _head.connection_options(values):
            request.says_close = True
            return False
        return version == b'HTTP/1.1'

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Check and keep a header; return whether it was accepted.

        The base would copy each header into a container that turns names
        into another case and back, which shows in profiles.
        """
        channel: Any = self
        raw_name, colon, value = line.partition(b':')
        name = _head.decode_name(raw_name)
        if not colon or not name:
            self._respondToBadRequestAndDisconnect()
            return False
        text = value.strip(b' \t').decode('latin-1')
        if '\0' in text or '\r' in text or '\n' in text:
            self._respondToBadRequestAndDisconnect()
            return False
        framing = _FRAMING.get(name)
        if framing is not None and not channel._maybeChooseTransferDecoder(
            framing, value.strip(b' \t')
        ):
            return False
        channel.requests[-1].pairs.append((name, text))
        channel._receivedHeaderCount += 1
        if channel._receivedHeaderCount > channel.maxHeaders:
            self._respondToBadRequestAndDisconnect()
            return False
        return True

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Start the request whose head is complete."""
        channel: Any = self
        request = channel.requests[-1]
        channel.persistent = self.checkPersistence(request, channel._version)
        request.gotLength(channel.length)
        if channel._version == b'HTTP/1.1' and any(
            name == 'expect' and value.lower() == '100-continue'
            for name, value in request.pairs
        ):
            self._send100Continue()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that is longer than the whole head may be."""
        self.refuse(errors.HeadTooLargeError('the head is too large'))

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Refuse what the parser does not accept."""
        channel: Any = self
        if (
            channel._receivedHeaderSize > channel.totalHeadersSize
            or channel._receivedHeaderCount > channel.maxHeaders
        ):
            self.refuse(
                errors.HeadTooLargeError(
                    'the head is too large', limit=channel.totalHeadersSize
                )
            )
            return
        self.refuse(errors.BadRequestError('the request is malformed'))

    def _send100Continue(self) -> None:  # noqa: N802
        """Invite the body only once the server's side accepts it."""
        requests: Any = self.requests
        if requests and not self._is_lingering:
            requests[-1].expect_continue()

    def refuse(self, error: core.OriolestandError) -> None:
        """Answer a request that cannot be read and close the connection."""
        if self._is_lingering:
            return
        requests: Any = self.requests
        if requests and requests[-1].is_open:
            requests[-1].refuse_body(error)
            return
        transport: Any = self.transport
        body = _refusal.body_of(error)
        headers = _refusal.headers_of(error, len(body))
        headers.append(('Connection', 'close'))
        head = _response.encode(b'HTTP/1.1', error.http_status, headers)
        transport.write(head + body)
        self.linger()

    def linger(self) -> None:
        """Close for writing; drop what still comes for a bounded time."""
        if self._is_lingering:
            return
        self._is_lingering = True
        channel: Any = self
        channel.persistent = False
        channel.setTimeout(None)
        channel.clearLineBuffer()
        channel.dataReceived = channel.rawDataReceived = _ignore
        channel.lineReceived = _ignore
        transport: Any = self.transport
        channel._networkProducer.unregisterProducer()
        self._abort_later()
        if interfaces.ISSLTransport.providedBy(transport) or not hasattr(
            transport, 'loseWriteConnection'
        ):
            transport.loseConnection()
            return
        transport.resumeProducing()
        transport.loseWriteConnection()

    def _abort_later(self) -> None:
        """Bound the time in which the caller may read what is left."""
        transport: Any = self.transport
        self._linger_timer = self._owner.kernel.clock.call_later(
            const.LINGER_MS, transport.abortConnection
        )

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Go on with the next request, or drop the rest of this one."""
        channel: Any = self
        self._done_requests += 1
        if channel._handlingRequest:
            super().requestDone(request)
            return
        channel.requests.remove(request)
        self.linger()

    def pause_body(self, is_paused: bool) -> None:
        """Stop or resume reading for want of credit."""
        channel: Any = self
        self._is_body_paused = is_paused
        if is_paused:
            channel._networkProducer.pauseProducing()
        elif not channel._waitingForTransport:
            channel._networkProducer.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write again; read again unless there is no credit for it."""
        channel: Any = self
        channel._waitingForTransport = False
        if channel._requestProducer is not None:
            channel._requestProducer.resumeProducing()
        if not channel._handlingRequest and not self._is_body_paused:
            channel._networkProducer.resumeProducing()

    def close_kept(self) -> None:
        """Close a connection that waits for another request.

        The first request on a new connection may be on its way.
        """
        channel: Any = self
        if self._done_requests and not channel.requests:
            self.close()

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        if not self._is_lingering:
            self._is_lingering = True
            channel: Any = self
            channel.loseConnection()

    def sweep(self, now: core.Millis) -> None:
        """Refuse a head that is overdue; free what an absent caller holds."""
        channel: Any = self
        if self._is_lingering:
            return
        if self._is_body_paused or channel._dataBuffer:
            # Without reading, the end of the connection goes unnoticed.
            if channel.requests and _is_hung_up(channel.transport):
                channel.transport.abortConnection()
            return
        if channel._receivedHeaderSize or (
            channel.line_mode and channel._buffer
        ):
            self._sweep_head(now)
            return
        self._head_since = None
        is_idle = not channel.requests
        if not is_idle or self._done_requests != self._swept_requests:
            self._swept_requests = self._done_requests
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= self._owner.cfg.limits.idle_timeout_ms:
            self._is_lingering = True
            # A caller that reads nothing would keep the rest in memory.
            self._abort_later()
            channel.loseConnection()

    def _sweep_head(self, now: core.Millis) -> None:
        """Refuse a head that is overdue."""
        if self._head_since is None:
            self._head_since = now
        elif now - self._head_since >= self._owner.cfg.limits.head_timeout_ms:
            self.refuse(errors.HeadTimeoutError('the head came too slowly'))


class CallerFactory(protocol.Factory):
    """Make the channel of each caller's connection."""

    noisy = False

    def __init__(self, owner: 'FrontendTask') -> None:
        self._owner = owner

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Return the channel of a new connection."""
        channel: Any = CallerChannel(self._owner)
        channel.factory = self
        return channel

    def log(self, request: Any) -> None:
        """Write no access log; telemetry counts requests."""


def _is_hung_up(transport: Any) -> bool:
    """Return whether the other side closed, without reading."""
    fileno = getattr(transport, 'fileno', None)
    if fileno is None:
        return bool(getattr(transport, 'is_hung_up', False))
    poll = select.poll()
    poll.register(fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
