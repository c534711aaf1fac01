"""Speak the protocol between daemons on one connection."""

import enum
from typing import TYPE_CHECKING
from typing import Any

from OpenSSL import SSL
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.peers import _forwarded
from oriolestand_daemon.services.peers import _served
from oriolestand_daemon.services.peers import _tls
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
from oriolestand_policy import pacing
import oriolestand_wire as wire

if TYPE_CHECKING:
    from oriolestand_daemon.services.peers._task import PeersTask


class LinkState(enum.Enum):
    """Name how far a link has come.

    Of two daemons, the one with the smaller instance id decides whether a
    link is used; the other one is ``PROPOSED`` until its first heartbeat.
    """

    CONNECTED = 'connected'
    PROPOSED = 'proposed'
    UP = 'up'
    CLOSED = 'closed'


class Link(protocol.Protocol, core.Task):
    """Own one connection to a peer and the exchanges on it."""

    inbox_limit = 65_536

    def __init__(self, owner: 'PeersTask', dialed: str | None = None) -> None:
        core.Task.__init__(self, owner.kernel, const.DOMAIN)
        self.dialed = dialed
        self.hello: wire.Hello | None = None
        self.state = LinkState.CONNECTED
        self.session = owner.next_session()
        self.owner = owner
        self.last_load: wire.Load | None = None
        self.budget: pacing.ByteBudget | None = None
        self.closed: defer.Deferred[None] = defer.Deferred()
        self._reader = wire.FrameReader(const.HANDSHAKE_FRAME_BYTES)
        self._forwarded = _forwarded.ForwardedExchanges(
            self, first_xid=2 if dialed is None else 1
        )
        self._served = _served.ServedExchanges(
            self, owner.cfg.limits.max_body_bytes
        )
        self._last_heard = owner.kernel.clock.now()
        self._sequence = 0
        self._timers: dict[str, Any] = {}

    def connectionMade(self) -> None:  # noqa: N802
        """Introduce this daemon and wait for the peer's hello."""
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
        self._last_heard = self.kernel.clock.now()
        self._call_later(
            'handshake', const.HANDSHAKE_TIMEOUT_MS, self._check_handshake
        )
        self._call_later(
            'silence', const.HEARTBEAT_TIMEOUT_MS, self._check_silence
        )

    def _call_later(self, name: str, delay: int, func: Any) -> None:
        """Set one of the link's timers."""
        self._timers[name] = self.kernel.clock.call_later(delay, func)

    def _check_handshake(self) -> None:
        """Drop a link that is not in use in time."""
        if self.state is not LinkState.UP:
            self.drop(errors.HandshakeError('no handshake in time'))

    def _check_silence(self) -> None:
        """Drop a link on which nothing was heard."""
        silent = self.kernel.clock.now() - self._last_heard
        left = const.HEARTBEAT_TIMEOUT_MS - silent
        if left <= 0:
            self.drop(errors.SilentPeerError('nothing heard', silent=silent))
            return
        self._call_later('silence', left, self._check_silence)

    def _beat(self) -> None:
        """Send a heartbeat and schedule the next one."""
        self._sequence += 1
        self.send(wire.Heartbeat(sequence=self._sequence))
        self._call_later('beat', const.HEARTBEAT_INTERVAL_MS, self._beat)

    def encode(self, message: wire.PeerMessage) -> bytes:
        """Return the frame of a message, or raise FrameTooLongError."""
        return wire.write_frame(wire.encode(message))

    def begin(self, size: int) -> None:
        """Take the bytes of a new exchange from the region's budget."""
        if self.state is not LinkState.UP:
            raise errors.PeerUnreachableError('the link is not in use')
        if self.budget is None:
            return
        if not self.budget.try_spend(size, self.kernel.clock.now()):
            self.owner.pause_region()
            raise errors.RegionBudgetError('the region link is busy')

    def send(self, message: wire.PeerMessage) -> None:
        """Write a message unless the link is closed."""
        if self.state is LinkState.CLOSED:
            return
        frame = self.encode(message)
        if self.budget is not None and message.xid:
            self.budget.spend(len(frame), self.kernel.clock.now())
        self.write(frame)

    def write(self, frame: bytes) -> None:
        """Write an encoded message unless the link is closed."""
        transport: Any = self.transport
        if self.state is not LinkState.CLOSED:
            transport.write(frame)

    def give_credit(self, receiver: exchange.Endpoint, size: int) -> None:
        """Pass on credit once the region's budget is not overdrawn."""
        now = self.kernel.clock.now()
        delay = 0 if self.budget is None else self.budget.wait_ms(0, now)
        credit = exchange.Credit(xid=receiver.xid, size=size)
        if not delay:
            receiver.post(credit)
            return
        self.kernel.clock.call_later(delay, lambda: receiver.post(credit))

    def drop(self, error: core.OriolestandError | None = None) -> None:
        """Close the connection now and end all exchanges on it."""
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

    def finish(self) -> 'defer.Deferred[None]':
        """Close the connection after what was written has been sent."""
        transport: Any = self.transport
        self._close()
        if transport is not None:
            transport.loseConnection()
            self.kernel.clock.call_later(
                const.CLOSE_TIMEOUT_MS, transport.abortConnection
            )
        return self.closed

    def _close(self) -> None:
        """End all exchanges and tell the owner, once."""
        if self.state is LinkState.CLOSED:
            return
        was_up = self.state is LinkState.UP
        self.state = LinkState.CLOSED
        for timer in self._timers.values():
            timer.cancel()
        self._forwarded.close()
        self._served.close()
        self.owner.link_down(self, was_up)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle each whole message; bad input closes the link only."""
        self._last_heard = self.kernel.clock.now()
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
        """End what is left on the link; log why TLS refused it."""
        if self.state is LinkState.CONNECTED and reason.check(SSL.Error):
            self.owner.log.warning(
                'Link refused',
                code=errors.HandshakeError.code,
                reason=repr(reason.value),
            )
        self._close()
        core.Task.stop(self)
        if not self.closed.called:
            self.closed.callback(None)

    def _receive(self, message: wire.PeerMessage) -> None:
        """Handle one message, as the state of the link allows."""
        if self.state is LinkState.CONNECTED:
            self._on_hello(message)
        elif self.state is LinkState.PROPOSED:
            if not isinstance(message, wire.Heartbeat):
                raise errors.HandshakeError('the link is not in use yet')
            self._go_up()
        elif message.xid == 0:
            self._on_link_message(message)
        elif self._forwarded.is_mine(message.xid):
            self._forwarded.receive(message)
        else:
            self._served.receive(message)

    def _on_hello(self, message: wire.PeerMessage) -> None:
        """Check the first message and take or propose the link."""
        if not isinstance(message, wire.Hello):
            raise errors.HandshakeError('the first message is not a hello')
        if message.version != wire.PROTOCOL_VERSION:
            raise errors.HandshakeError(
                'unknown protocol version', version=message.version
            )
        me = self.owner.cfg
        if message.instance_id == me.instance_id or not message.instance_id:
            raise errors.HandshakeError('the peer has no id of its own')
        if me.peers.tls is not None:
            _tls.check_identity(self.transport, message.instance_id)
        self.hello = message
        self._reader.limit = wire.MAX_FRAME_BYTES
        if me.instance_id < message.instance_id:
            if self.owner.may_take(self):
                self._go_up()
            else:
                self.drop()
            return
        self.state = LinkState.PROPOSED

    def _go_up(self) -> None:
        """Take the link into use."""
        self.state = LinkState.UP
        self._beat()
        self.owner.link_up(self)

    def _on_link_message(self, message: wire.PeerMessage) -> None:
        """Handle a message that belongs to no exchange."""
        assert self.hello is not None
        match message:
            case wire.Heartbeat():
                self.send(wire.HeartbeatAck(sequence=message.sequence))
            case wire.HeartbeatAck():
                pass
            case wire.Load():
                self.last_load = message
                self.owner.offer(self)
            case wire.TablesDocument():
                self._post(
                    'tables',
                    config.ReceivedTables(
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
                    'the message does not fit the link',
                    type=type(message).__name__,
                )

    def _post(self, service: str, message: object) -> None:
        """Post a state that the peer sends again, so that one may drop."""
        try:
            self.kernel.post(service, message)
        except core.InboxFullError as exc:
            self.owner.log.warning('Message dropped', reason=str(exc))

    def forward(self, msg: exchange.StartExchange) -> None:
        """Open an exchange at the peer."""
        self._forwarded.open(msg)

    def cancel_forwarded(self, ticket_id: str) -> None:
        """Abort a forwarded request whose caller left."""
        self._forwarded.cancel(ticket_id)

    @core.handles(exchange.ExchangeAccepted)
    def _on_accepted(self, msg: exchange.ExchangeAccepted) -> None:
        """Tell the peer that the body may come."""
        self._served.accept(msg)

    @core.handles(exchange.ExchangeFailed)
    def _on_failed(self, msg: exchange.ExchangeFailed) -> None:
        """Tell the peer that its request failed."""
        self._served.fail(msg)

    @core.handles(exchange.ResponseHead)
    @core.handles(exchange.ResponseChunk)
    @core.handles(exchange.ResponseEnd)
    @core.handles(exchange.Credit)
    @core.handles(exchange.BodyChunk)
    @core.handles(exchange.BodyEnd)
    @core.handles(exchange.Cancel)
    def _on_local(self, msg: wire.PeerMessage) -> None:
        """Send a message of this side to the peer."""
        if self._forwarded.is_mine(msg.xid):
            self._forwarded.send(msg)
        else:
            self._served.send(msg)
