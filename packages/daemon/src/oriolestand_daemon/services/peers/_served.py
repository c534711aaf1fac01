"""Keep the exchanges that the peer opened on a link."""

import dataclasses
from typing import TYPE_CHECKING

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.peers import _checks
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
from oriolestand_policy import admission
from oriolestand_policy import tables
import oriolestand_wire as wire

if TYPE_CHECKING:
    from oriolestand_daemon.services.peers._link import Link


@dataclasses.dataclass(slots=True, kw_only=True)
class _Served:
    """Hold a request that the peer forwarded to this daemon.

    ``missing`` is what is left of a body of known length.
    """

    ticket_id: str
    missing: int | None
    server: exchange.Endpoint | None = None
    received: int = 0
    uncredited: int = 0
    is_body_ended: bool = False


class ServedExchanges:
    """Hand the peer's requests to dispatch and send the answers back."""

    def __init__(self, link: 'Link', max_body_bytes: int) -> None:
        self._link = link
        self._max_body_bytes = max_body_bytes
        self._last_xid = 0
        self._items: dict[int, _Served] = {}

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._items)

    def receive(self, message: wire.PeerMessage) -> None:
        """Handle a message of the peer; drop those of ended ids."""
        if isinstance(message, wire.Open):
            self._on_open(message)
            return
        item = self._items.get(message.xid)
        if item is None:
            return
        match message:
            case wire.Cancel():
                del self._items[message.xid]
                self._cancel(item)
            case wire.BodyChunk() if not item.is_body_ended and item.server:
                self._on_chunk(item, message)
            case wire.BodyEnd() if not item.is_body_ended and item.server:
                if item.missing:
                    raise errors.ProtocolError('the body is cut')
                item.is_body_ended = True
                self._pass_on(item, message)
            case wire.Credit() if item.server:
                self._link.give_credit(item.server, message.size)
            case _:
                raise errors.ProtocolError(
                    'the message does not fit the exchange',
                    type=type(message).__name__,
                )

    def _on_chunk(self, item: _Served, message: wire.BodyChunk) -> None:
        """Pass on a part of the body within credit and length."""
        size = len(message.data)
        item.received += size
        item.uncredited += size
        if item.uncredited > const.MAX_UNCREDITED_BYTES:
            raise errors.ProtocolError('the body exceeds its credit')
        if item.missing is not None:
            item.missing -= size
            if item.missing < 0:
                raise errors.ProtocolError('the body exceeds its length')
        if item.received > self._max_body_bytes:
            self._give_up(message.xid, 'the body is too large')
            return
        self._pass_on(item, message)

    def _pass_on(self, item: _Served, message: wire.PeerMessage) -> None:
        """Send a message to the server's side under its own id."""
        assert item.server is not None
        item.server.post(dataclasses.replace(message, xid=item.server.xid))

    def _on_open(self, message: wire.Open) -> None:
        """Serve a request that the peer forwarded."""
        if message.xid <= self._last_xid:
            raise errors.ProtocolError('an id is used again', xid=message.xid)
        self._last_xid = message.xid
        try:
            _checks.check_open(message, self._max_body_bytes)
            route = self._link.owner.find_route(
                message.generation, message.route
            )
            self._submit(message, route)
        except core.OriolestandError as exc:
            self._items.pop(message.xid, None)
            self._fail(message.xid, exc)

    def _submit(self, message: wire.Open, route: tables.Route) -> None:
        """Hand a request to dispatch."""
        kernel = self._link.kernel
        now = kernel.clock.now()
        left = min(message.remaining_ms, route.timeout_ms)
        deadline = core.Millis(now + left)
        # The session makes the id unique among all links of the process.
        ticket_id = f'{self._link.session}:{message.xid}'
        self._items[message.xid] = _Served(
            ticket_id=ticket_id, missing=message.body_length
        )
        kernel.post(
            'dispatch',
            exchange.OpenExchange(
                head=_to_head(message, route, deadline),
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
        """Tell the peer that the body may come."""
        item = self._items.get(msg.xid)
        if item is None:
            msg.server.post(exchange.Cancel(xid=msg.server.xid))
            return
        item.server = msg.server
        if item.received:
            # A repeat at another upstream would get only the rest of the
            # body, because its first part is not kept.
            self._give_up(msg.xid, 'the body cannot be sent again')
            return
        self._link.send(wire.Accepted(xid=msg.xid))

    def _give_up(self, xid: int, reason: str) -> None:
        """End an exchange whose body cannot be passed on."""
        self._cancel(self._items.pop(xid))
        self._fail(xid, errors.ForwardedBodyError(reason))

    def fail(self, msg: exchange.ExchangeFailed) -> None:
        """Tell the peer that its request failed."""
        if self._items.pop(msg.xid, None) is not None:
            self._fail(msg.xid, msg.error)

    def send(self, message: wire.PeerMessage) -> None:
        """Send a message of the server's side to the peer."""
        item = self._items.get(message.xid)
        if item is None:
            return
        if isinstance(message, wire.Credit):
            item.uncredited -= message.size
        try:
            frame = self._link.encode(message)
        except core.OriolestandError as exc:
            self._cancel(item)
            del self._items[message.xid]
            error = errors.PeerAnswerError(exc.message)
            self._fail(message.xid, error)
            return
        self._link.write(frame)
        if isinstance(message, wire.ResponseEnd):
            del self._items[message.xid]

    def _cancel(self, item: _Served) -> None:
        """Abort a request whose caller left."""
        if item.server is not None:
            item.server.post(exchange.Cancel(xid=item.server.xid))
            return
        self._link.kernel.post(
            'dispatch', exchange.CancelRequest(ticket_id=item.ticket_id)
        )

    def _fail(self, xid: int, error: core.OriolestandError) -> None:
        """Tell the peer that its request failed."""
        self._link.send(
            wire.Failed(
                xid=xid,
                code=error.code,
                message=error.message[: _checks.MAX_MESSAGE_CHARS],
                verdict=error.verdict.value,
                http_status=error.http_status,
            )
        )

    def close(self) -> None:
        """Abort all exchanges because the link is lost."""
        items, self._items = self._items, {}
        for item in items.values():
            self._cancel(item)


def _to_head(
    message: wire.Open, route: tables.Route, deadline: core.Millis
) -> exchange.RequestHead:
    """Return the head of a request as the other services know it."""
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
