"""Keep the exchanges that this daemon opened on a link."""

import dataclasses
import enum
from typing import TYPE_CHECKING
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.peers import _checks
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
from oriolestand_policy import dispatching
from oriolestand_policy import tables
import oriolestand_wire as wire

if TYPE_CHECKING:
    from oriolestand_daemon.services.peers._link import Link


def report(
    kernel: core.Kernel,
    ticket_id: str,
    error: core.OriolestandError | None,
    answered: bool = False,
    latency_ms: float = 0.0,
    is_final: bool = False,
) -> None:
    """Tell dispatch how an attempt at a peer ended."""
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


class _State(enum.Enum):
    """Name how far the peer has come with an exchange."""

    OPENED = 'opened'
    ACCEPTED = 'accepted'
    ANSWERING = 'answering'


@dataclasses.dataclass(slots=True, kw_only=True)
class _Forwarded:
    """Hold a request that this daemon forwarded.

    ``uncredited`` counts bytes of the answer for which the caller's side
    has not given credit yet; ``missing`` what is left of a known length.
    """

    ticket_id: str
    caller: exchange.Endpoint
    method: str
    started: core.Millis
    timer: Any
    trace: telemetry.TraceContext | None
    parent_id: str
    has_body: bool
    state: _State = _State.OPENED
    uncredited: int = 0
    missing: int | None = None
    is_body_ended: bool = False

    @property
    def is_answered(self) -> bool:
        """Return whether a part of the answer went to the caller."""
        return self.state is _State.ANSWERING

    @property
    def is_body_accepted(self) -> bool:
        """Return whether a part of the body may be consumed."""
        return self.has_body and self.state is not _State.OPENED


class ForwardedExchanges:
    """Open exchanges at the peer and pass its answers on.

    Ids are odd at the side that dialed and even at the other one. They
    only rise, so that a late message never meets another exchange.
    """

    def __init__(self, link: 'Link', first_xid: int) -> None:
        self._link = link
        self._next_xid = first_xid
        self._items: dict[int, _Forwarded] = {}
        self._by_ticket: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._items)

    def is_mine(self, xid: int) -> bool:
        """Return whether an id is one that this side gives out."""
        return xid % 2 == self._next_xid % 2

    def open(self, msg: exchange.StartExchange) -> None:
        """Forward a request, at most once on its way."""
        kernel = self._link.kernel
        now = kernel.clock.now()
        head = msg.head
        trace = telemetry.sampled_child(head.traceparent)
        message = _to_open(head, self._next_xid, now, trace)
        try:
            if head.hops:
                raise errors.HopLimitError('the request was forwarded before')
            frame = self._link.encode(message)
            self._link.begin(len(frame))
        except core.OriolestandError as exc:
            report(kernel, msg.ticket_id, exc)
            return
        xid = self._next_xid
        self._next_xid += 2
        timer = kernel.clock.call_later(
            max(0, head.deadline - now) + const.PEER_GRACE_MS,
            lambda: self._on_deadline(xid),
        )
        self._items[xid] = _Forwarded(
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
        """Handle a message of the peer; drop those of ended ids."""
        item = self._items.get(message.xid)
        if item is None:
            return
        match message:
            case wire.Accepted() if not item.is_answered:
                item.state = _State.ACCEPTED
                server = exchange.Endpoint(task=self._link, xid=message.xid)
                item.caller.post(
                    exchange.ExchangeAccepted(
                        xid=item.caller.xid, server=server
                    )
                )
            case wire.Credit() if item.state is not _State.OPENED:
                self._link.give_credit(item.caller, message.size)
            case wire.ResponseHead() if item.state is _State.ACCEPTED:
                self._on_head(item, message)
            case wire.ResponseChunk() if item.is_answered:
                self._on_chunk(item, message)
            case wire.ResponseEnd() if item.is_answered:
                self._on_end(item, message)
            case wire.Failed():
                error = _checks.to_error(message, item.is_answered)
                self._end(message.xid, error)
            case _:
                raise errors.ProtocolError(
                    'the message does not fit the exchange',
                    type=type(message).__name__,
                    state=item.state.value,
                )

    def _on_head(self, item: _Forwarded, message: wire.ResponseHead) -> None:
        """Begin the answer."""
        if not _checks.is_answer_head_valid(message):
            self._abort(
                message.xid, errors.PeerAnswerError('the head is malformed')
            )
            return
        item.state = _State.ANSWERING
        item.missing = _checks.answer_length(item.method, message)
        item.caller.post(dataclasses.replace(message, xid=item.caller.xid))

    def _on_chunk(self, item: _Forwarded, message: wire.ResponseChunk) -> None:
        """Pass on a part of the answer within credit and length."""
        size = len(message.data)
        item.uncredited += size
        if item.uncredited > const.MAX_UNCREDITED_BYTES:
            raise errors.ProtocolError('the answer exceeds its credit')
        if item.missing is not None:
            item.missing -= size
            if item.missing < 0:
                self._abort(
                    message.xid, errors.PeerAnswerError('the answer is long')
                )
                return
        item.caller.post(dataclasses.replace(message, xid=item.caller.xid))

    def _on_end(self, item: _Forwarded, message: wire.ResponseEnd) -> None:
        """End the answer if all bytes of its length came."""
        if item.missing:
            self._end(message.xid, errors.PeerAnswerError('the answer is cut'))
            return
        item.caller.post(dataclasses.replace(message, xid=item.caller.xid))
        self._end(message.xid, None)

    def send(self, message: wire.PeerMessage) -> None:
        """Send a message of the caller's side to the peer."""
        item = self._items.get(message.xid)
        if item is None:
            return
        if isinstance(message, wire.Cancel):
            self._abort(message.xid, errors.CallerLeftError('the caller left'))
            return
        if isinstance(message, wire.Credit):
            item.uncredited -= message.size
        if isinstance(message, wire.BodyEnd):
            if item.is_body_ended:
                return
            item.is_body_ended = True
        self._link.send(message)

    def cancel(self, ticket_id: str) -> None:
        """Abort the request of a ticket, if it is still open."""
        xid = self._by_ticket.get(ticket_id)
        if xid is not None:
            self._abort(xid, errors.CallerLeftError('the caller left'))

    def _on_deadline(self, xid: int) -> None:
        """Give up an exchange that the peer should have ended."""
        if xid in self._items:
            self._abort(xid, errors.PeerTimeoutError('the peer is late'))

    def _abort(self, xid: int, error: core.OriolestandError) -> None:
        """End an exchange and tell the peer."""
        self._link.send(wire.Cancel(xid=xid))
        self._end(xid, error)

    def _end(self, xid: int, error: core.OriolestandError | None) -> None:
        """Forget an exchange and tell dispatch how it ended."""
        item = self._items.pop(xid)
        del self._by_ticket[item.ticket_id]
        item.timer.cancel()
        kernel = self._link.kernel
        latency = kernel.clock.now() - item.started
        has_left = isinstance(error, errors.CallerLeftError)
        self._trace(item)
        report(
            kernel,
            item.ticket_id,
            error,
            item.is_answered,
            latency,
            is_final=has_left or item.is_body_accepted,
        )

    def _trace(self, item: _Forwarded) -> None:
        """Tell telemetry about the hop of a sampled request."""
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
        """End all exchanges because the link is lost."""
        for xid in list(self._items):
            self._end(xid, errors.PeerLostError('the link to the peer broke'))


def _to_open(
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
