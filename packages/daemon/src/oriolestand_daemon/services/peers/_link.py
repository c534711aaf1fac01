"""Speak the protocol between daemons on one connection."""

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import protocol
from twisted.python import failure

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import peers
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import tables
import oriolestand_wire as wire

if TYPE_CHECKING:
    from oriolestand_daemon.services.peers._task import PeersTask


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


@dataclasses.dataclass(slots=True, kw_only=True)
class _Forwarded:
    """Hold a request that this daemon forwarded on the link."""

    ticket_id: str
    caller: exchange.Endpoint
    started: core.Millis
    trace: telemetry.TraceContext | None = None
    parent_id: str = ''
    has_body: bool = False
    is_answered: bool = False
    is_body_accepted: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Served:
    """Hold a request that the peer forwarded to this daemon."""

    ticket_id: str
    server: exchange.Endpoint | None = None


class Link(protocol.Protocol, core.Task):
    """Own one connection to a peer and the exchanges on it.

    Exchanges that this side opened have odd ids when it dialed and even
    ones otherwise, so both sides can open exchanges at any time.
    """

    inbox_limit = 65_536

    def __init__(self, owner: 'PeersTask', dialed: str | None = None) -> None:
        core.Task.__init__(self, owner.kernel, const.DOMAIN)
        self.dialed = dialed
        self.hello: wire.Hello | None = None
        self._owner = owner
        self._reader = wire.FrameReader()
        self._next_xid = 1 if dialed is not None else 2
        self._forwarded: dict[int, _Forwarded] = {}
        self._served: dict[int, _Served] = {}
        self._last_heard = owner.kernel.clock.now()
        self._sequence = 0
        self._timer: Any = None
        self._is_closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Introduce this daemon and begin heartbeats."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        cfg = self._owner.cfg
        self.send(
            wire.Hello(
                version=wire.PROTOCOL_VERSION,
                instance_id=cfg.instance_id,
                incarnation=self.kernel.incarnation,
                failure_domain=cfg.failure_domain,
                region=cfg.region,
                peer_address=self._owner.address,
            )
        )
        self._beat()

    def _beat(self) -> None:
        """Send a heartbeat, or drop a link that has been silent."""
        now = self.kernel.clock.now()
        if now - self._last_heard > const.HEARTBEAT_TIMEOUT_MS:
            self.drop()
            return
        self._sequence += 1
        self.send(wire.Heartbeat(sequence=self._sequence))
        self._timer = self.kernel.clock.call_later(
            const.HEARTBEAT_INTERVAL_MS, self._beat
        )

    def send(self, message: wire.PeerMessage) -> None:
        """Write a message unless the link is closed."""
        if self._is_closed:
            return
        transport: Any = self.transport
        transport.write(wire.write_frame(wire.encode(message)))

    def drop(self) -> None:
        """Close the connection now."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle each whole message."""
        self._last_heard = self.kernel.clock.now()
        try:
            for frame in self._reader.feed(data):
                self._receive(wire.decode(frame))
        except core.OriolestandError as exc:
            self._owner.log.warning('Link refused', reason=str(exc))
            self.drop()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """End all exchanges on the link."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        for forwarded in self._forwarded.values():
            report(
                self.kernel,
                forwarded.ticket_id,
                errors.PeerLostError('the link to the peer broke'),
                forwarded.is_answered,
                is_final=forwarded.is_body_accepted,
            )
        for served in self._served.values():
            self._cancel(served)
        self._forwarded.clear()
        self._served.clear()
        self._owner.link_down(self)
        core.Task.stop(self)

    def _receive(self, message: wire.PeerMessage) -> None:
        """Handle one message of the peer."""
        if self.hello is None:
            self._on_hello(message)
        elif message.xid:
            self._on_exchange(message)
        elif isinstance(message, wire.Heartbeat):
            self.send(wire.HeartbeatAck(sequence=message.sequence))
        elif isinstance(message, wire.Load):
            self.kernel.publish(
                peers.PeerLoadChanged(
                    peer=self.hello.instance_id,
                    distance=self._owner.distance(self.hello),
                    pools=message.pools,
                )
            )
        elif isinstance(message, wire.TablesDocument):
            self.kernel.post(
                'tables',
                config.ReceivedTables(
                    document=message.document, peer=self.hello.instance_id
                ),
            )
        elif isinstance(message, wire.Leaving):
            for address in message.upstreams:
                self.kernel.publish(
                    membership.UpstreamLeaving(address=address)
                )

    def _on_hello(self, message: wire.PeerMessage) -> None:
        """Check the first message."""
        if not isinstance(message, wire.Hello):
            raise errors.HandshakeError('the first message is not a hello')
        if message.version != wire.PROTOCOL_VERSION:
            raise errors.HandshakeError(
                'unknown protocol version', version=message.version
            )
        if message.incarnation == self.kernel.incarnation:
            raise errors.HandshakeError('the peer is this daemon itself')
        self.hello = message
        if not self._owner.link_up(self, message):
            self.drop()

    def forward(self, msg: exchange.StartExchange) -> None:
        """Open an exchange at the peer."""
        xid = self._next_xid
        self._next_xid += 2
        now = self.kernel.clock.now()
        head = msg.head
        trace = telemetry.sampled_child(head.traceparent)
        self._forwarded[xid] = _Forwarded(
            ticket_id=msg.ticket_id,
            caller=msg.caller,
            started=now,
            trace=trace,
            parent_id=telemetry.parent_id(head.traceparent),
            has_body=head.body_length != 0,
        )
        self.send(
            wire.Open(
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
        )

    def _on_exchange(self, message: wire.PeerMessage) -> None:
        """Handle a message of an exchange; drop those of unknown ids."""
        if isinstance(message, wire.Open):
            self._on_open(message)
            return
        forwarded = self._forwarded.get(message.xid)
        if forwarded is not None:
            self._on_answer(forwarded, message)
            return
        served = self._served.get(message.xid)
        if served is None:
            return
        if isinstance(message, wire.Cancel):
            self._served.pop(message.xid)
            self._cancel(served)
        elif served.server is not None:
            served.server.post(
                dataclasses.replace(message, xid=served.server.xid)
            )

    def _on_answer(
        self, forwarded: _Forwarded, message: wire.PeerMessage
    ) -> None:
        """Pass a message of the server's side on to the caller's side."""
        caller = forwarded.caller
        if isinstance(message, wire.Accepted):
            forwarded.is_body_accepted = forwarded.has_body
            caller.post(
                exchange.ExchangeAccepted(
                    xid=caller.xid,
                    server=exchange.Endpoint(task=self, xid=message.xid),
                )
            )
            return
        if isinstance(message, wire.Failed):
            self._forget(message.xid)
            error = errors.PeerRefusedError(
                message.message, core.Verdict(message.verdict)
            )
            error.code = message.code
            error.http_status = message.http_status
            report(
                self.kernel,
                forwarded.ticket_id,
                error,
                forwarded.is_answered,
                is_final=forwarded.is_body_accepted,
            )
            return
        if isinstance(message, wire.ResponseHead):
            forwarded.is_answered = True
        caller.post(dataclasses.replace(message, xid=caller.xid))
        if isinstance(message, wire.ResponseEnd):
            self._forget(message.xid)
            latency = self.kernel.clock.now() - forwarded.started
            report(self.kernel, forwarded.ticket_id, None, True, latency)

    def _forget(self, xid: int) -> None:
        """Drop a forwarded request and tell telemetry about the hop."""
        forwarded = self._forwarded.pop(xid)
        if forwarded.trace is None or 'telemetry' not in self.kernel.services:
            return
        self.kernel.post(
            'telemetry',
            telemetry.SpanEnded(
                name='peer forward',
                context=forwarded.trace,
                parent_id=forwarded.parent_id,
                started=forwarded.started,
                ended=self.kernel.clock.now(),
                attributes=(
                    (
                        'oriolestand.peer',
                        self.hello.instance_id if self.hello else '',
                    ),
                ),
            ),
        )

    def cancel_forwarded(self, ticket_id: str) -> None:
        """Abort a forwarded request whose caller left."""
        for xid, forwarded in list(self._forwarded.items()):
            if forwarded.ticket_id == ticket_id:
                self._end_cancelled(xid, forwarded)

    def _end_cancelled(self, xid: int, forwarded: _Forwarded) -> None:
        """Tell the peer and dispatch; the peer answers nothing more."""
        self.send(wire.Cancel(xid=xid))
        self._forget(xid)
        report(
            self.kernel,
            forwarded.ticket_id,
            errors.PeerLostError('the caller left'),
            forwarded.is_answered,
            is_final=True,
        )

    def _on_open(self, message: wire.Open) -> None:
        """Serve a request that the peer forwarded."""
        generation = self._owner.generation
        route = None
        if generation is not None:
            route = next(
                (
                    r
                    for r in generation.tables.routes
                    if r.name == message.route
                ),
                None,
            )
        if route is None:
            self._fail(
                message.xid,
                errors.PeerRefusedError('unknown route', route=message.route),
            )
            return
        now = self.kernel.clock.now()
        deadline = core.Millis(now + message.remaining_ms)
        ticket_id = f'{id(self)}:{message.xid}'
        self._served[message.xid] = _Served(ticket_id=ticket_id)
        head = exchange.RequestHead(
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
        ticket = admission.Ticket(
            id=ticket_id,
            pool=route.pool,
            team=message.team,
            kind=route.kind,
            priority=message.priority,
            arrived=now,
            deadline=deadline,
            hops=message.hops,
        )
        self.kernel.post(
            'dispatch',
            exchange.OpenExchange(
                head=head,
                ticket=ticket,
                caller=exchange.Endpoint(task=self, xid=message.xid),
            ),
        )

    def _cancel(self, served: _Served) -> None:
        """Abort a request whose caller left."""
        if served.server is not None:
            served.server.post(exchange.Cancel(xid=served.server.xid))
            return
        self.kernel.post(
            'dispatch', exchange.CancelRequest(ticket_id=served.ticket_id)
        )

    def _fail(self, xid: int, error: core.OriolestandError) -> None:
        """Tell the peer that its request failed."""
        self.send(
            wire.Failed(
                xid=xid,
                code=error.code,
                message=error.message,
                verdict=error.verdict.value,
                http_status=error.http_status,
            )
        )

    @core.handles(exchange.ExchangeAccepted)
    def _on_accepted(self, msg: exchange.ExchangeAccepted) -> None:
        """Tell the peer that the body may come."""
        served = self._served.get(msg.xid)
        if served is None:
            msg.server.post(exchange.Cancel(xid=msg.server.xid))
            return
        served.server = msg.server
        self.send(wire.Accepted(xid=msg.xid))

    @core.handles(exchange.ExchangeFailed)
    def _on_failed(self, msg: exchange.ExchangeFailed) -> None:
        """Tell the peer that its request failed."""
        if self._served.pop(msg.xid, None) is not None:
            self._fail(msg.xid, msg.error)

    @core.handles(exchange.ResponseHead)
    @core.handles(exchange.ResponseChunk)
    @core.handles(exchange.ResponseEnd)
    @core.handles(exchange.Credit)
    @core.handles(exchange.BodyChunk)
    @core.handles(exchange.BodyEnd)
    @core.handles(exchange.Cancel)
    def _on_local(self, msg: wire.PeerMessage) -> None:
        """Send a message of this side to the peer."""
        forwarded = self._forwarded.get(msg.xid)
        if msg.xid not in self._served and forwarded is None:
            return
        if forwarded is not None and isinstance(msg, exchange.Cancel):
            self._end_cancelled(msg.xid, forwarded)
            return
        self.send(msg)
        if isinstance(msg, exchange.ResponseEnd):
            self._served.pop(msg.xid, None)
