"""Read one caller's request and write its response."""

import collections
from typing import TYPE_CHECKING
from typing import Any

from twisted.python import failure
from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.frontend import _head
from oriolestand_daemon.services.frontend import _refusal
from oriolestand_daemon.services.frontend import _response
from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors
from oriolestand_policy import tables

if TYPE_CHECKING:
    from oriolestand_daemon.services.frontend._channel import CallerChannel
    from oriolestand_daemon.services.frontend._task import FrontendTask

CREDIT_STEP_BYTES = exchange.CREDIT_BYTES // 4
"""Credit is returned in steps, so a small response costs no message."""


class CallerRequest(http.Request):
    """Start an exchange once the head is in; pass the body on in parts."""

    def __init__(
        self, channel: 'CallerChannel', owner: 'FrontendTask'
    ) -> None:
        # The base's own method asks the transport for both addresses on
        # each request, which costs more than everything here.
        self.notifications = []
        self.channel = channel
        self.pairs: list[tuple[str, str]] = []
        self.queued = False
        self.says_close = False
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
        self._is_body_whole = False
        self._is_body_sent = False
        self._is_closed = False
        self._received = 0
        self._is_paused = False
        self._is_continue_due = False
        self._is_held = False
        self._owed = 0
        self._left: int | None = None
        self._has_body = True
        self._is_chunked = False
        self._kept: list[bytes] | None = None
        self._kept_headers: list[tuple[str, str]] = []

    @property
    def is_open(self) -> bool:
        """Return whether an exchange was started or refused."""
        return self._xid != 0 or self._is_closed

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies to the upstream."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Start the exchange unless there is no body to wait for.

        Without a body the channel still has to note that the request is
        whole before a response may be written; see ``requestReceived``.
        """
        channel: Any = self._channel
        self.method = channel._command
        self.uri = channel._path
        self.clientproto = channel._version
        self.body_length = length
        if length != 0:
            self._open()

    def _open(self) -> None:
        """Start the exchange."""
        try:
            head = _head.parse(
                self.method, self.uri, self.clientproto, self.pairs
            )
            self._check_length()
            self._xid = self._owner.open(self, head)
        except core.OriolestandError as exc:
            self.on_failed(exc)

    def begin(
        self, route: tables.Route, now: core.Millis, hop: telemetry.Hop
    ) -> None:
        """Keep what telemetry needs at the end."""
        self.route = route
        self.started = now
        self.trace = hop.context
        self.parent_id = hop.parent_id
        self.traceparent = hop.traceparent

    def _check_length(self) -> None:
        """Refuse a body that is declared too large or in a wrong way."""
        if self.body_length is None:
            if self.clientproto != b'HTTP/1.1':
                raise errors.BadRequestError('HTTP/1.0 has no chunked bodies')
            return
        limit = self._owner.cfg.limits.max_body_bytes
        if self.body_length > limit:
            raise errors.BodyTooLargeError(
                'the body is too large', limit=limit
            )

    def expect_continue(self) -> None:
        """Invite the body when the server's side accepts it."""
        if self._is_closed or self.body_length == 0:
            return
        self._is_continue_due = True
        if self._credit > 0:
            self._invite()

    def _invite(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self._is_continue_due = False
        if not self._received and not self.startedWriting:
            self._transport().write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body and stop reading without credit."""
        if self._is_closed:
            return
        self._received += len(data)
        limit = self._owner.cfg.limits.max_body_bytes
        if self._received > limit:
            self.refuse_body(
                errors.BodyTooLargeError(
                    'the body is too large', self._verdict(), limit=limit
                )
            )
            return
        self._pending.append(data)
        self._send_body()

    def _verdict(self) -> core.Verdict:
        """Return the verdict on a request that is given up here."""
        if self._server is None:
            return core.Verdict.DID_NOT_RUN
        return core.Verdict.MAY_HAVE_RUN

    def refuse_body(self, error: core.OriolestandError) -> None:
        """Give up a request whose body cannot be read."""
        if self._is_closed:
            return
        error.verdict = self._verdict()
        self._cancel()
        self.on_failed(error)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Note that the body is whole."""
        self._is_body_whole = True
        if self.body_length == 0:
            self._open()
            return
        self._send_body()

    def _send_body(self) -> None:
        """Send what credit allows; pause the connection without any."""
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
        if server is not None and self._is_body_whole and not self._pending:
            self._is_body_sent = True
            if self.body_length != 0:
                server.post(exchange.BodyEnd(xid=server.xid))
        self._pause(bool(self._pending) and not self._is_body_whole)

    def _pause(self, is_paused: bool) -> None:
        """Stop or resume reading from the caller."""
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            self._channel.pause_body(is_paused)

    def _transport(self) -> Any:
        """Return the transport of the caller's connection."""
        return self._channel.transport

    def on_accepted(self, server: exchange.Endpoint) -> None:
        """Send the body from now on; a new attempt begins without credit."""
        self._server = server
        self._credit = 0
        if self.body_length != 0:
            self._send_body()

    def on_credit(self, size: int) -> None:
        """Send more of the body."""
        self._credit += size
        if self._is_continue_due:
            self._invite()
        self._send_body()

    def on_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Begin the response."""
        self.status = status
        pairs = _response.keep(headers)
        self._has_body = (
            self.method != b'HEAD' and status not in const.NO_BODY_CODES
        )
        if self._has_body:
            for name, value in pairs:
                if name.lower() == 'content-length':
                    self._left = int(value)
        pairs.append((const.HEADER_VERDICT, core.Verdict.RAN.value))
        self.registerProducer(self, True)
        if self._has_body and self._left is None:
            if self._is_http10:
                # Without a length, a cut response looks complete.
                self._kept = []
                self._kept_headers = pairs
                return
            pairs.append(('Transfer-Encoding', 'chunked'))
            self._is_chunked = True
        self._write_head(pairs)

    def _write_head(self, pairs: list[tuple[str, str]]) -> None:
        """Write the head; the reactor joins it with what follows."""
        self.startedWriting = 1
        if self._owner.is_leaving:
            channel: Any = self._channel
            channel.persistent = False
            self.says_close = True
        if self.says_close:
            pairs.append(('Connection', 'close'))
        self._channel.write(
            _response.encode(self.clientproto, self.status, pairs)
        )

    def _write_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data or not self._has_body:
            return
        if self._is_chunked:
            self._channel.writeSequence((b'%x\r\n' % len(data), data, b'\r\n'))
        else:
            self._channel.write(data)

    def _finish(self) -> None:
        """End the response and go on with the next request."""
        if self._is_chunked:
            self._channel.write(b'0\r\n\r\n')
        self.finished = 1
        base: Any = self
        base._cleanup()

    @property
    def _is_http10(self) -> bool:
        """Return whether the caller cannot read chunks."""
        return self.clientproto != b'HTTP/1.1'

    def on_chunk(self, data: bytes) -> None:
        """Write a part of the response; ask for as much again."""
        if self._is_closed:
            return
        if self._kept is not None:
            self._keep(data)
        else:
            if self._left is not None:
                self._left -= len(data)
            self._write_body(data)
        self._owed += len(data)
        if self._owed >= CREDIT_STEP_BYTES and not self._is_held:
            self._give_credit()

    def _keep(self, data: bytes) -> None:
        """Keep a part of a response until its length is known."""
        assert self._kept is not None
        self._kept.append(data)
        if sum(map(len, self._kept)) > const.HTTP10_BUFFER_BYTES:
            self._kept = None
            self._cancel()
            self.on_failed(
                errors.UnframedResponseError(
                    'the response is too large for HTTP/1.0 without a length'
                )
            )

    def _give_credit(self) -> None:
        """Ask for more of the response."""
        if self._server is not None and self._owed:
            owed, self._owed = self._owed, 0
            self._server.post(exchange.Credit(xid=self._server.xid, size=owed))

    def pauseProducing(self) -> None:  # noqa: N802
        """Ask for no more of the response: the caller reads slowly."""
        self._is_held = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Ask for more of the response."""
        self._is_held = False
        self._give_credit()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the loss of the connection is told apart."""

    def on_end(self) -> None:
        """End the response; cut one that is shorter than its length."""
        if self._is_closed:
            return
        if self._left:
            self.on_failed(
                core.OriolestandError('the response is shorter than declared')
            )
            return
        self._is_closed = True
        self._owner.record(self, core.Verdict.RAN)
        if self._kept is not None:
            body = b''.join(self._kept)
            self._write_head(
                [*self._kept_headers, ('Content-Length', str(len(body)))]
            )
            self._write_body(body)
        self.unregisterProducer()
        self._finish()

    def on_failed(self, error: core.OriolestandError) -> None:
        """Answer with an error, or cut a response that has begun."""
        if self._is_closed:
            return
        self._is_closed = True
        self._owner.record(self, error.verdict)
        if self.producer is not None:
            self.unregisterProducer()
        if self.startedWriting:
            # A cut connection, unlike a clean end, shows that the response
            # is not whole.
            self._transport().abortConnection()
            return
        body = _refusal.body_of(error)
        self.status = error.http_status
        channel: Any = self._channel
        # After a refusal, what follows is the rest of the body.
        if not self._is_body_whole or not channel.persistent:
            self.says_close = True
        self._has_body = self.method != b'HEAD'
        self._write_head(_refusal.headers_of(error, len(body)))
        self._write_body(body)
        self._finish()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Free what the request holds: the caller left."""
        super().connectionLost(reason)
        if self._is_closed or not self._xid:
            return
        self._is_closed = True
        self._owner.record(self, self._verdict(), has_left=True)
        self._cancel()

    def _cancel(self) -> None:
        """Tell the server's side, and dispatch, that nobody waits."""
        self._owner.forget(self._xid)
        if self._server is not None:
            self._server.post(exchange.Cancel(xid=self._server.xid))
        if self.ticket_id:
            self._owner.kernel.post(
                self.service, exchange.CancelRequest(ticket_id=self.ticket_id)
            )
