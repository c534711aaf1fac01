"""Run the peer listener and maintain one link to each peer."""

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
from oriolestand_daemon.services.peers import _owner
from oriolestand_daemon.services.peers import _tls
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
import oriolestand_platform as platform
from oriolestand_policy import pacing
from oriolestand_policy import tables
import oriolestand_wire as wire


class PeersTask(_owner.LinkOwner[_link.Link]):
    """Maintain links to peers and exchange messages over them."""

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
        self._remote_resume_timer: Any = None

    @property
    def address(self) -> str:
        """Return the listening address as host:port, empty if closed."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def start(self) -> object:
        """Open the listener and dial the seed peers."""
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
        """Return an id for a new link that is unique across restarts."""
        self._sessions += 1
        return f'{self.kernel.incarnation}.{self._sessions}'

    def is_linked(self, address: str, instance_id: str) -> bool:
        """Return whether there is an active link to a peer."""
        return instance_id in self._links or any(
            link.dialed_address == address
            or link.hello is not None
            and link.hello.peer_address == address
            for link in self._links.values()
        )

    def may_activate(self, link: _link.Link) -> bool:
        """Return whether a new link to a peer may be activated.

        An existing link takes precedence, because a newer connection does
        not prove a newer incarnation. A dead link is dropped by the
        heartbeat timeout.
        """
        assert link.hello is not None
        return not self.is_stopped and link.hello.instance_id not in (
            self._links
        )

    def on_link_up(self, link: _link.Link) -> None:
        """Register an active link and send the current state to the peer."""
        hello = link.hello
        assert hello is not None
        previous = self._links.get(hello.instance_id)
        self._links[hello.instance_id] = link
        if previous is not None:
            # The peer decides which link is used. It activated this one, so
            # it no longer has the previous one.
            previous.drop()
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
        self._send_tables(link)
        if self._leaving:
            link.send(wire.Leaving(upstreams=tuple(sorted(self._leaving))))
        if self._last_load is not None:
            link.send(self._last_load)

    def on_link_down(self, link: _link.Link, was_active: bool) -> None:
        """Remove a closed link and reconnect."""
        hello = link.hello
        if was_active and hello is not None:
            if self._links.get(hello.instance_id) is link:
                del self._links[hello.instance_id]
                self.kernel.publish(
                    membership.PeerDisconnected(instance_id=hello.instance_id)
                )
            if link.dialed_address is None and hello.peer_address:
                self._dialer.add(hello.peer_address, hello.instance_id)
        if link.dialed_address is not None:
            self._dialer.on_link_ended(link.dialed_address, was_active)

    def get_route(self, generation: int, name: str) -> tables.Route:
        """Return a route by name from the tables of a generation.

        Raise UnknownGenerationError if the generation is not stored or has
        no such route.
        """
        generation_tables = self._generations.get(generation)
        if generation_tables is None:
            raise errors.UnknownGenerationError(
                'the version of the tables is not stored here',
                generation=generation,
            )
        for route in generation_tables.routes:
            if route.name == name:
                return route
        raise errors.UnknownGenerationError(
            'the tables have no such route', route=name
        )

    def distance(self, hello: wire.Hello) -> int:
        """Return the distance class of a peer, smaller is nearer."""
        if hello.failure_domain == self.cfg.failure_domain:
            return const.DISTANCE_DOMAIN
        if hello.region == self.cfg.region:
            return const.DISTANCE_REGION
        return const.DISTANCE_REMOTE

    def publish_load(self, link: _link.Link) -> None:
        """Publish the last load of a peer.

        No free capacity is published for a peer that is leaving or whose
        region budget is used up.
        """
        hello = link.hello
        if hello is None or link.last_load is None:
            return
        pools = link.last_load.pools
        is_paused = (
            link.budget is not None and self._remote_resume_timer is not None
        )
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

    def pause_remote_peers(self) -> None:
        """Stop forwarding to other regions until the budget recovers."""
        if self._remote_resume_timer is not None:
            return
        now = self.kernel.clock.now()
        delay_ms = self._budget.wait_ms(const.REGION_RESUME_BYTES, now)
        self._remote_resume_timer = self.kernel.clock.call_later(
            max(1, delay_ms), self._resume_remote_peers
        )
        self._publish_remote_loads()

    def _resume_remote_peers(self) -> None:
        """Resume forwarding to other regions."""
        self._remote_resume_timer = None
        self._publish_remote_loads()

    def _publish_remote_loads(self) -> None:
        """Publish the load of all peers of other regions."""
        for link in self._links.values():
            if link.budget is not None:
                self.publish_load(link)

    @core.handles(membership.MembershipChanged)
    def _on_membership_changed(
        self, msg: membership.MembershipChanged
    ) -> None:
        """Dial listed entry instances; stop dialing those that are gone.

        Also notify the peers of upstreams that started to leave.
        """
        for entry in msg.instances:
            if entry.role is not platform.InstanceRole.ENTRY:
                continue
            if entry.state is platform.InstanceState.GONE:
                self._dialer.remove(entry.peer_address, entry.id)
            elif entry.peer_address and entry.id != self.cfg.instance_id:
                self._dialer.add(entry.peer_address, entry.id)
        added = msg.leaving_upstreams - self._leaving
        self._leaving = msg.leaving_upstreams
        if added:
            self._broadcast(wire.Leaving(upstreams=tuple(sorted(added))))

    @core.handles(config.TablesChanged)
    def _on_tables_changed(self, msg: config.TablesChanged) -> None:
        """Store a new version of the tables and send it to all peers."""
        self._generations[msg.tables.version] = msg.tables
        while len(self._generations) > const.MAX_STORED_GENERATIONS:
            self._generations.popitem(last=False)
        self._document = msg.document
        for link in list(self._links.values()):
            self._send_tables(link)

    def _send_tables(self, link: _link.Link) -> None:
        """Send the tables in force.

        Requests refer to them by version, so they must be sent first.
        """
        if not self._document:
            return
        try:
            link.send(wire.TablesDocument(document=self._document))
        except wire.FrameTooLongError as exc:
            self.log.error(
                'Tables not sent to peer: document too large', reason=str(exc)
            )

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Announce in the hello of new links that this daemon is leaving."""
        self.is_leaving = True

    @core.handles(peers.Broadcast)
    def _on_broadcast(self, msg: peers.Broadcast) -> None:
        """Send a message to all peers; store the last load for new links."""
        if isinstance(msg.message, wire.Load):
            self._last_load = msg.message
        self._broadcast(msg.message)

    def _broadcast(self, message: wire.PeerMessage) -> None:
        """Send a message on all active links."""
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
        _forwarded.report_attempt(self.kernel, msg.ticket_id, error)

    @core.handles(exchange.CancelAttempt)
    def _on_cancel_attempt(self, msg: exchange.CancelAttempt) -> None:
        """Abort a forwarded request whose caller has left."""
        link = self._links.get(msg.target)
        if link is not None:
            link.cancel_forwarded(msg.ticket_id)

    def stop(self) -> object:
        """Close the listener, and all links after pending output is sent."""
        super().stop()
        self._dialer.stop()
        if self._remote_resume_timer is not None:
            self._remote_resume_timer.cancel()
        links = list(self._links.values())
        waits: list[Any] = [link.close_gracefully() for link in links]
        self._links.clear()
        if self._port is not None:
            waits.append(defer.maybeDeferred(self._port.stopListening))
        return defer.DeferredList(waits)
