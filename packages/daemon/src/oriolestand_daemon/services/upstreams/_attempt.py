"""Send a request over a connection to an upstream."""

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
from oriolestand_daemon.services.upstreams import _body_owner
from oriolestand_daemon.services.upstreams import _connection
from oriolestand_daemon.services.upstreams import _headers
from oriolestand_daemon.services.upstreams import _owner
from oriolestand_daemon.services.upstreams import _wire_request
from oriolestand_daemon.services.upstreams import const
from oriolestand_daemon.services.upstreams import errors
from oriolestand_policy import dispatching

NO_BODY_STATUSES = frozenset({http.NO_CONTENT, http.NOT_MODIFIED})
SERVICE_UNAVAILABLE = http.SERVICE_UNAVAILABLE

_HEADER_LEAVING = const.HEADER_LEAVING.encode()
_HEADER_VERDICT = const.HEADER_VERDICT.encode()
_DID_NOT_RUN = core.Verdict.DID_NOT_RUN.value.encode()
# The client module checks for deprecated names on each attribute access,
# so these two are looked up only once.
_RESPONSE_DONE = client.ResponseDone
_REQUEST_NOT_SENT = client.RequestNotSent


class Attempt(_body_owner.BodyOwner):
    """One attempt to serve a request at one upstream."""

    def __init__(
        self,
        owner: _owner.AttemptOwner,
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
        self._conn: _connection.UpstreamConnection | None = None
        self._body: _body.RequestBody | None = None
        self._reader: _body.ResponseReader | None = None
        self._is_sent = False
        self._is_body_accepted = False
        self._has_response_started = False
        self._is_complete = False
        self._has_ended = False
        self._is_credit_withheld = False
        self._withheld_credit = 0
        self._credit = exchange.CREDIT_BYTES
        self._buffered_response = b''
        self._started = self._clock.now()
        self._trace_context = telemetry.sampled_child(start.head.traceparent)
        self.deadline = start.head.deadline

    def begin(self) -> None:
        """Obtain a connection and send the request."""
        conn = self._owner.pool.take_idle(self._target)
        if conn is not None:
            self._send(conn)
            return
        fut = self._owner.pool.connect(self._target)
        fut.addCallbacks(self._send, self._on_connect_failed)
        fut.addErrback(self._on_internal_error)

    def _on_internal_error(self, reason: failure.Failure) -> None:
        """Log an unexpected exception and end the attempt."""
        self._owner.log.error(
            'Attempt ended by an unexpected error', reason=str(reason)
        )
        self._finish(
            core.OriolestandError(
                'the attempt ended by an unexpected error', self._verdict()
            )
        )

    def _send(self, conn: _connection.UpstreamConnection) -> None:
        """Send the head of the request; the body is streamed afterwards."""
        if self._has_ended:
            self._owner.pool.release(self._target, conn)
            return
        if self._head.body_length != 0:
            self._body = _body.RequestBody(self, self._head.body_length)
        try:
            request = self._make_request()
        except ValueError as exc:
            self._owner.pool.release(self._target, conn)
            self._finish(errors.UnsendableRequestError(str(exc)))
            return
        self._conn = conn
        self._is_sent = True
        if self._body is None:
            self._post_accepted()
        fut = conn.send(request, self._on_response)
        fut.addCallbacks(self._on_response, self._on_response_failed)
        fut.addErrback(self._on_internal_error)

    def _make_request(self) -> _wire_request.WireRequest:
        """Return the encoded request; raise ValueError if it is malformed."""
        head = self._head
        return _wire_request.WireRequest(
            head.method,
            head.target,
            _headers.to_upstream(
                head,
                self._target,
                head.deadline - self._clock.now(),
                str(self._trace_context or head.traceparent),
            ),
            self._body,
        )

    def _post_accepted(self) -> None:
        """Send the caller side the endpoint for body and credit."""
        self._caller.post(
            exchange.ExchangeAccepted(
                xid=self._caller.xid,
                server=exchange.Endpoint(task=self._owner, xid=self.xid),
            )
        )

    def accept_body(self) -> None:
        """Allow the caller side to send the body."""
        self._is_body_accepted = True
        self._post_accepted()
        self._grant_credit(exchange.CREDIT_BYTES)

    def send_body(self, data: bytes) -> None:
        """Write a chunk of the body and return its credit."""
        if self._body is None or self._has_ended:
            return
        self._body.write(data)
        self._grant_credit(len(data))

    def end_body(self) -> None:
        """End the body."""
        if self._body is not None:
            self._body.end()

    def set_credit_withheld(self, is_withheld: bool) -> None:
        """Withhold or release credit, depending on back-pressure."""
        self._is_credit_withheld = is_withheld
        if not is_withheld and self._withheld_credit:
            size, self._withheld_credit = self._withheld_credit, 0
            self._grant_credit(size)

    def _grant_credit(self, size: int) -> None:
        """Grant the caller side credit for ``size`` bytes of the body."""
        if self._is_credit_withheld:
            self._withheld_credit += size
            return
        self._caller.post(exchange.Credit(xid=self._caller.xid, size=size))

    def _on_response(self, response: Any) -> None:
        """Validate the head of the response and send it to the caller side."""
        if self._has_ended or self._reader is not None:
            return
        headers = response.headers
        if headers.getRawHeaders(_HEADER_LEAVING, (b'0',))[0] == b'1':
            self._owner.kernel.publish(
                membership.UpstreamLeaving(address=self._target)
            )
        error = self._check_head(response)
        if error is not None:
            self._finish(error)
            return
        self._has_response_started = True
        has_body = (
            response.code not in NO_BODY_STATUSES
            and self._head.method != 'HEAD'
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
        """Return the error if the response cannot be sent to the caller."""
        if response.code == SERVICE_UNAVAILABLE and (
            response.headers.getRawHeaders(_HEADER_VERDICT, (b'',))[0]
            == _DID_NOT_RUN
        ):
            return errors.UpstreamRefusedError(
                'the upstream refused the request', upstream=self._target
            )
        assert self._conn is not None
        if not isinstance(response.length, int) and not self._conn.is_chunked:
            return errors.UnframedResponseError(
                'the response has neither a length nor chunked encoding',
                upstream=self._target,
            )
        return None

    def on_response_chunk(self, data: bytes) -> None:
        """Send a chunk of the response; buffer and pause without credit."""
        if self._has_ended:
            return
        if self._buffered_response or len(data) > self._credit:
            data = self._buffered_response + data
            self._buffered_response = data[self._credit :]
            data = data[: self._credit]
        if data:
            self._credit -= len(data)
            self._caller.post(
                exchange.ResponseChunk(xid=self._caller.xid, data=data)
            )
        if self._credit <= 0 and self._reader is not None:
            self._reader.set_paused(True)

    def on_credit(self, size: int) -> None:
        """Send more of the response as credit allows."""
        had_no_credit = self._credit <= 0
        self._credit += size
        if self._buffered_response:
            self.on_response_chunk(b'')
        if self._is_complete and not self._buffered_response:
            self._finish(None)
        elif had_no_credit and self._credit > 0 and self._reader is not None:
            self._reader.set_paused(False)

    def on_response_end(self, reason: failure.Failure) -> None:
        """Finish the attempt when the response body has ended."""
        if self._has_ended:
            return
        if not isinstance(reason.value, _RESPONSE_DONE):
            self._on_response_failed(reason)
            return
        self._is_complete = True
        if self._conn is not None:
            self._owner.pool.release(self._target, self._conn)
            self._conn = None
        if not self._buffered_response:
            self._finish(None)

    def cancel(self) -> None:
        """Abort the attempt because the caller has left."""
        self._finish(
            errors.CallerLeftError('the caller left', self._verdict())
        )

    def _verdict(self) -> core.Verdict:
        """Return the verdict that applies if the attempt ends now."""
        if not self._is_sent:
            return core.Verdict.DID_NOT_RUN
        if self._is_complete:
            return core.Verdict.RAN
        return core.Verdict.MAY_HAVE_RUN

    def _is_blocked_by_caller(self) -> bool:
        """Return whether the attempt waits for credit or for the body."""
        if self._credit <= 0:
            return True
        return (
            self._body is not None
            and not self._body.is_ended
            and not self._has_response_started
            and not self._is_credit_withheld
        )

    def expire(self) -> None:
        """Abort the attempt because its deadline has passed."""
        if not self._is_sent:
            self._finish(
                errors.UpstreamConnectError(
                    'no connection was established before the deadline',
                    upstream=self._target,
                ),
                is_failure=True,
            )
        elif self._is_blocked_by_caller():
            self._finish(
                errors.CallerTooSlowError(
                    'the deadline passed while waiting for the caller',
                    self._verdict(),
                )
            )
        else:
            self._finish(
                errors.UpstreamTimeoutError(
                    'the deadline passed', upstream=self._target
                ),
                is_failure=True,
            )

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        """Fail the attempt with the verdict did_not_run."""
        error = reason.value
        if isinstance(error, core.OriolestandError):
            self._finish(error)
            return
        self._finish(
            errors.UpstreamConnectError(
                'the connection to the upstream failed',
                upstream=self._target,
                reason=reason.getErrorMessage(),
            ),
            is_failure=True,
        )

    def _on_response_failed(self, reason: failure.Failure) -> None:
        """Fail the attempt; the request may have run if it was sent."""
        if reason.check(_REQUEST_NOT_SENT):
            self._is_sent = False
            self._on_connect_failed(reason)
            return
        self._finish(
            errors.UpstreamLostError(
                'the response was not received completely',
                upstream=self._target,
                reason=reason.getErrorMessage(),
            ),
            is_failure=True,
        )

    def _finish(
        self, error: core.OriolestandError | None, is_failure: bool = False
    ) -> None:
        """End the attempt and report its outcome to dispatch, once."""
        if self._has_ended:
            return
        self._has_ended = True
        self._owner.remove_attempt(self.xid)
        verdict = core.Verdict.RAN if error is None else error.verdict
        slot_held_until_ms = None
        if verdict is core.Verdict.MAY_HAVE_RUN:
            slot_held_until_ms = core.Millis(
                self._head.deadline + self._owner.abort_grace_ms
            )
        if self._conn is not None:
            # Without a complete response, the connection cannot be reused.
            self._conn.abort()
            self._conn = None
        if error is None:
            self._caller.post(exchange.ResponseEnd(xid=self._caller.xid))
        outcome = dispatching.Outcome(
            verdict=verdict,
            error=error,
            answered=self._has_response_started,
            is_final=self._is_body_accepted
            or isinstance(error, errors.CallerLeftError),
            latency_ms=self._clock.now() - self._started,
            slot_held_until=slot_held_until_ms,
            upstream_failed=is_failure,
        )
        if self._trace_context is not None:
            self._post_span(verdict)
        self._owner.kernel.post(
            'dispatch',
            dispatch.AttemptFinished(
                ticket_id=self.ticket_id, outcome=outcome
            ),
        )

    def _post_span(self, verdict: core.Verdict) -> None:
        """Report the span of a sampled request to telemetry."""
        assert self._trace_context is not None
        self._owner.report_span(
            telemetry.SpanEnded(
                name='upstream attempt',
                context=self._trace_context,
                parent_id=telemetry.parent_id(self._head.traceparent),
                started=self._started,
                ended=self._clock.now(),
                attributes=(
                    ('server.address', self._target),
                    ('oriolestand.verdict', verdict.value),
                ),
            )
        )
