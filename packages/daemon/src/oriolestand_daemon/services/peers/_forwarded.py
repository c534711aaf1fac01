"""Track the requests that this daemon forwarded over a link."""

import dataclasses
import enum
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.peers import _checks
from oriolestand_daemon.services.peers import _exchange_link
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
from oriolestand_policy import dispatching
from oriolestand_policy import tables
import oriolestand_wire as wire


def report_attempt(
    kernel: core.Kernel,
    ticket_id: str,
    error: core.OriolestandError | None,
    answered: bool = False,
    latency_ms: float = 0.0,
    is_final: bool = False,
) -> None:
    """Report to dispatch how an attempt at a peer ended."""
    kernel.post(
        'dispatch',
        dispatch.AttemptFinished(
            ticket_id=ticket_id,
            outcome=dispatching.Outcome(
                verdict=core.Verdict.RAN if error is None else error.verdict,
                error=error,
                answered=answered,
                is_final=is_final,
                latency_ms=latency_ms,
            ),
        ),
    )


class _ExchangeState(enum.Enum):
    """The progress of a forwarded request at the peer."""

    OPENED = 'opened'
    ACCEPTED = 'accepted'
    ANSWERING = 'answering'


@dataclasses.dataclass(slots=True, kw_only=True)
class _ForwardedExchange:
    """A request that this daemon forwarded and its response.

    ``uncredited_bytes`` counts response bytes for which the caller side has
    not returned credit yet; ``remaining_bytes`` is the part of the response
    body still to come, None if its length is unknown.
    """

    ticket_id: str
    caller: exchange.Endpoint
    method: str
    started: core.Millis
    timer: Any
    trace: telemetry.TraceContext | None
    parent_id: str
    has_body: bool
    state: _ExchangeState = _ExchangeState.OPENED
    uncredited_bytes: int = 0
    remaining_bytes: int | None = None
    is_body_ended: bool = False

    @property
    def has_response_started(self) -> bool:
        """Return whether the head of the response was sent to the caller."""
        return self.state is _ExchangeState.ANSWERING

    @property
    def is_body_accepted(self) -> bool:
        """Return whether the peer may have consumed part of the body."""
        return self.has_body and self.state is not _ExchangeState.OPENED


class ForwardedExchanges:
    """Opens exchanges at the peer and relays their responses.

    The side that dialed allocates odd ids and the other side even ones. Ids
    are never reused, so a late message cannot match another exchange.
    """

    def __init__(
        self, link: _exchange_link.ExchangeLink, first_xid: int
    ) -> None:
        self._link = link
        self._next_xid = first_xid
        self._exchanges: dict[int, _ForwardedExchange] = {}
        self._by_ticket: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._exchanges)

    def is_local_xid(self, xid: int) -> bool:
        """Return whether this side allocated an id."""
        return xid % 2 == self._next_xid % 2

    def open(self, msg: exchange.StartExchange) -> None:
        """Forward a request that has not been forwarded before.

        A failure is reported to dispatch.
        """
        kernel = self._link.kernel
        now = kernel.clock.now()
        head = msg.head
        trace = telemetry.sampled_child(head.traceparent)
        message = _build_open_message(head, self._next_xid, now, trace)
        try:
            if head.hops:
                raise errors.HopLimitError(
                    'the request has already been forwarded'
                )
            frame = self._link.encode(message)
            self._link.admit_exchange(len(frame))
        except core.OriolestandError as exc:
            report_attempt(kernel, msg.ticket_id, exc)
            return
        xid = self._next_xid
        self._next_xid += 2
        timer = kernel.clock.call_later(
            max(0, head.deadline - now) + const.PEER_GRACE_MS,
            lambda: self._on_deadline(xid),
        )
        self._exchanges[xid] = _ForwardedExchange(
            ticket_id=msg.ticket_id,
            caller=msg.caller,
            method=head.method,
            started=now,
            timer=timer,
            trace=trace,
            parent_id=telemetry.parent_id(head.traceparent),
            has_body=head.body_length != 0,
        )
        self._by_ticket[msg.ticket_id] = xid
        self._link.write(frame)

    def receive(self, message: wire.PeerMessage) -> None:
        """Handle a message of the peer; ignore it if its exchange has ended.

        Raise ProtocolError if it is not valid in the exchange's state.
        """
        item = self._exchanges.get(message.xid)
        if item is None:
            return
        match message:
            case wire.Accepted() if not item.has_response_started:
                item.state = _ExchangeState.ACCEPTED
                server = exchange.Endpoint(task=self._link, xid=message.xid)
                item.caller.post(
                    exchange.ExchangeAccepted(
                        xid=item.caller.xid, server=server
                    )
                )
            case wire.Credit() if item.state is not _ExchangeState.OPENED:
                self._link.grant_credit(item.caller, message.size)
            case wire.ResponseHead() if item.state is _ExchangeState.ACCEPTED:
                self._on_head(item, message)
            case wire.ResponseChunk() if item.has_response_started:
                self._on_chunk(item, message)
            case wire.ResponseEnd() if item.has_response_started:
                self._on_end(item, message)
            case wire.Failed():
                error = _checks.to_error(message, item.has_response_started)
                self._finish(message.xid, error)
            case _:
                raise errors.ProtocolError(
                    'the message is not valid in this state of the exchange',
                    type=type(message).__name__,
                    state=item.state.value,
                )

    def _on_head(
        self, item: _ForwardedExchange, message: wire.ResponseHead
    ) -> None:
        """Send the head of the response to the caller side."""
        if not _checks.is_response_head_valid(message):
            self._abort(
                message.xid,
                errors.PeerResponseError('the response head is malformed'),
            )
            return
        item.state = _ExchangeState.ANSWERING
        item.remaining_bytes = _checks.response_body_length(
            item.method, message
        )
        item.caller.post(dataclasses.replace(message, xid=item.caller.xid))

    def _on_chunk(
        self, item: _ForwardedExchange, message: wire.ResponseChunk
    ) -> None:
        """Send a chunk of the response within credit and length."""
        size = len(message.data)
        item.uncredited_bytes += size
        if item.uncredited_bytes > const.MAX_UNCREDITED_BYTES:
            raise errors.ProtocolError('the response exceeds its credit')
        if item.remaining_bytes is not None:
            item.remaining_bytes -= size
            if item.remaining_bytes < 0:
                self._abort(
                    message.xid,
                    errors.PeerResponseError(
                        'the response exceeds its declared length'
                    ),
                )
                return
        item.caller.post(dataclasses.replace(message, xid=item.caller.xid))

    def _on_end(
        self, item: _ForwardedExchange, message: wire.ResponseEnd
    ) -> None:
        """End the response if its declared length was received."""
        if item.remaining_bytes:
            self._finish(
                message.xid,
                errors.PeerResponseError('the response is truncated'),
            )
            return
        item.caller.post(dataclasses.replace(message, xid=item.caller.xid))
        self._finish(message.xid, None)

    def send(self, message: wire.PeerMessage) -> None:
        """Send a message from the caller side to the peer."""
        item = self._exchanges.get(message.xid)
        if item is None:
            return
        if isinstance(message, wire.Cancel):
            self._abort(message.xid, errors.CallerLeftError('the caller left'))
            return
        if isinstance(message, wire.Credit):
            item.uncredited_bytes -= message.size
        if isinstance(message, wire.BodyEnd):
            if item.is_body_ended:
                return
            item.is_body_ended = True
        self._link.send(message)

    def cancel(self, ticket_id: str) -> None:
        """Abort the request of a ticket if it is still in progress."""
        xid = self._by_ticket.get(ticket_id)
        if xid is not None:
            self._abort(xid, errors.CallerLeftError('the caller left'))

    def _on_deadline(self, xid: int) -> None:
        """Abort an exchange that the peer has not ended in time."""
        if xid in self._exchanges:
            self._abort(
                xid,
                errors.PeerTimeoutError(
                    'the peer did not end the exchange before its deadline'
                ),
            )

    def _abort(self, xid: int, error: core.OriolestandError) -> None:
        """Cancel an exchange at the peer and end it."""
        self._link.send(wire.Cancel(xid=xid))
        self._finish(xid, error)

    def _finish(self, xid: int, error: core.OriolestandError | None) -> None:
        """Remove an exchange and report its outcome to dispatch."""
        item = self._exchanges.pop(xid)
        del self._by_ticket[item.ticket_id]
        item.timer.cancel()
        kernel = self._link.kernel
        latency = kernel.clock.now() - item.started
        has_left = isinstance(error, errors.CallerLeftError)
        self._report_span(item)
        report_attempt(
            kernel,
            item.ticket_id,
            error,
            item.has_response_started,
            latency,
            is_final=has_left or item.is_body_accepted,
        )

    def _report_span(self, item: _ForwardedExchange) -> None:
        """Report the span of a sampled request to telemetry."""
        kernel = self._link.kernel
        if item.trace is None or 'telemetry' not in kernel.services:
            return
        hello = self._link.hello
        peer = hello.instance_id if hello is not None else ''
        kernel.post(
            'telemetry',
            telemetry.SpanEnded(
                name='peer forward',
                context=item.trace,
                parent_id=item.parent_id,
                started=item.started,
                ended=kernel.clock.now(),
                attributes=(('oriolestand.peer', peer),),
            ),
        )

    def close(self) -> None:
        """Fail all exchanges because the link is lost."""
        for xid in list(self._exchanges):
            self._finish(
                xid, errors.PeerLostError('the link to the peer was lost')
            )


def _build_open_message(
    head: exchange.RequestHead,
    xid: int,
    now: core.Millis,
    trace: telemetry.TraceContext | None,
) -> wire.Open:
    """Return the message that forwards a request."""
    return wire.Open(
        xid=xid,
        request_id=head.request_id,
        method=head.method,
        target=head.target,
        headers=head.headers,
        route=head.route.name,
        generation=head.generation,
        remaining_ms=max(0, head.deadline - now),
        team=head.team,
        traceparent=str(trace or head.traceparent),
        hops=head.hops + 1,
        body_length=head.body_length,
        priority=head.route.priority,
        idempotency_key=head.idempotency_key,
        is_service=head.route.kind is tables.Kind.SERVICE,
    )
