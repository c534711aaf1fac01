"""Own the peer listener and one link to each known peer."""

from typing import Any

from twisted.internet import endpoints
from twisted.internet import protocol

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import peers
from oriolestand_daemon.services.peers import _link
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
import oriolestand_platform as platform
import oriolestand_wire as wire

MILLIS_PER_SECOND = 1000


class PeersTask(core.Task):
    """Dial known peers, accept links and route messages to them."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self.cfg = cfg
        self.log = core.get_logger(const.DOMAIN)
        self.generation: config.TablesChanged | None = None
        self._port: Any = None
        self._links: dict[str, _link.Link] = {}
        self._dialing: dict[str, int] = {}
        self._addresses: set[str] = set(cfg.seed_peers)
        self._last_load: wire.PeerMessage | None = None

    @property
    def address(self) -> str:
        """Return where this daemon listens for peers."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def start(self) -> object:
        """Listen, dial the known peers and follow the list."""
        self.kernel.subscribe(membership.MembershipChanged, self)
        self.kernel.subscribe(config.TablesChanged, self)
        factory = protocol.Factory()
        factory.protocol = lambda: _link.Link(self)
        listener = self.cfg.peers
        self._port = self.kernel.reactor.listenTCP(
            listener.port, factory, interface=listener.host
        )
        self.log.info('Listening', address=self.address)
        for address in self._addresses:
            self._dial(address)
        return None

    def _dial(self, address: str, delay: int = const.RECONNECT_MIN_MS) -> None:
        """Connect to a peer, again after a pause when that fails."""
        if self.is_stopped or address == self.address:
            return
        if address not in self._addresses or address in self._dialing:
            return
        if any(link.dialed == address for link in self._links.values()):
            return
        self._dialing[address] = delay
        host, _, port = address.rpartition(':')
        endpoint: Any = endpoints.HostnameEndpoint(
            self.kernel.reactor,
            host,
            int(port),
            timeout=const.CONNECT_TIMEOUT_MS / MILLIS_PER_SECOND,
        )
        factory = protocol.Factory()
        factory.protocol = lambda: _link.Link(self, dialed=address)
        fut = endpoint.connect(factory)
        fut.addCallbacks(
            lambda _: self._dialing.pop(address, None),
            lambda _: self._retry(address),
        )

    def _retry(self, address: str) -> None:
        """Dial again after a growing pause."""
        delay = self._dialing.pop(address, const.RECONNECT_MIN_MS)
        longer = min(2 * delay, const.RECONNECT_MAX_MS)
        self.kernel.clock.call_later(
            delay, lambda: self._dial(address, longer)
        )

    def link_up(self, link: '_link.Link', hello: wire.Hello) -> bool:
        """Take a link into use after its hello; return False to drop it.

        Of two links between the same daemons, both sides keep the one
        that was dialed by the smaller instance id.
        """
        other = self._links.get(hello.instance_id)
        same_start = (
            other is not None
            and other.hello is not None
            and other.hello.incarnation == hello.incarnation
        )
        if other is not None and same_start:
            dialed_by_me = link.dialed is not None
            keep = dialed_by_me == (self.cfg.instance_id < hello.instance_id)
            if not keep:
                return False
        self._links[hello.instance_id] = link
        if other is not None:
            other.drop()
        self.kernel.publish(
            membership.PeerConnected(
                instance_id=hello.instance_id,
                incarnation=hello.incarnation,
                failure_domain=hello.failure_domain,
                region=hello.region,
            )
        )
        if self._last_load is not None:
            link.send(self._last_load)
        if self.generation is not None:
            link.send(wire.TablesDocument(document=self.generation.document))
        return True

    def link_down(self, link: '_link.Link') -> None:
        """Forget a lost link and dial again."""
        hello = link.hello
        if hello is not None and self._links.get(hello.instance_id) is link:
            del self._links[hello.instance_id]
            self.kernel.publish(
                membership.PeerDisconnected(instance_id=hello.instance_id)
            )
            self._addresses.add(hello.peer_address)
            self._retry(hello.peer_address)
        if link.dialed is not None:
            self._retry(link.dialed)

    def distance(self, hello: wire.Hello) -> int:
        """Return how far a peer is."""
        if hello.failure_domain == self.cfg.failure_domain:
            return const.DISTANCE_DOMAIN
        if hello.region == self.cfg.region:
            return const.DISTANCE_REGION
        return const.DISTANCE_REMOTE

    @core.handles(membership.MembershipChanged)
    def _on_members(self, msg: membership.MembershipChanged) -> None:
        """Dial entry instances that are new in the list."""
        for entry in msg.instances:
            if entry.role is not platform.InstanceRole.ENTRY:
                continue
            if entry.state is platform.InstanceState.GONE:
                self._addresses.discard(entry.peer_address)
            elif entry.peer_address and entry.id != self.cfg.instance_id:
                self._addresses.add(entry.peer_address)
                self._dial(entry.peer_address)

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Spread a new version of the tables."""
        self.generation = msg
        self._broadcast(wire.TablesDocument(document=msg.document))

    @core.handles(peers.Broadcast)
    def _on_broadcast(self, msg: peers.Broadcast) -> None:
        """Send a message to all peers."""
        if isinstance(msg.message, wire.Load):
            self._last_load = msg.message
        self._broadcast(msg.message)

    def _broadcast(self, message: wire.PeerMessage) -> None:
        """Send a message on every link."""
        for link in self._links.values():
            link.send(message)

    @core.handles(exchange.StartExchange)
    def _on_start(self, msg: exchange.StartExchange) -> None:
        """Forward a request to a peer."""
        link = self._links.get(msg.target)
        if link is None:
            _link.report(
                self.kernel,
                msg.ticket_id,
                errors.PeerUnreachableError('no link', peer=msg.target),
            )
            return
        link.forward(msg)

    @core.handles(exchange.CancelAttempt)
    def _on_cancel_attempt(self, msg: exchange.CancelAttempt) -> None:
        """Abort a forwarded request whose caller left."""
        link = self._links.get(msg.target)
        if link is not None:
            link.cancel_forwarded(msg.ticket_id)

    def stop(self) -> object:
        """Close the listener and all links."""
        super().stop()
        for link in list(self._links.values()):
            link.drop()
        self._links.clear()
        return self._port.stopListening() if self._port else None
