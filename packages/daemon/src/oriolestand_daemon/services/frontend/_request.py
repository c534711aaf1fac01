"""Read one caller's request and write its answer."""

import collections
import json
from typing import TYPE_CHECKING
from typing import Any

from twisted.python import failure
from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors
from oriolestand_policy import routing

if TYPE_CHECKING:
    from oriolestand_daemon.services.frontend._task import FrontendTask


def make_channel(owner: 'FrontendTask') -> http.HTTPChannel:
    """Return the protocol of one caller's connection."""
    channel: Any = http.HTTPChannel()
    channel.totalHeadersSize = owner.cfg.limits.max_header_bytes
    channel.requestFactory = lambda ch, queued=False: CallerRequest(ch, owner)
    return channel


class CallerRequest(http.Request):
    """Start an exchange once the head is in; pass the body on in parts."""

    def __init__(self, channel: Any, owner: 'FrontendTask') -> None:
        super().__init__(channel)
        self.ticket_id = ''
        self.timeout_ms = 0
        self.target = ''
        self.body_length: int | None = 0
        self.forward_headers: tuple[tuple[str, str], ...] = ()
        self.facts = routing.RequestFacts(
            host='', method='', path='', headers={}
        )
        self._owner = owner
        self._xid = 0
        self._server: exchange.Endpoint | None = None
        self._credit = 0
        self._pending: collections.deque[bytes] = collections.deque()
        self._is_body_whole = False
        self._is_closed = False
        self._received = 0
        self._is_paused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Start the exchange unless there is no body to wait for.

        Without a body the channel still has to note that the request is
        whole before an answer may be written; see ``requestReceived``.
        """
        channel: Any = self.channel
        self.method = channel._command
        self.uri = channel._path
        self.clientproto = channel._version
        self.body_length = length
        if length != 0:
            self._open()

    def _open(self) -> None:
        """Start the exchange."""
        self.notifyFinish().addErrback(self._on_caller_left)
        try:
            self._read_head()
            self._xid = self._owner.open(self)
        except core.OriolestandError as exc:
            self.on_failed(exc)

    def _read_head(self) -> None:
        """Check the head and keep what routes look at."""
        headers = {}
        forward = []
        for raw, values in self.requestHeaders.getAllRawHeaders():
            name = raw.decode('ascii').lower()
            headers[name] = values[0].decode('latin-1')
            if name in const.HOP_BY_HOP or name == 'content-length':
                continue
            forward += [(name, v.decode('latin-1')) for v in values]
        try:
            self.target = self.uri.decode('ascii')
            method = self.method.decode('ascii')
        except UnicodeDecodeError as exc:
            raise errors.BadRequestError('target is not ASCII') from exc
        if not self.target.startswith('/'):
            raise errors.BadRequestError('target must begin with a slash')
        limit = self._owner.cfg.limits.max_body_bytes
        if self.body_length is not None and self.body_length > limit:
            raise errors.BodyTooLargeError('body too large', limit=limit)
        text = headers.get(const.HEADER_DEADLINE.lower(), '')
        if text:
            if not text.isdecimal() or not int(text):
                raise errors.BadRequestError(
                    'the deadline is not a positive number', value=text
                )
            self.timeout_ms = int(text)
        self.forward_headers = tuple(forward)
        self.facts = routing.RequestFacts(
            host=headers.get('host', '').rpartition(':')[0]
            or headers.get('host', ''),
            method=method,
            path=self.target.partition('?')[0],
            headers=headers,
        )

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body and stop reading without credit."""
        if self._is_closed:
            return
        self._received += len(data)
        if self._received > self._owner.cfg.limits.max_body_bytes:
            self._cancel()
            self.on_failed(errors.BodyTooLargeError('body too large'))
            return
        self._pending.append(data)
        self._send_body()

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
        """Send what credit allows; pause the connection at none."""
        server = self._server
        while server is not None and self._pending and self._credit > 0:
            data = self._pending.popleft()
            self._credit -= len(data)
            server.post(exchange.BodyChunk(xid=server.xid, data=data))
        is_sent = not self._pending
        if server is not None and is_sent and self._is_body_whole:
            if self.body_length != 0:
                server.post(exchange.BodyEnd(xid=server.xid))
            return
        self._pause(not is_sent and not self._is_body_whole)

    def _pause(self, is_paused: bool) -> None:
        """Stop or resume reading from the caller."""
        if is_paused == self._is_paused or self.channel is None:
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport().pauseProducing()
        else:
            self._transport().resumeProducing()

    def _transport(self) -> Any:
        """Return the transport of the caller's connection."""
        channel: Any = self.channel
        return channel.transport

    def on_accepted(self, server: exchange.Endpoint) -> None:
        """Send the body from now on."""
        self._server = server
        self._send_body()

    def on_credit(self, size: int) -> None:
        """Send more of the body."""
        self._credit += size
        self._send_body()

    def on_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Begin the answer."""
        self.setResponseCode(status)
        for name, value in headers:
            if name.lower() in const.HOP_BY_HOP:
                continue
            self.responseHeaders.addRawHeader(
                name.encode('ascii'), value.encode('latin-1')
            )
        self.responseHeaders.setRawHeaders(
            const.HEADER_VERDICT, [core.Verdict.RAN.value]
        )
        self.registerProducer(self, True)

    def on_chunk(self, data: bytes) -> None:
        """Write a part of the answer; ask for as much again."""
        self.write(data)
        if self._server is not None and not self._is_held:
            self._server.post(
                exchange.Credit(xid=self._server.xid, size=len(data))
            )
        else:
            self._owed += len(data)

    _is_held = False
    _owed = 0

    def pauseProducing(self) -> None:  # noqa: N802
        """Ask for no more of the answer: the caller reads slowly."""
        self._is_held = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Ask for more of the answer."""
        self._is_held = False
        if self._owed and self._server is not None:
            owed, self._owed = self._owed, 0
            self._server.post(exchange.Credit(xid=self._server.xid, size=owed))

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the loss of the connection is told apart."""

    def on_end(self) -> None:
        """End the answer."""
        if self._is_closed:
            return
        self._is_closed = True
        self.unregisterProducer()
        self._finish()

    def on_failed(self, error: core.OriolestandError) -> None:
        """Answer with an error, or cut an answer that has begun."""
        if self._is_closed:
            return
        self._is_closed = True
        if self.startedWriting:
            # A cut connection, unlike a clean end, shows that the answer
            # is not whole.
            self._transport().abortConnection()
            return
        body = json.dumps(
            {
                'code': error.code,
                'message': error.message,
                'verdict': error.verdict.value,
                'values': {k: str(v) for k, v in error.values.items()},
            }
        ).encode()
        self.setResponseCode(error.http_status)
        headers = self.responseHeaders
        headers.setRawHeaders('Content-Type', ['application/json'])
        headers.setRawHeaders('Content-Length', [str(len(body))])
        headers.setRawHeaders(const.HEADER_VERDICT, [error.verdict.value])
        if error.http_status in (429, 503):
            headers.setRawHeaders('Retry-After', [str(const.RETRY_AFTER_S)])
        self.write(body)
        self._finish()

    def _finish(self) -> None:
        """End the response; close a connection with a body half read."""
        channel: Any = self.channel
        if not self._is_body_whole and self.body_length != 0:
            # What follows on the connection is the rest of this body.
            channel.persistent = False
            channel.dataReceived = lambda data: None
            self.finish()
            return
        self.finish()

    def _on_caller_left(self, reason: failure.Failure) -> None:
        """Free what the request holds."""
        self._is_closed = True
        self._cancel()

    def _cancel(self) -> None:
        """Tell the server's side, or dispatch, that nobody waits."""
        self._owner.forget(self._xid)
        if self._server is not None:
            self._server.post(exchange.Cancel(xid=self._server.xid))
        elif self.ticket_id:
            self._owner.kernel.post(
                'dispatch', exchange.CancelRequest(ticket_id=self.ticket_id)
            )
