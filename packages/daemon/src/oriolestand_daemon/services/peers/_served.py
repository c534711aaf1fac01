"""Track the requests that the peer forwarded over a link."""

import dataclasses

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.peers import _checks
from oriolestand_daemon.services.peers import _exchange_link
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
from oriolestand_policy import admission
from oriolestand_policy import tables
import oriolestand_wire as wire


@dataclasses.dataclass(slots=True, kw_only=True)
class _ServedExchange:
    """A request that the peer forwarded to this daemon.

    ``remaining_bytes`` is the part of the request body still to come, None
    if its length is unknown.
    """

    ticket_id: str
    remaining_bytes: int | None
    server: exchange.Endpoint | None = None
    received_bytes: int = 0
    uncredited_bytes: int = 0
    is_body_ended: bool = False


class ServedExchanges:
    """Submits requests of the peer to dispatch and returns the responses."""

    def __init__(
        self, link: _exchange_link.ExchangeLink, max_body_bytes: int
    ) -> None:
        self._link = link
        self._max_body_bytes = max_body_bytes
        self._last_xid = 0
        self._exchanges: dict[int, _ServedExchange] = {}

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._exchanges)

    def receive(self, message: wire.PeerMessage) -> None:
        """Handle a message of the peer; ignore it if its exchange has ended.

        Raise ProtocolError if it is not valid in the exchange's state.
        """
        if isinstance(message, wire.Open):
            self._on_open(message)
            return
        item = self._exchanges.get(message.xid)
        if item is None:
            return
        match message:
            case wire.Cancel():
                del self._exchanges[message.xid]
                self._cancel(item)
            case wire.BodyChunk() if not item.is_body_ended and item.server:
                self._on_chunk(item, message)
            case wire.BodyEnd() if not item.is_body_ended and item.server:
                if item.remaining_bytes:
                    raise errors.ProtocolError('the body is truncated')
                item.is_body_ended = True
                self._send_to_server(item, message)
            case wire.Credit() if item.server:
                self._link.grant_credit(item.server, message.size)
            case _:
                raise errors.ProtocolError(
                    'the message is not valid in this state of the exchange',
                    type=type(message).__name__,
                )

    def _on_chunk(
        self, item: _ServedExchange, message: wire.BodyChunk
    ) -> None:
        """Send a chunk of the body to the server side, within the limits."""
        size = len(message.data)
        item.received_bytes += size
        item.uncredited_bytes += size
        if item.uncredited_bytes > const.MAX_UNCREDITED_BYTES:
            raise errors.ProtocolError('the body exceeds its credit')
        if item.remaining_bytes is not None:
            item.remaining_bytes -= size
            if item.remaining_bytes < 0:
                raise errors.ProtocolError(
                    'the body exceeds its declared length'
                )
        if item.received_bytes > self._max_body_bytes:
            self._abandon(message.xid, 'the body is too large')
            return
        self._send_to_server(item, message)

    def _send_to_server(
        self, item: _ServedExchange, message: wire.PeerMessage
    ) -> None:
        """Send a message to the server side, with the id used there."""
        assert item.server is not None
        item.server.post(dataclasses.replace(message, xid=item.server.xid))

    def _on_open(self, message: wire.Open) -> None:
        """Accept a request from the peer, or report why it failed."""
        if message.xid <= self._last_xid:
            raise errors.ProtocolError(
                'the exchange id is not greater than the last one',
                xid=message.xid,
            )
        self._last_xid = message.xid
        try:
            _checks.check_request_head(message, self._max_body_bytes)
            route = self._link.get_route(message.generation, message.route)
            self._submit(message, route)
        except core.OriolestandError as exc:
            self._exchanges.pop(message.xid, None)
            self._fail(message.xid, exc)

    def _submit(self, message: wire.Open, route: tables.Route) -> None:
        """Submit a request to dispatch."""
        kernel = self._link.kernel
        now = kernel.clock.now()
        timeout_ms = min(message.remaining_ms, route.timeout_ms)
        deadline = core.Millis(now + timeout_ms)
        # Exchange ids are unique per link only; the session adds the link.
        ticket_id = f'{self._link.session}:{message.xid}'
        self._exchanges[message.xid] = _ServedExchange(
            ticket_id=ticket_id, remaining_bytes=message.body_length
        )
        kernel.post(
            'dispatch',
            exchange.OpenExchange(
                head=_build_request_head(message, route, deadline),
                ticket=admission.Ticket(
                    id=ticket_id,
                    pool=route.pool,
                    team=message.team,
                    kind=route.kind,
                    priority=message.priority,
                    arrived=now,
                    deadline=deadline,
                    hops=message.hops,
                    body_is_empty=message.body_length == 0,
                ),
                caller=exchange.Endpoint(task=self._link, xid=message.xid),
            ),
        )

    def accept(self, msg: exchange.ExchangeAccepted) -> None:
        """Notify the peer that it may send the body."""
        item = self._exchanges.get(msg.xid)
        if item is None:
            msg.server.post(exchange.Cancel(xid=msg.server.xid))
            return
        item.server = msg.server
        if item.received_bytes:
            # This is a retry at another upstream. It would get only the
            # rest of the body, as the part already sent is not stored.
            self._abandon(
                msg.xid, 'the body was partly sent and cannot be repeated'
            )
            return
        self._link.send(wire.Accepted(xid=msg.xid))

    def _abandon(self, xid: int, reason: str) -> None:
        """Fail an exchange whose body cannot be forwarded."""
        self._cancel(self._exchanges.pop(xid))
        self._fail(xid, errors.ForwardedBodyError(reason))

    def fail(self, msg: exchange.ExchangeFailed) -> None:
        """End an exchange and notify the peer of its failure."""
        if self._exchanges.pop(msg.xid, None) is not None:
            self._fail(msg.xid, msg.error)

    def send(self, message: wire.PeerMessage) -> None:
        """Send a message of the server side to the peer."""
        item = self._exchanges.get(message.xid)
        if item is None:
            return
        if isinstance(message, wire.Credit):
            item.uncredited_bytes -= message.size
        try:
            frame = self._link.encode(message)
        except core.OriolestandError as exc:
            self._cancel(item)
            del self._exchanges[message.xid]
            error = errors.PeerResponseError(exc.message)
            self._fail(message.xid, error)
            return
        self._link.write(frame)
        if isinstance(message, wire.ResponseEnd):
            del self._exchanges[message.xid]

    def _cancel(self, item: _ServedExchange) -> None:
        """Cancel a request at the server side or at dispatch."""
        if item.server is not None:
            item.server.post(exchange.Cancel(xid=item.server.xid))
            return
        self._link.kernel.post(
            'dispatch', exchange.CancelRequest(ticket_id=item.ticket_id)
        )

    def _fail(self, xid: int, error: core.OriolestandError) -> None:
        """Send the error of a request to the peer."""
        self._link.send(
            wire.Failed(
                xid=xid,
                code=error.code,
                message=error.message[: _checks.MAX_ERROR_MESSAGE_CHARS],
                verdict=error.verdict.value,
                http_status=error.http_status,
            )
        )

    def close(self) -> None:
        """Cancel all requests because the link is lost."""
        items, self._exchanges = self._exchanges, {}
        for item in items.values():
            self._cancel(item)


def _build_request_head(
    message: wire.Open, route: tables.Route, deadline: core.Millis
) -> exchange.RequestHead:
    """Convert the message of the peer into a request head."""
    return exchange.RequestHead(
        request_id=message.request_id,
        method=message.method,
        target=message.target,
        headers=message.headers,
        route=route,
        generation=message.generation,
        deadline=deadline,
        team=message.team,
        traceparent=message.traceparent,
        hops=message.hops,
        body_length=message.body_length,
        idempotency_key=message.idempotency_key,
    )
