"""Run one request on one connection to an upstream."""

from typing import TYPE_CHECKING
from typing import Any

from twisted.python import failure
from twisted.web import client
from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.upstreams import _body
from oriolestand_daemon.services.upstreams import _headers
from oriolestand_daemon.services.upstreams import _wire_request
from oriolestand_daemon.services.upstreams import const
from oriolestand_daemon.services.upstreams import errors
from oriolestand_policy import dispatching

if TYPE_CHECKING:
    from oriolestand_daemon.services.upstreams._connection import (
        UpstreamConnection,
    )
    from oriolestand_daemon.services.upstreams._task import UpstreamsTask

NO_BODY_CODES = frozenset({http.NO_CONTENT, http.NOT_MODIFIED})
SERVICE_UNAVAILABLE = http.SERVICE_UNAVAILABLE

_LEAVING = const.HEADER_LEAVING.encode()
_VERDICT = const.HEADER_VERDICT.encode()
_NOT_RUN = core.Verdict.DID_NOT_RUN.value.encode()
# The client's module warns about old names at each look-up.
_RESPONSE_DONE = client.ResponseDone
_REQUEST_NOT_SENT = client.RequestNotSent


class Attempt:
    """Hold the state of one request at one upstream."""

    def __init__(
        self,
        owner: 'UpstreamsTask',
        xid: int,
        start: exchange.StartExchange,
    ) -> None:
        self.xid = xid
        self.ticket_id = start.ticket_id
        self._owner = owner
        self._clock = owner.kernel.clock
        self._target = start.target
        self._head = start.head
        self._caller = start.caller
        self._conn: UpstreamConnection | None = None
        self._body: _body.RequestBody | None = None
        self._reader: _body.ResponseReader | None = None
        self._is_sent = False
        self._is_body_accepted = False
        self._is_answered = False
        self._is_complete = False
        self._is_ended = False
        self._is_holding_credit = False
        self._owed_credit = 0
        self._credit = exchange.CREDIT_BYTES
        self._unsent = b''
        self._started = self._clock.now()
        self._trace = telemetry.sampled_child(start.head.traceparent)
        self.deadline = start.head.deadline

    def begin(self) -> None:
        """Get a connection and send the request."""
        conn = self._owner.pool.take_idle(self._target)
        if conn is not None:
            self._send(conn)
            return
        fut = self._owner.pool.connect(self._target)
        fut.addCallbacks(self._send, self._on_connect_failed)
        fut.addErrback(self._on_fault)

    def _on_fault(self, reason: failure.Failure) -> None:
        """End the attempt after a fault of this program."""
        self._owner.log.error('Attempt failed', reason=str(reason))
        self._end(core.OriolestandError('the attempt failed', self._verdict()))

    def _send(self, conn: 'UpstreamConnection') -> None:
        """Send the request's head; the body follows in parts."""
        if self._is_ended:
            self._owner.pool.release(self._target, conn)
            return
        if self._head.body_length != 0:
            self._body = _body.RequestBody(self, self._head.body_length)
        try:
            request = self._make_request()
        except ValueError as exc:
            self._owner.pool.release(self._target, conn)
            self._end(errors.UnsendableRequestError(str(exc)))
            return
        self._conn = conn
        self._is_sent = True
        if self._body is None:
            self._post_accepted()
        fut = conn.send(request, self._on_answer)
        fut.addCallbacks(self._on_answer, self._on_lost)
        fut.addErrback(self._on_fault)

    def _make_request(self) -> _wire_request.WireRequest:
        """Return the request; raise ValueError when HTTP cannot carry it."""
        head = self._head
        return _wire_request.WireRequest(
            head.method,
            head.target,
            _headers.to_upstream(
                head,
                self._target,
                head.deadline - self._clock.now(),
                str(self._trace or head.traceparent),
            ),
            self._body,
        )

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
        self._is_body_accepted = True
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
        """Pass on the head of the response."""
        if self._is_ended or self._reader is not None:
            return
        headers = response.headers
        if headers.getRawHeaders(_LEAVING, (b'0',))[0] == b'1':
            self._owner.kernel.publish(
                membership.UpstreamLeaving(address=self._target)
            )
        error = self._check_head(response)
        if error is not None:
            self._end(error)
            return
        self._is_answered = True
        has_body = (
            response.code not in NO_BODY_CODES and self._head.method != 'HEAD'
        )
        length = response.length
        assert self._conn is not None
        self._caller.post(
            exchange.ResponseHead(
                xid=self._caller.xid,
                status=response.code,
                headers=_headers.to_caller(
                    headers,
                    self._conn.connection_headers,
                    length if has_body and isinstance(length, int) else None,
                ),
            )
        )
        self._reader = _body.ResponseReader(self)
        response.deliverBody(self._reader)

    def _check_head(self, response: Any) -> core.OriolestandError | None:
        """Return the error that the head of a response amounts to."""
        if response.code == SERVICE_UNAVAILABLE and (
            response.headers.getRawHeaders(_VERDICT, (b'',))[0] == _NOT_RUN
        ):
            return errors.UpstreamRefusedError(
                'the upstream refused', upstream=self._target
            )
        assert self._conn is not None
        if not isinstance(response.length, int) and not self._conn.is_chunked:
            return errors.UnframedResponseError(
                'the response has neither a length nor chunks',
                upstream=self._target,
            )
        return None

    def answer_chunk(self, data: bytes) -> None:
        """Pass on a part of the response and pause without credit."""
        if self._is_ended:
            return
        if self._unsent or len(data) > self._credit:
            data = self._unsent + data
            self._unsent = data[self._credit :]
            data = data[: self._credit]
        if data:
            self._credit -= len(data)
            self._caller.post(
                exchange.ResponseChunk(xid=self._caller.xid, data=data)
            )
        if self._credit <= 0 and self._reader is not None:
            self._reader.pause(True)

    def add_credit(self, size: int) -> None:
        """Read more of the response."""
        was_empty = self._credit <= 0
        self._credit += size
        if self._unsent:
            self.answer_chunk(b'')
        if self._is_complete and not self._unsent:
            self._end(None)
        elif was_empty and self._credit > 0 and self._reader is not None:
            self._reader.pause(False)

    def answer_end(self, reason: failure.Failure) -> None:
        """End the attempt when the response's body has ended."""
        if self._is_ended:
            return
        if not isinstance(reason.value, _RESPONSE_DONE):
            self._on_lost(reason)
            return
        self._is_complete = True
        if self._conn is not None:
            self._owner.pool.release(self._target, self._conn)
            self._conn = None
        if not self._unsent:
            self._end(None)

    def cancel(self) -> None:
        """Abort because the caller left."""
        self._end(errors.CallerLeftError('the caller left', self._verdict()))

    def _verdict(self) -> core.Verdict:
        """Return what is known when the attempt ends now."""
        if not self._is_sent:
            return core.Verdict.DID_NOT_RUN
        if self._is_complete:
            return core.Verdict.RAN
        return core.Verdict.MAY_HAVE_RUN

    def _is_waiting_for_caller(self) -> bool:
        """Return whether only the caller's side can go on."""
        if self._credit <= 0:
            return True
        return (
            self._body is not None
            and not self._body.is_ended
            and not self._is_answered
            and not self._is_holding_credit
        )

    def expire(self) -> None:
        """Abort because the deadline passed."""
        if not self._is_sent:
            self._end(
                errors.UpstreamConnectError(
                    'no connection before the deadline', upstream=self._target
                ),
                is_failure=True,
            )
        elif self._is_waiting_for_caller():
            self._end(
                errors.CallerTooSlowError(
                    'the deadline passed while waiting for the caller',
                    self._verdict(),
                )
            )
        else:
            self._end(
                errors.UpstreamTimeoutError(
                    'the deadline passed', upstream=self._target
                ),
                is_failure=True,
            )

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        """End the attempt; nothing was sent."""
        error = reason.value
        if isinstance(error, core.OriolestandError):
            self._end(error)
            return
        self._end(
            errors.UpstreamConnectError(
                'the upstream cannot be reached',
                upstream=self._target,
                reason=reason.getErrorMessage(),
            ),
            is_failure=True,
        )

    def _on_lost(self, reason: failure.Failure) -> None:
        """End the attempt; the upstream may have run the request."""
        if reason.check(_REQUEST_NOT_SENT):
            self._is_sent = False
            self._on_connect_failed(reason)
            return
        self._end(
            errors.UpstreamLostError(
                'the response did not come whole',
                upstream=self._target,
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
        self._owner.forget(self.xid)
        verdict = core.Verdict.RAN if error is None else error.verdict
        held_until = None
        if verdict is core.Verdict.MAY_HAVE_RUN:
            held_until = core.Millis(
                self._head.deadline + self._owner.abort_grace_ms
            )
        if self._conn is not None:
            # The response did not end cleanly on it.
            self._conn.abort()
            self._conn = None
        if error is None:
            self._caller.post(exchange.ResponseEnd(xid=self._caller.xid))
        outcome = dispatching.Outcome(
            verdict=verdict,
            error=error,
            answered=self._is_answered,
            is_final=self._is_body_accepted
            or isinstance(error, errors.CallerLeftError),
            latency_ms=self._clock.now() - self._started,
            slot_held_until=held_until,
            upstream_failed=is_failure,
        )
        if self._trace is not None:
            self._post_span(verdict)
        self._owner.kernel.post(
            'dispatch',
            dispatch.AttemptFinished(
                ticket_id=self.ticket_id, outcome=outcome
            ),
        )

    def _post_span(self, verdict: core.Verdict) -> None:
        """Tell telemetry about this hop of a sampled request."""
        assert self._trace is not None
        self._owner.report_span(
            telemetry.SpanEnded(
                name='upstream attempt',
                context=self._trace,
                parent_id=telemetry.parent_id(self._head.traceparent),
                started=self._started,
                ended=self._clock.now(),
                attributes=(
                    ('server.address', self._target),
                    ('oriolestand.verdict', verdict.value),
                ),
            )
        )
