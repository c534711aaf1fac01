"""Implement the protocol between daemons on one connection."""

import enum
from typing import Any

from OpenSSL import SSL
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.peers import _exchange_link
from oriolestand_daemon.services.peers import _forwarded
from oriolestand_daemon.services.peers import _owner
from oriolestand_daemon.services.peers import _served
from oriolestand_daemon.services.peers import _tls
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
from oriolestand_policy import pacing
from oriolestand_policy import tables
import oriolestand_wire as wire


class LinkState(enum.Enum):
    """The state of a link.

    Of two daemons, the one with the smaller instance id decides whether a
    link is activated. At the other one the link is ``PROPOSED`` until the
    first heartbeat arrives.
    """

    CONNECTED = 'connected'
    PROPOSED = 'proposed'
    UP = 'up'
    CLOSED = 'closed'


class Link(protocol.Protocol, _exchange_link.ExchangeLink):
    """A connection to a peer and the exchanges on it."""

    inbox_limit = 65_536

    def __init__(
        self,
        owner: '_owner.LinkOwner[Link]',
        dialed_address: str | None = None,
    ) -> None:
        core.Task.__init__(self, owner.kernel, const.DOMAIN)
        self.dialed_address = dialed_address
        self.hello: wire.Hello | None = None
        self.state = LinkState.CONNECTED
        self.session = owner.next_session()
        self.owner = owner
        self.last_load: wire.Load | None = None
        self.budget: pacing.ByteBudget | None = None
        self.closed: defer.Deferred[None] = defer.Deferred()
        self._reader = wire.FrameReader(const.HANDSHAKE_FRAME_BYTES)
        self._forwarded = _forwarded.ForwardedExchanges(
            self, first_xid=2 if dialed_address is None else 1
        )
        self._served = _served.ServedExchanges(
            self, owner.cfg.limits.max_body_bytes
        )
        self._last_received_at = owner.kernel.clock.now()
        self._sequence = 0
        self._timers: dict[str, Any] = {}

    def connectionMade(self) -> None:  # noqa: N802
        """Send the hello and wait for that of the peer."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        cfg = self.owner.cfg
        self.send(
            wire.Hello(
                version=wire.PROTOCOL_VERSION,
                instance_id=cfg.instance_id,
                incarnation=self.kernel.incarnation,
                failure_domain=cfg.failure_domain,
                region=cfg.region,
                peer_address=self.owner.address,
                is_leaving=self.owner.is_leaving,
            )
        )
        self._last_received_at = self.kernel.clock.now()
        self._call_later(
            'handshake', const.HANDSHAKE_TIMEOUT_MS, self._check_handshake
        )
        self._call_later(
            'silence',
            const.HEARTBEAT_TIMEOUT_MS,
            self._check_heartbeat_timeout,
        )

    def _call_later(self, name: str, delay_ms: int, func: Any) -> None:
        """Set the timer with a name; it is cancelled when the link closes."""
        self._timers[name] = self.kernel.clock.call_later(delay_ms, func)

    def _check_handshake(self) -> None:
        """Drop the link if it was not activated in time."""
        if self.state is not LinkState.UP:
            self.drop(
                errors.HandshakeError('the handshake did not complete in time')
            )

    def _check_heartbeat_timeout(self) -> None:
        """Drop the link if the peer has been silent for too long."""
        silent = self.kernel.clock.now() - self._last_received_at
        remaining_ms = const.HEARTBEAT_TIMEOUT_MS - silent
        if remaining_ms <= 0:
            self.drop(
                errors.SilentPeerError(
                    'no data received from the peer', silent=silent
                )
            )
            return
        self._call_later(
            'silence', remaining_ms, self._check_heartbeat_timeout
        )

    def _send_heartbeat(self) -> None:
        """Send a heartbeat and schedule the next."""
        self._sequence += 1
        self.send(wire.Heartbeat(sequence=self._sequence))
        self._call_later(
            'beat', const.HEARTBEAT_INTERVAL_MS, self._send_heartbeat
        )

    def encode(self, message: wire.PeerMessage) -> bytes:
        """Return a message as a frame, or raise FrameTooLongError."""
        return wire.encode_frame(wire.encode(message))

    def admit_exchange(self, size: int) -> None:
        """Charge a new exchange to the budget for traffic between regions.

        Raise PeerUnreachableError if the link is not active and
        RegionBudgetError if the budget does not cover ``size`` bytes.
        """
        if self.state is not LinkState.UP:
            raise errors.PeerUnreachableError('the link is not active')
        if self.budget is None:
            return
        if not self.budget.try_spend(size, self.kernel.clock.now()):
            self.owner.pause_remote_peers()
            raise errors.RegionBudgetError(
                'the budget for traffic to other regions is used up'
            )

    def send(self, message: wire.PeerMessage) -> None:
        """Send a message unless the link is closed."""
        if self.state is LinkState.CLOSED:
            return
        frame = self.encode(message)
        if self.budget is not None and message.xid:
            self.budget.spend(len(frame), self.kernel.clock.now())
        self.write(frame)

    def write(self, frame: bytes) -> None:
        """Write a frame unless the link is closed."""
        transport: Any = self.transport
        if self.state is not LinkState.CLOSED:
            transport.write(frame)

    def grant_credit(self, receiver: exchange.Endpoint, size: int) -> None:
        """Grant credit, delayed while the region budget is overdrawn."""
        now = self.kernel.clock.now()
        delay_ms = 0 if self.budget is None else self.budget.wait_ms(0, now)
        credit = exchange.Credit(xid=receiver.xid, size=size)
        if not delay_ms:
            receiver.post(credit)
            return
        self.kernel.clock.call_later(delay_ms, lambda: receiver.post(credit))

    def get_route(self, generation: int, name: str) -> tables.Route:
        """Return a route by name, or raise UnknownGenerationError."""
        return self.owner.get_route(generation, name)

    def drop(self, error: core.OriolestandError | None = None) -> None:
        """Abort the connection and fail all exchanges on it."""
        if self.state is LinkState.CLOSED:
            return
        if error is not None:
            self.owner.log.warning(
                'Link dropped',
                code=error.code,
                reason=str(error),
                peer=self.hello.instance_id if self.hello else '',
            )
        self._close()
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def close_gracefully(self) -> 'defer.Deferred[None]':
        """Close the connection after pending output is sent.

        The result fires when the connection is closed, at the latest after
        ``CLOSE_TIMEOUT_MS``.
        """
        transport: Any = self.transport
        self._close()
        if transport is not None:
            transport.loseConnection()
            self.kernel.clock.call_later(
                const.CLOSE_TIMEOUT_MS, transport.abortConnection
            )
        return self.closed

    def _close(self) -> None:
        """Fail all exchanges and notify the owner, once."""
        if self.state is LinkState.CLOSED:
            return
        was_active = self.state is LinkState.UP
        self.state = LinkState.CLOSED
        for timer in self._timers.values():
            timer.cancel()
        self._forwarded.close()
        self._served.close()
        self.owner.on_link_down(self, was_active)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle complete messages; invalid input closes only this link."""
        self._last_received_at = self.kernel.clock.now()
        try:
            for frame in self._reader.feed(data):
                if self.state is LinkState.CLOSED:
                    return
                self._receive(wire.decode(frame))
        except core.OriolestandError as exc:
            self.drop(exc)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Close the link; log the reason if the TLS handshake failed."""
        if self.state is LinkState.CONNECTED and reason.check(SSL.Error):
            self.owner.log.warning(
                'TLS handshake with peer failed',
                code=errors.HandshakeError.code,
                reason=repr(reason.value),
            )
        self._close()
        core.Task.stop(self)
        if not self.closed.called:
            self.closed.callback(None)

    def _receive(self, message: wire.PeerMessage) -> None:
        """Handle one message according to the state of the link."""
        if self.state is LinkState.CONNECTED:
            self._on_hello(message)
        elif self.state is LinkState.PROPOSED:
            if not isinstance(message, wire.Heartbeat):
                raise errors.HandshakeError('the link is not active yet')
            self._activate()
        elif message.xid == 0:
            self._on_link_message(message)
        elif self._forwarded.is_local_xid(message.xid):
            self._forwarded.receive(message)
        else:
            self._served.receive(message)

    def _on_hello(self, message: wire.PeerMessage) -> None:
        """Validate the hello, then activate, propose or drop the link."""
        if not isinstance(message, wire.Hello):
            raise errors.HandshakeError('the first message is not a hello')
        if message.version != wire.PROTOCOL_VERSION:
            raise errors.HandshakeError(
                'the protocol version is not supported',
                version=message.version,
            )
        cfg = self.owner.cfg
        if message.instance_id == cfg.instance_id or not message.instance_id:
            raise errors.HandshakeError(
                'the instance id is empty or that of this daemon'
            )
        if cfg.peers.tls is not None:
            _tls.check_identity(self.transport, message.instance_id)
        self.hello = message
        self._reader.limit = wire.MAX_FRAME_BYTES
        if cfg.instance_id < message.instance_id:
            if self.owner.may_activate(self):
                self._activate()
            else:
                self.drop()
            return
        self.state = LinkState.PROPOSED

    def _activate(self) -> None:
        """Activate the link and start sending heartbeats."""
        self.state = LinkState.UP
        self._send_heartbeat()
        self.owner.on_link_up(self)

    def _on_link_message(self, message: wire.PeerMessage) -> None:
        """Handle a message that does not belong to an exchange."""
        assert self.hello is not None
        match message:
            case wire.Heartbeat():
                self.send(wire.HeartbeatAck(sequence=message.sequence))
            case wire.HeartbeatAck():
                pass
            case wire.Load():
                self.last_load = message
                self.owner.publish_load(self)
            case wire.TablesDocument():
                self._post(
                    'tables',
                    config.DeliverTables(
                        document=message.document, peer=self.hello.instance_id
                    ),
                )
            case wire.Leaving():
                for address in message.upstreams:
                    self.kernel.publish(
                        membership.UpstreamLeaving(address=address)
                    )
            case _:
                raise errors.ProtocolError(
                    'the message is not valid outside an exchange',
                    type=type(message).__name__,
                )

    def _post(self, service: str, message: object) -> None:
        """Post a message that may be dropped.

        The peer sends its state repeatedly, so the next message makes up
        for one that did not fit into the inbox.
        """
        try:
            self.kernel.post(service, message)
        except core.InboxFullError as exc:
            self.owner.log.warning(
                'Message from peer dropped', reason=str(exc)
            )

    def forward(self, msg: exchange.StartExchange) -> None:
        """Forward a request to the peer."""
        self._forwarded.open(msg)

    def cancel_forwarded(self, ticket_id: str) -> None:
        """Abort a forwarded request whose caller has left."""
        self._forwarded.cancel(ticket_id)

    @core.handles(exchange.ExchangeAccepted)
    def _on_accepted(self, msg: exchange.ExchangeAccepted) -> None:
        """Notify the peer that it may send the body."""
        self._served.accept(msg)

    @core.handles(exchange.ExchangeFailed)
    def _on_failed(self, msg: exchange.ExchangeFailed) -> None:
        """Notify the peer that its request failed."""
        self._served.fail(msg)

    @core.handles(exchange.ResponseHead)
    @core.handles(exchange.ResponseChunk)
    @core.handles(exchange.ResponseEnd)
    @core.handles(exchange.Credit)
    @core.handles(exchange.BodyChunk)
    @core.handles(exchange.BodyEnd)
    @core.handles(exchange.Cancel)
    def _on_local_message(self, msg: wire.PeerMessage) -> None:
        """Send a message of a local service to the peer."""
        if self._forwarded.is_local_xid(msg.xid):
            self._forwarded.send(msg)
        else:
            self._served.send(msg)
