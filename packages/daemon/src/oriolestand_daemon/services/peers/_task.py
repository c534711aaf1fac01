"""Own the peer listener and one link to each known peer."""

import collections
from typing import Any

from twisted.internet import defer
from twisted.internet import protocol

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import lifecycle
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import peers
from oriolestand_daemon.services.peers import _dialer
from oriolestand_daemon.services.peers import _forwarded
from oriolestand_daemon.services.peers import _link
from oriolestand_daemon.services.peers import _tls
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
import oriolestand_platform as platform
from oriolestand_policy import pacing
from oriolestand_policy import tables
import oriolestand_wire as wire


class PeersTask(core.Task):
    """Dial known peers, accept links and route messages to them."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self.cfg = cfg
        self.log = core.get_logger(const.DOMAIN)
        self.is_leaving = False
        tls = cfg.peers.tls
        self._tls_options = None if tls is None else _tls.load_options(tls)
        self._dialer = _dialer.Dialer(self, self._tls_options)
        self._port: Any = None
        self._links: dict[str, _link.Link] = {}
        self._sessions = 0
        self._generations: collections.OrderedDict[int, tables.Tables] = (
            collections.OrderedDict()
        )
        self._document = b''
        self._last_load: wire.Load | None = None
        self._leaving: frozenset[str] = frozenset()
        self._budget = pacing.ByteBudget(
            cfg.limits.region_bytes_per_s, cfg.limits.region_burst_bytes
        )
        self._region_timer: Any = None

    @property
    def address(self) -> str:
        """Return where this daemon listens for peers."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def start(self) -> object:
        """Listen, dial the known peers and follow the list."""
        for event in (
            membership.MembershipChanged,
            config.TablesChanged,
            lifecycle.ShutdownStarted,
        ):
            self.kernel.subscribe(event, self)
        factory: Any = protocol.Factory()
        factory.noisy = False
        factory.protocol = lambda: _link.Link(self)
        if self._tls_options is not None:
            factory = _tls.wrap(
                self._tls_options, factory, False, self.kernel.reactor
            )
        listener = self.cfg.peers
        self._port = self.kernel.reactor.listenTCP(
            listener.port, factory, interface=listener.host
        )
        self.log.info('Listening', address=self.address)
        for address in self.cfg.seed_peers:
            self._dialer.add(address)
        return None

    def next_session(self) -> str:
        """Return the name of a new link session of this process."""
        self._sessions += 1
        return f'{self.kernel.incarnation}.{self._sessions}'

    def is_linked(self, address: str, instance_id: str) -> bool:
        """Return whether a link to a peer is in use."""
        return instance_id in self._links or any(
            link.dialed == address
            or link.hello is not None
            and link.hello.peer_address == address
            for link in self._links.values()
        )

    def may_take(self, link: _link.Link) -> bool:
        """Decide whether a new link to a peer is used.

        The first one stays, because a newer connection does not prove that
        its incarnation is newer; a dead link ends within the time-out.
        """
        assert link.hello is not None
        return not self.is_stopped and link.hello.instance_id not in (
            self._links
        )

    def link_up(self, link: _link.Link) -> None:
        """Take a link into use and tell the peer the present state."""
        hello = link.hello
        assert hello is not None
        former = self._links.get(hello.instance_id)
        self._links[hello.instance_id] = link
        if former is not None:
            # The peer decides about links and took this one, so that the
            # former one is lost at its side.
            former.drop()
        if hello.region != self.cfg.region:
            link.budget = self._budget
        self.kernel.publish(
            membership.PeerConnected(
                instance_id=hello.instance_id,
                incarnation=hello.incarnation,
                failure_domain=hello.failure_domain,
                region=hello.region,
            )
        )
        self._send_document(link)
        if self._leaving:
            link.send(wire.Leaving(upstreams=tuple(sorted(self._leaving))))
        if self._last_load is not None:
            link.send(self._last_load)

    def link_down(self, link: _link.Link, was_up: bool) -> None:
        """Forget a lost link and dial again."""
        hello = link.hello
        if was_up and hello is not None:
            if self._links.get(hello.instance_id) is link:
                del self._links[hello.instance_id]
                self.kernel.publish(
                    membership.PeerDisconnected(instance_id=hello.instance_id)
                )
            if link.dialed is None and hello.peer_address:
                self._dialer.add(hello.peer_address, hello.instance_id)
        if link.dialed is not None:
            self._dialer.ended(link.dialed, was_up)

    def find_route(self, generation: int, name: str) -> tables.Route:
        """Return a route of the tables that a request started with."""
        known = self._generations.get(generation)
        if known is None:
            raise errors.UnknownGenerationError(
                'the version of the tables is not known',
                generation=generation,
            )
        for route in known.routes:
            if route.name == name:
                return route
        raise errors.UnknownGenerationError('no such route', route=name)

    def distance(self, hello: wire.Hello) -> int:
        """Return how far a peer is."""
        if hello.failure_domain == self.cfg.failure_domain:
            return const.DISTANCE_DOMAIN
        if hello.region == self.cfg.region:
            return const.DISTANCE_REGION
        return const.DISTANCE_REMOTE

    def offer(self, link: _link.Link) -> None:
        """Announce what a peer can take, nothing if it must not be used."""
        hello = link.hello
        if hello is None or link.last_load is None:
            return
        pools = link.last_load.pools
        is_paused = link.budget is not None and self._region_timer is not None
        if hello.is_leaving or is_paused:
            pools = tuple(
                wire.PoolLoad(
                    pool=pool.pool,
                    free=0,
                    queued=pool.queued,
                    latency_ms=pool.latency_ms,
                )
                for pool in pools
            )
        self.kernel.publish(
            peers.PeerLoadChanged(
                peer=hello.instance_id,
                distance=self.distance(hello),
                pools=pools,
            )
        )

    def pause_region(self) -> None:
        """Offer no peers of other regions until there is budget again."""
        if self._region_timer is not None:
            return
        now = self.kernel.clock.now()
        delay = self._budget.wait_ms(const.REGION_RESUME_BYTES, now)
        self._region_timer = self.kernel.clock.call_later(
            max(1, delay), self._resume_region
        )
        self._offer_remote()

    def _resume_region(self) -> None:
        """Offer the peers of other regions again."""
        self._region_timer = None
        self._offer_remote()

    def _offer_remote(self) -> None:
        """Announce the peers of other regions again."""
        for link in self._links.values():
            if link.budget is not None:
                self.offer(link)

    @core.handles(membership.MembershipChanged)
    def _on_members(self, msg: membership.MembershipChanged) -> None:
        """Dial entry instances that are new in the list."""
        for entry in msg.instances:
            if entry.role is not platform.InstanceRole.ENTRY:
                continue
            if entry.state is platform.InstanceState.GONE:
                self._dialer.discard(entry.peer_address, entry.id)
            elif entry.peer_address and entry.id != self.cfg.instance_id:
                self._dialer.add(entry.peer_address, entry.id)
        new = msg.leaving_upstreams - self._leaving
        self._leaving = msg.leaving_upstreams
        if new:
            self._broadcast(wire.Leaving(upstreams=tuple(sorted(new))))

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Keep and spread a new version of the tables."""
        self._generations[msg.tables.version] = msg.tables
        while len(self._generations) > const.KEPT_GENERATIONS:
            self._generations.popitem(last=False)
        self._document = msg.document
        for link in list(self._links.values()):
            self._send_document(link)

    def _send_document(self, link: _link.Link) -> None:
        """Send the tables in force, which must precede requests."""
        if not self._document:
            return
        try:
            link.send(wire.TablesDocument(document=self._document))
        except wire.FrameTooLongError as exc:
            self.log.error('Tables not announced', reason=str(exc))

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Tell new links that this daemon is leaving."""
        self.is_leaving = True

    @core.handles(peers.Broadcast)
    def _on_broadcast(self, msg: peers.Broadcast) -> None:
        """Send a message to all peers."""
        if isinstance(msg.message, wire.Load):
            self._last_load = msg.message
        self._broadcast(msg.message)

    def _broadcast(self, message: wire.PeerMessage) -> None:
        """Send a message on every link."""
        for link in list(self._links.values()):
            link.send(message)

    @core.handles(exchange.StartExchange)
    def _on_start(self, msg: exchange.StartExchange) -> None:
        """Forward a request to a peer."""
        link = self._links.get(msg.target)
        if link is not None:
            link.forward(msg)
            return
        error = errors.PeerUnreachableError('no link', peer=msg.target)
        _forwarded.report(self.kernel, msg.ticket_id, error)

    @core.handles(exchange.CancelAttempt)
    def _on_cancel_attempt(self, msg: exchange.CancelAttempt) -> None:
        """Abort a forwarded request whose caller left."""
        link = self._links.get(msg.target)
        if link is not None:
            link.cancel_forwarded(msg.ticket_id)

    def stop(self) -> object:
        """Close the listener, and all links once their bytes are sent."""
        super().stop()
        self._dialer.stop()
        if self._region_timer is not None:
            self._region_timer.cancel()
        links = list(self._links.values())
        waits: list[Any] = [link.finish() for link in links]
        self._links.clear()
        if self._port is not None:
            waits.append(defer.maybeDeferred(self._port.stopListening))
        return defer.DeferredList(waits)
