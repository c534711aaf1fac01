"""Run one request on one connection to an upstream."""

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.upstreams import const
from oriolestand_daemon.services.upstreams import errors
from oriolestand_policy import dispatching

if TYPE_CHECKING:
    from oriolestand_daemon.services.upstreams._task import UpstreamsTask


@zope.interface.implementer(iweb.IBodyProducer)
class _Body:
    """Write a request's body as its parts arrive."""

    def __init__(self, attempt: 'Attempt', length: int | None) -> None:
        self.length: Any = iweb.UNKNOWN_LENGTH if length is None else length
        self._attempt = attempt
        self._consumer: Any = None
        self._done: defer.Deferred[None] = defer.Deferred()

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> 'defer.Deferred[None]':
        """Accept the body from now on."""
        self._consumer = consumer
        self._attempt.accept_body()
        return self._done

    def write(self, data: bytes) -> None:
        """Write a part and allow the caller to send as much again."""
        if self._consumer is not None:
            self._consumer.write(data)

    def end(self) -> None:
        """End the body."""
        self._consumer = None
        if not self._done.called:
            self._done.callback(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Give no more credit until the connection drains."""
        self._attempt.hold_credit(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Give credit again."""
        self._attempt.hold_credit(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing more."""
        self._consumer = None


class _AnswerReader(protocol.Protocol):
    """Pass an answer's body to the attempt."""

    def __init__(self, attempt: 'Attempt') -> None:
        self._attempt = attempt

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on a part of the body."""
        self._attempt.answer_chunk(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tell a whole answer from a cut one."""
        self._attempt.answer_end(reason)


class Attempt:
    """Hold the state of one request at one upstream."""

    def __init__(
        self,
        owner: 'UpstreamsTask',
        xid: int,
        start: exchange.StartExchange,
    ) -> None:
        self.xid = xid
        self._owner = owner
        self._clock = owner.kernel.clock
        self._start = start
        self._head = start.head
        self._caller = start.caller
        self._conn: Any = None
        self._body: _Body | None = None
        self._reader: _AnswerReader | None = None
        self._is_sent = False
        self._is_answered = False
        self._is_ended = False
        self._is_holding_credit = False
        self._owed_credit = 0
        self._credit = exchange.CREDIT_BYTES
        self._started = self._clock.now()
        self._timer = self._clock.call_later(
            max(0, self._head.deadline - self._started), self._on_deadline
        )

    def begin(self) -> None:
        """Get a connection and send the request."""
        fut = self._owner.connect(self._start.target)
        fut.addCallbacks(self._send, self._on_connect_failed)

    def _send(self, conn: Any) -> None:
        """Send the request's head; the body follows in parts."""
        if self._is_ended:
            self._owner.release(self._start.target, conn)
            return
        self._conn = conn
        self._is_sent = True
        if self._head.body_length == 0:
            self._post_accepted()
        else:
            self._body = _Body(self, self._head.body_length)
        request: Any = client.Request._construct(
            self._head.method.encode('ascii'),
            self._head.target.encode('ascii'),
            self._headers(),
            self._body,
            persistent=True,
        )
        fut = conn.request(request)
        fut.addCallbacks(self._on_answer, self._on_lost)

    def _headers(self) -> http_headers.Headers:
        """Return the headers for the upstream, with what is left of time."""
        headers = http_headers.Headers()
        for name, value in self._head.headers:
            headers.addRawHeader(name.encode('ascii'), value.encode('latin-1'))
        if not headers.hasHeader('host'):
            headers.setRawHeaders('host', [self._start.target])
        left = max(0, self._head.deadline - self._clock.now())
        headers.setRawHeaders(const.HEADER_DEADLINE, [str(left)])
        if self._head.traceparent:
            headers.setRawHeaders('traceparent', [self._head.traceparent])
        if self._head.idempotency_key:
            headers.setRawHeaders(
                'idempotency-key', [self._head.idempotency_key]
            )
        return headers

    def _post_accepted(self) -> None:
        """Tell the caller's side where to send body and credit."""
        self._caller.post(
            exchange.ExchangeAccepted(
                xid=self._caller.xid,
                server=exchange.Endpoint(task=self._owner, xid=self.xid),
            )
        )

    def accept_body(self) -> None:
        """Let the caller's side send the body."""
        self._post_accepted()
        self._give_credit(exchange.CREDIT_BYTES)

    def send_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._body is None or self._is_ended:
            return
        self._body.write(data)
        self._give_credit(len(data))

    def end_body(self) -> None:
        """End the body."""
        if self._body is not None:
            self._body.end()

    def hold_credit(self, is_holding: bool) -> None:
        """Stop giving credit while the connection is congested."""
        self._is_holding_credit = is_holding
        if not is_holding and self._owed_credit:
            owed, self._owed_credit = self._owed_credit, 0
            self._give_credit(owed)

    def _give_credit(self, size: int) -> None:
        """Allow the caller's side to send more of the body."""
        if self._is_holding_credit:
            self._owed_credit += size
            return
        self._caller.post(exchange.Credit(xid=self._caller.xid, size=size))

    def _on_answer(self, response: Any) -> None:
        """Pass on the head of the answer."""
        if self._is_ended:
            return
        headers = response.headers
        if headers.hasHeader(const.HEADER_LEAVING):
            self._owner.kernel.publish(
                membership.UpstreamLeaving(address=self._start.target)
            )
        verdict = headers.getRawHeaders(const.HEADER_VERDICT, [''])[0]
        if (
            response.code == http.SERVICE_UNAVAILABLE
            and verdict == core.Verdict.DID_NOT_RUN.value
        ):
            self._end(
                errors.UpstreamRefusedError(
                    'the upstream refused', upstream=self._start.target
                )
            )
            return
        self._is_answered = True
        pairs = tuple(
            (name.decode('ascii'), value.decode('latin-1'))
            for name, values in headers.getAllRawHeaders()
            for value in values
        )
        length = response.length
        if isinstance(length, int):
            pairs = (*pairs, ('Content-Length', str(length)))
        self._caller.post(
            exchange.ResponseHead(
                xid=self._caller.xid, status=response.code, headers=pairs
            )
        )
        self._reader = _AnswerReader(self)
        response.deliverBody(self._reader)

    def answer_chunk(self, data: bytes) -> None:
        """Pass on a part of the answer and pause when credit runs out."""
        if self._is_ended:
            return
        self._credit -= len(data)
        self._caller.post(
            exchange.ResponseChunk(xid=self._caller.xid, data=data)
        )
        if self._credit <= 0 and self._reader is not None:
            transport: Any = self._reader.transport
            transport.pauseProducing()

    def add_credit(self, size: int) -> None:
        """Read more of the answer."""
        was_empty = self._credit <= 0
        self._credit += size
        if was_empty and self._credit > 0 and self._reader is not None:
            transport: Any = self._reader.transport
            if transport is not None:
                transport.resumeProducing()

    def answer_end(self, reason: failure.Failure) -> None:
        """End the attempt when the answer's body has ended."""
        if self._is_ended:
            return
        if reason.check(client.ResponseDone):
            self._owner.release(self._start.target, self._conn)
            self._conn = None
            self._end(None)
            return
        self._on_lost(reason)

    def cancel(self) -> None:
        """Abort because the caller left."""
        self._end(errors.CallerLeftError('the caller left'))

    def _on_deadline(self) -> None:
        """Abort because the deadline passed."""
        if self._is_sent:
            self._end(
                errors.UpstreamTimeoutError(
                    'the deadline passed', upstream=self._start.target
                ),
                is_failure=True,
            )
            return
        self._end(
            errors.UpstreamConnectError(
                'no connection before the deadline',
                upstream=self._start.target,
            ),
            is_failure=True,
        )

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        """End the attempt; nothing was sent."""
        self._end(
            errors.UpstreamConnectError(
                'the upstream cannot be reached',
                upstream=self._start.target,
                reason=reason.getErrorMessage(),
            ),
            is_failure=True,
        )

    def _on_lost(self, reason: failure.Failure) -> None:
        """End the attempt; the upstream may have run the request."""
        self._end(
            errors.UpstreamLostError(
                'the answer did not come whole',
                upstream=self._start.target,
                reason=reason.getErrorMessage(),
            ),
            is_failure=True,
        )

    def _end(
        self, error: core.OriolestandError | None, is_failure: bool = False
    ) -> None:
        """Report how the attempt ended, once."""
        if self._is_ended:
            return
        self._is_ended = True
        self._timer.cancel()
        self._owner.forget(self.xid)
        held_until = None
        if error is not None and self._is_sent:
            if error.verdict is not core.Verdict.DID_NOT_RUN:
                held_until = core.Millis(
                    self._head.deadline + self._owner.abort_grace_ms
                )
            self._abort_connection()
        if error is None:
            self._caller.post(exchange.ResponseEnd(xid=self._caller.xid))
        verdict = core.Verdict.RAN if error is None else error.verdict
        self._owner.kernel.post(
            'dispatch',
            dispatch.AttemptFinished(
                ticket_id=self._start.ticket_id,
                outcome=dispatching.Outcome(
                    verdict=verdict,
                    error=error,
                    answered=self._is_answered,
                    latency_ms=self._clock.now() - self._started,
                    slot_held_until=held_until,
                    upstream_failed=is_failure,
                ),
            ),
        )

    def _abort_connection(self) -> None:
        """Close a connection whose answer did not end cleanly."""
        if self._conn is not None and self._conn.transport is not None:
            self._conn.transport.abortConnection()
        self._conn = None
