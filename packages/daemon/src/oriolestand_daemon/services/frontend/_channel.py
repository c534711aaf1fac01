"""Read requests from the connection of a caller."""

import select
from typing import Any

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

import oriolestand_core as core
from oriolestand_daemon.services.frontend import _head
from oriolestand_daemon.services.frontend import _owner
from oriolestand_daemon.services.frontend import _refusal
from oriolestand_daemon.services.frontend import _request
from oriolestand_daemon.services.frontend import _request_channel
from oriolestand_daemon.services.frontend import _response
from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors

_FRAMING_HEADERS = {
    'content-length': b'Content-Length',
    'transfer-encoding': b'Transfer-Encoding',
}
"""Headers that define the body length, in the spelling of the base class."""

Owner = _owner.ChannelOwner[_request.CallerRequest, 'CallerChannel']


def _discard(_: bytes) -> None:
    """Discard bytes received after the final response."""


class CallerChannel(_request_channel.RequestChannel):
    """The connection of a caller.

    Enforces limits on heads and idle time, and closes without losing a
    response that is still being sent. Untyped private attributes of the base
    class are accessed through ``channel``, an alias of type Any.
    """

    def __init__(self, owner: Owner) -> None:
        super().__init__()
        channel: Any = self
        limit = owner.cfg.limits.max_header_bytes
        channel.totalHeadersSize = limit
        channel.MAX_LENGTH = limit
        self._owner = owner
        channel.requestFactory = lambda *_: _request.CallerRequest(self, owner)
        # Timeouts are checked by a sweep over all connections, which is
        # cheaper than a timer per request.
        channel.timeOut = None
        self._head_started_at: core.Millis | None = None
        self._idle_since: core.Millis | None = None
        self._completed_requests = 0
        self._completed_at_last_sweep = 0
        self._is_body_paused = False
        self._is_closing = False
        self._linger_timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and start reading requests."""
        super().connectionMade()
        self._owner.channels.add(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancel the requests in progress because the caller has left."""
        self._owner.on_channel_lost(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        super().connectionLost(reason)

    def checkPersistence(  # noqa: N802
        self, request: Any, version: bytes
    ) -> bool:
        """Return whether the connection may carry further requests."""
        values = [v for name, v in request.pairs if name == 'connection']
        if values and 'close' in _head.connection_options(values):
            request.closes_connection = True
            return False
        return version == b'HTTP/1.1'

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Validate and store a header; return whether it was accepted.

        Overrides the base method, which converts the case of each name
        twice to store it; profiles showed that cost.
        """
        channel: Any = self
        raw_name, colon, value = line.partition(b':')
        name = _head.decode_header_name(raw_name)
        if not colon or not name:
            self._respondToBadRequestAndDisconnect()
            return False
        text = value.strip(b' \t').decode('latin-1')
        if '\0' in text or '\r' in text or '\n' in text:
            self._respondToBadRequestAndDisconnect()
            return False
        framing = _FRAMING_HEADERS.get(name)
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
        """Start processing the request whose head is complete."""
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
        """Refuse a line that exceeds the limit of the whole head."""
        self.refuse(errors.HeadTooLargeError('a line of the head is too long'))

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Refuse a request that cannot be parsed or exceeds a limit."""
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
        """Defer 100 Continue until the server side accepts the body."""
        requests: Any = self.requests
        if requests and not self._is_closing:
            requests[-1].expect_continue()

    def refuse(self, error: core.OriolestandError) -> None:
        """Respond with an error and close the connection."""
        if self._is_closing:
            return
        requests: Any = self.requests
        if requests and requests[-1].is_open:
            requests[-1].refuse_body(error)
            return
        transport: Any = self.transport
        body = _refusal.encode_body(error)
        headers = _refusal.build_headers(error, len(body))
        headers.append(('Connection', 'close'))
        head = _response.encode(b'HTTP/1.1', error.http_status, headers)
        transport.write(head + body)
        self.linger()

    def linger(self) -> None:
        """Close for writing and discard input for at most ``LINGER_MS``."""
        if self._is_closing:
            return
        self._is_closing = True
        channel: Any = self
        channel.persistent = False
        channel.setTimeout(None)
        channel.clearLineBuffer()
        channel.dataReceived = channel.rawDataReceived = _discard
        channel.lineReceived = _discard
        transport: Any = self.transport
        channel._networkProducer.unregisterProducer()
        self._schedule_abort()
        if interfaces.ISSLTransport.providedBy(transport) or not hasattr(
            transport, 'loseWriteConnection'
        ):
            transport.loseConnection()
            return
        transport.resumeProducing()
        transport.loseWriteConnection()

    def _schedule_abort(self) -> None:
        """Abort the connection if it is not closed after ``LINGER_MS``."""
        transport: Any = self.transport
        self._linger_timer = self._owner.kernel.clock.call_later(
            const.LINGER_MS, transport.abortConnection
        )

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Handle the next request, or close if this one was not read fully."""
        channel: Any = self
        self._completed_requests += 1
        if channel._handlingRequest:
            super().requestDone(request)
            return
        channel.requests.remove(request)
        self.linger()

    def set_body_paused(self, is_paused: bool) -> None:
        """Stop or resume reading a body, depending on credit."""
        channel: Any = self
        self._is_body_paused = is_paused
        if is_paused:
            channel._networkProducer.pauseProducing()
        elif not channel._waitingForTransport:
            channel._networkProducer.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing, and reading if credit allows it."""
        channel: Any = self
        channel._waitingForTransport = False
        if channel._requestProducer is not None:
            channel._requestProducer.resumeProducing()
        if not channel._handlingRequest and not self._is_body_paused:
            channel._networkProducer.resumeProducing()

    def close_if_idle(self) -> None:
        """Close the connection if it waits for another request.

        A connection that has not served a request stays open, because its
        first request may be in transit.
        """
        channel: Any = self
        if self._completed_requests and not channel.requests:
            self.close()

    def close(self) -> None:
        """Close the connection after pending output is sent."""
        if not self._is_closing:
            self._is_closing = True
            channel: Any = self
            channel.loseConnection()

    def sweep(self, now: core.Millis) -> None:
        """Enforce the head and idle timeouts; abort if the caller has left."""
        channel: Any = self
        if self._is_closing:
            return
        if self._is_body_paused or channel._dataBuffer:
            # While reading is paused, the reactor does not detect a close.
            if channel.requests and _is_closed_by_caller(channel.transport):
                channel.transport.abortConnection()
            return
        if channel._receivedHeaderSize or (
            channel.line_mode and channel._buffer
        ):
            self._sweep_head(now)
            return
        self._head_started_at = None
        is_idle = not channel.requests
        if (
            not is_idle
            or self._completed_requests != self._completed_at_last_sweep
        ):
            self._completed_at_last_sweep = self._completed_requests
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= self._owner.cfg.limits.idle_timeout_ms:
            self._is_closing = True
            # Pending output of a caller that does not read stays in memory
            # until the connection is aborted.
            self._schedule_abort()
            channel.loseConnection()

    def _sweep_head(self, now: core.Millis) -> None:
        """Refuse a head that is not complete within the timeout."""
        if self._head_started_at is None:
            self._head_started_at = now
        elif (
            now - self._head_started_at
            >= self._owner.cfg.limits.head_timeout_ms
        ):
            self.refuse(
                errors.HeadTimeoutError('the head was not received in time')
            )


class CallerFactory(protocol.Factory):
    """Create the channel of each new connection."""

    noisy = False

    def __init__(self, owner: Owner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Return the channel of a new connection."""
        channel: Any = CallerChannel(self._owner)
        channel.factory = self
        return channel

    def log(self, request: Any) -> None:
        """Do nothing; telemetry replaces the access log."""


def _is_closed_by_caller(transport: Any) -> bool:
    """Return whether the caller has closed, without reading input."""
    fileno = getattr(transport, 'fileno', None)
    if fileno is None:
        return bool(getattr(transport, 'is_hung_up', False))
    poll = select.poll()
    poll.register(fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
