"""Read one caller's request and write its response."""

import collections
from typing import Any

from twisted.python import failure
from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.frontend import _head
from oriolestand_daemon.services.frontend import _owner
from oriolestand_daemon.services.frontend import _refusal
from oriolestand_daemon.services.frontend import _request_channel
from oriolestand_daemon.services.frontend import _response
from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors
from oriolestand_policy import tables

CREDIT_STEP_BYTES = exchange.CREDIT_BYTES // 4
"""Credit is returned in steps of this size, which saves messages."""


class CallerRequest(http.Request):
    """A request of a caller and its response.

    Starts an exchange when the head is complete and streams the body.
    Untyped private attributes of the base classes are accessed through
    aliases of type Any.
    """

    def __init__(
        self,
        channel: _request_channel.RequestChannel,
        owner: '_owner.RequestOwner[CallerRequest]',
    ) -> None:
        # The base constructor is not called: it reads both addresses from
        # the transport, which costs more than all assignments below.
        self.notifications = []
        self.channel = channel
        self.pairs: list[tuple[str, str]] = []
        self.queued = False
        self.closes_connection = False
        self.ticket_id = ''
        self.service = ''
        self.body_length: int | None = 0
        self.status = 0
        self.route: tables.Route | None = None
        self.started = core.Millis(0)
        self.trace: telemetry.TraceContext | None = None
        self.parent_id = ''
        self.traceparent = ''
        self._owner = owner
        self._channel = channel
        self._xid = 0
        self._server: exchange.Endpoint | None = None
        self._credit = 0
        self._pending: collections.deque[bytes] = collections.deque()
        self._is_body_received = False
        self._is_body_sent = False
        self._is_closed = False
        self._received_bytes = 0
        self._is_paused = False
        self._is_continue_pending = False
        self._is_credit_withheld = False
        self._unreturned_credit = 0
        self._remaining_length: int | None = None
        self._has_body = True
        self._is_chunked = False
        self._buffered_chunks: list[bytes] | None = None
        self._buffered_headers: list[tuple[str, str]] = []

    @property
    def is_open(self) -> bool:
        """Return whether an exchange has been opened or refused."""
        return self._xid != 0 or self._is_closed

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing; cookies are forwarded to the upstream unparsed."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Open the exchange if the request has a body.

        Without a body, the exchange is opened by ``requestReceived``, as no
        response may be written before the channel regards the request as
        complete.
        """
        channel: Any = self._channel
        self.method = channel._command
        self.uri = channel._path
        self.clientproto = channel._version
        self.body_length = length
        if length != 0:
            self._open_exchange()

    def _open_exchange(self) -> None:
        """Validate the head and open the exchange."""
        try:
            head = _head.parse(
                self.method, self.uri, self.clientproto, self.pairs
            )
            self._check_length()
            self._xid = self._owner.open_exchange(self, head)
        except core.OriolestandError as exc:
            self.on_failed(exc)

    def record_start(
        self,
        route: tables.Route,
        now: core.Millis,
        trace: telemetry.RequestTrace,
    ) -> None:
        """Store the route, start time and trace for telemetry."""
        self.route = route
        self.started = now
        self.trace = trace.context
        self.parent_id = trace.parent_id
        self.traceparent = trace.traceparent

    def _check_length(self) -> None:
        """Raise an error if the declared body length is not acceptable."""
        if self.body_length is None:
            if self.clientproto != b'HTTP/1.1':
                raise errors.BadRequestError(
                    'HTTP/1.0 does not support chunked bodies'
                )
            return
        limit = self._owner.cfg.limits.max_body_bytes
        if self.body_length > limit:
            raise errors.BodyTooLargeError(
                'the body is too large', limit=limit
            )

    def expect_continue(self) -> None:
        """Send 100 Continue once the server side grants credit."""
        if self._is_closed or self.body_length == 0:
            return
        self._is_continue_pending = True
        if self._credit > 0:
            self._send_continue()

    def _send_continue(self) -> None:
        """Send 100 Continue unless the caller already sends the body."""
        self._is_continue_pending = False
        if not self._received_bytes and not self.startedWriting:
            self._transport().write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Queue a chunk of the body; pause reading when credit is used up."""
        if self._is_closed:
            return
        self._received_bytes += len(data)
        limit = self._owner.cfg.limits.max_body_bytes
        if self._received_bytes > limit:
            self.refuse_body(
                errors.BodyTooLargeError(
                    'the body is too large', self._verdict(), limit=limit
                )
            )
            return
        self._pending.append(data)
        self._send_body()

    def _verdict(self) -> core.Verdict:
        """Return the verdict that applies if the request ends now."""
        if self._server is None:
            return core.Verdict.DID_NOT_RUN
        return core.Verdict.MAY_HAVE_RUN

    def refuse_body(self, error: core.OriolestandError) -> None:
        """Cancel a request whose body is refused or malformed."""
        if self._is_closed:
            return
        error.verdict = self._verdict()
        self._cancel()
        self.on_failed(error)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Mark the body as complete."""
        self._is_body_received = True
        if self.body_length == 0:
            self._open_exchange()
            return
        self._send_body()

    def _send_body(self) -> None:
        """Send as much as credit allows; pause reading if some remains."""
        if self._is_closed or self._is_body_sent:
            return
        server = self._server
        while server is not None and self._pending and self._credit > 0:
            data = self._pending.popleft()
            if len(data) > self._credit:
                self._pending.appendleft(data[self._credit :])
                data = data[: self._credit]
            self._credit -= len(data)
            server.post(exchange.BodyChunk(xid=server.xid, data=data))
        if server is not None and self._is_body_received and not self._pending:
            self._is_body_sent = True
            if self.body_length != 0:
                server.post(exchange.BodyEnd(xid=server.xid))
        self._set_body_paused(
            bool(self._pending) and not self._is_body_received
        )

    def _set_body_paused(self, is_paused: bool) -> None:
        """Stop or resume reading from the caller."""
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            self._channel.set_body_paused(is_paused)

    def _transport(self) -> Any:
        """Return the transport of the caller's connection."""
        return self._channel.transport

    def on_accepted(self, server: exchange.Endpoint) -> None:
        """Set the destination of the body.

        A new attempt starts without credit, whatever the previous one had
        granted.
        """
        self._server = server
        self._credit = 0
        if self.body_length != 0:
            self._send_body()

    def on_credit(self, size: int) -> None:
        """Add credit and send more of the body."""
        self._credit += size
        if self._is_continue_pending:
            self._send_continue()
        self._send_body()

    def on_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Start the response."""
        self.status = status
        pairs = _response.filter_headers(headers)
        self._has_body = (
            self.method != b'HEAD' and status not in const.NO_BODY_STATUSES
        )
        if self._has_body:
            for name, value in pairs:
                if name.lower() == 'content-length':
                    self._remaining_length = int(value)
        pairs.append((const.HEADER_VERDICT, core.Verdict.RAN.value))
        self.registerProducer(self, True)
        if self._has_body and self._remaining_length is None:
            if self._is_http10:
                # HTTP/1.0 ends a response without a length by closing, so
                # a truncated one would look complete: buffer it.
                self._buffered_chunks = []
                self._buffered_headers = pairs
                return
            pairs.append(('Transfer-Encoding', 'chunked'))
            self._is_chunked = True
        self._write_head(pairs)

    def _write_head(self, pairs: list[tuple[str, str]]) -> None:
        """Write the head; the reactor coalesces it with the next write."""
        self.startedWriting = 1
        if self._owner.is_leaving:
            channel: Any = self._channel
            channel.persistent = False
            self.closes_connection = True
        if self.closes_connection:
            pairs.append(('Connection', 'close'))
        self._channel.write(
            _response.encode(self.clientproto, self.status, pairs)
        )

    def _write_body(self, data: bytes) -> None:
        """Write a chunk of the response body."""
        if not data or not self._has_body:
            return
        if self._is_chunked:
            self._channel.writeSequence((b'%x\r\n' % len(data), data, b'\r\n'))
        else:
            self._channel.write(data)

    def _finish(self) -> None:
        """End the response and let the channel handle the next request."""
        if self._is_chunked:
            self._channel.write(b'0\r\n\r\n')
        self.finished = 1
        base: Any = self
        base._cleanup()

    @property
    def _is_http10(self) -> bool:
        """Return whether the caller cannot read chunked responses."""
        return self.clientproto != b'HTTP/1.1'

    def on_chunk(self, data: bytes) -> None:
        """Write or buffer a chunk of the response; return its credit."""
        if self._is_closed:
            return
        if self._buffered_chunks is not None:
            self._buffer_chunk(data)
        else:
            if self._remaining_length is not None:
                self._remaining_length -= len(data)
            self._write_body(data)
        self._unreturned_credit += len(data)
        if (
            self._unreturned_credit >= CREDIT_STEP_BYTES
            and not self._is_credit_withheld
        ):
            self._return_credit()

    def _buffer_chunk(self, data: bytes) -> None:
        """Buffer a chunk of a response until its total length is known."""
        assert self._buffered_chunks is not None
        self._buffered_chunks.append(data)
        if sum(map(len, self._buffered_chunks)) > const.HTTP10_BUFFER_BYTES:
            self._buffered_chunks = None
            self._cancel()
            self.on_failed(
                errors.UnframedResponseError(
                    'the response is too large for HTTP/1.0 without a length'
                )
            )

    def _return_credit(self) -> None:
        """Return credit to the server side for the bytes written."""
        if self._server is not None and self._unreturned_credit:
            size, self._unreturned_credit = self._unreturned_credit, 0
            self._server.post(exchange.Credit(xid=self._server.xid, size=size))

    def pauseProducing(self) -> None:  # noqa: N802
        """Withhold credit while the caller reads slowly."""
        self._is_credit_withheld = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Return the credit that was withheld."""
        self._is_credit_withheld = False
        self._return_credit()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; ``connectionLost`` handles a lost connection."""

    def on_end(self) -> None:
        """End the response; abort one shorter than its declared length."""
        if self._is_closed:
            return
        if self._remaining_length:
            self.on_failed(
                core.OriolestandError(
                    'the response is shorter than its declared length'
                )
            )
            return
        self._is_closed = True
        self._owner.report_end(self, core.Verdict.RAN)
        if self._buffered_chunks is not None:
            body = b''.join(self._buffered_chunks)
            self._write_head(
                [*self._buffered_headers, ('Content-Length', str(len(body)))]
            )
            self._write_body(body)
        self.unregisterProducer()
        self._finish()

    def on_failed(self, error: core.OriolestandError) -> None:
        """Send an error response, or abort a response that has started."""
        if self._is_closed:
            return
        self._is_closed = True
        self._owner.report_end(self, error.verdict)
        if self.producer is not None:
            self.unregisterProducer()
        if self.startedWriting:
            # Aborting, unlike a clean end, shows the caller that the
            # response is incomplete.
            self._transport().abortConnection()
            return
        body = _refusal.encode_body(error)
        self.status = error.http_status
        channel: Any = self._channel
        # The unread rest of the body must not be parsed as a request.
        if not self._is_body_received or not channel.persistent:
            self.closes_connection = True
        self._has_body = self.method != b'HEAD'
        self._write_head(_refusal.build_headers(error, len(body)))
        self._write_body(body)
        self._finish()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Cancel the request because its caller has left."""
        super().connectionLost(reason)
        if self._is_closed or not self._xid:
            return
        self._is_closed = True
        self._owner.report_end(self, self._verdict(), has_left=True)
        self._cancel()

    def _cancel(self) -> None:
        """Cancel the exchange at the server side and at dispatch."""
        self._owner.remove_exchange(self._xid)
        if self._server is not None:
            self._server.post(exchange.Cancel(xid=self._server.xid))
        if self.ticket_id:
            self._owner.kernel.post(
                self.service, exchange.CancelRequest(ticket_id=self.ticket_id)
            )
