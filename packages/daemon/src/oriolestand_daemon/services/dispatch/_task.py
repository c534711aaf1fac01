"""Turn the dispatcher's effects into messages."""

import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import lifecycle
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import peers
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.dispatch import _tasks
from oriolestand_daemon.services.dispatch import const
from oriolestand_policy import dispatching
import oriolestand_wire as wire


class DispatchTask(core.Task):
    """Own the dispatcher and the requests that it decides on."""

    inbox_limit = 16_384

    def __init__(
        self, kernel: core.Kernel, dispatcher: dispatching.Dispatcher
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._dispatcher = dispatcher
        self._open: dict[str, exchange.OpenExchange] = {}
        self._attempts: dict[str, tuple[str, str]] = {}
        self._pool_of: dict[str, str] = {}
        self._slots: grants.GrantsChanged | None = None
        self._horizon_ms: dict[str, int] = {}
        self._drained: defer.Deferred[None] | None = None
        self._leaving: frozenset[str] = frozenset()
        self._peer_loads: dict[str, peers.PeerLoadChanged] = {}
        self._advertised: tuple[wire.PoolLoad, ...] = ()
        self._has_served_peers = False
        self._tasks = _tasks.TaskWatch()

    def start(self) -> object:
        """Follow tables, grants and peers; keep time."""
        for event in (
            config.TablesChanged,
            grants.GrantsChanged,
            peers.PeerLoadChanged,
            membership.PeerDisconnected,
            membership.MembershipChanged,
            membership.UpstreamLeaving,
            lifecycle.ShutdownStarted,
        ):
            self.kernel.subscribe(event, self)
        self._repeat(const.TICK_INTERVAL_MS, self._tick)
        self._repeat(const.LOAD_INTERVAL_MS, self._advertise)
        self._repeat(const.USAGE_INTERVAL_MS, self._report_usage)
        return None

    def _repeat(self, interval: int, func: Any) -> None:
        """Call a method at an interval until the task stops."""
        if self.is_stopped:
            return
        func()
        self.kernel.clock.call_later(
            interval, lambda: self._repeat(interval, func)
        )

    def _tick(self) -> None:
        """Let the dispatcher act on the passage of time."""
        self._run(self._dispatcher.tick(self.kernel.clock.now()))
        self._check_drained()

    def _report_usage(self) -> None:
        """Let the dispatcher act on tasks that slow services."""
        now = self.kernel.clock.now()
        for usage in self._tasks.report(now):
            self._run(self._dispatcher.report_usage(usage, now))

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Know the pools and which pool an upstream belongs to."""
        self._tasks.set_routes(msg.tables)
        self._pool_of = {}
        for pool in msg.tables.pools.values():
            self._dispatcher.set_pool(
                pool.name, pool.queue_limit, pool.team_weights
            )
            for upstream in pool.upstreams:
                self._pool_of[upstream.address] = pool.name
        now = self.kernel.clock.now()
        for name in set(self._dispatcher.pools) - set(msg.tables.pools):
            self._run(self._dispatcher.remove_pool(name, now))
        for load in self._peer_loads.values():
            self._apply_peer_load(load)
        self._apply_slots()

    @core.handles(grants.GrantsChanged)
    def _on_grants(self, msg: grants.GrantsChanged) -> None:
        """Use the slots that are granted from now on."""
        self._slots = msg
        self._apply_slots()

    def _apply_slots(self) -> None:
        """Give the dispatcher the granted slots of each pool."""
        if self._slots is None:
            return
        self._horizon_ms = dict(self._slots.horizon_ms)
        limits: dict[str, dict[str, int]] = {
            name: {} for name in self._dispatcher.pools
        }
        for address, slots in self._slots.slots.items():
            pool = self._pool_of.get(address)
            if pool is not None:
                limits[pool][address] = slots
        now = self.kernel.clock.now()
        for pool, slots_by_address in limits.items():
            self._run(self._dispatcher.set_limits(pool, slots_by_address, now))

    @core.handles(peers.PeerLoadChanged)
    def _on_peer_load(self, msg: peers.PeerLoadChanged) -> None:
        """Know what a peer can take, also of pools to come."""
        self._peer_loads[msg.peer] = msg
        self._apply_peer_load(msg)

    def _apply_peer_load(self, msg: peers.PeerLoadChanged) -> None:
        """Give the dispatcher what a peer can take."""
        now = self.kernel.clock.now()
        for pool in msg.pools:
            self._run(
                self._dispatcher.set_peer(
                    pool.pool, msg.peer, pool.free, msg.distance, now
                )
            )

    @core.handles(membership.PeerDisconnected)
    def _on_peer_lost(self, msg: membership.PeerDisconnected) -> None:
        """Forward nothing to a peer without a link."""
        self._peer_loads.pop(msg.instance_id, None)
        self._dispatcher.remove_peer(msg.instance_id)

    @core.handles(membership.UpstreamLeaving)
    def _on_leaving(self, msg: membership.UpstreamLeaving) -> None:
        """Give a leaving upstream no new work from now on."""
        self._set_leaving(self._leaving | {msg.address})

    @core.handles(membership.MembershipChanged)
    def _on_members(self, msg: membership.MembershipChanged) -> None:
        """Follow which upstreams are leaving and which are back."""
        self._set_leaving(msg.leaving_upstreams)

    def _set_leaving(self, leaving: frozenset[str]) -> None:
        """Replace the set of upstreams that get no new work."""
        if leaving == self._leaving:
            return
        for address in self._leaving - leaving:
            self._dispatcher.set_leaving(address, False)
        for address in leaving - self._leaving:
            self._dispatcher.set_leaving(address, True)
        self._leaving = leaving

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Take no forwarded work and tell peers so at once."""
        self._dispatcher.is_draining = True
        self._advertise()

    @core.handles(exchange.OpenExchange)
    def _on_open(self, msg: exchange.OpenExchange) -> None:
        """Decide on a new request."""
        self._open[msg.ticket.id] = msg
        self._has_served_peers |= msg.ticket.hops > 0
        now = self.kernel.clock.now()
        self._run(self._dispatcher.submit(msg.ticket, now))

    @core.handles(exchange.CancelRequest)
    def _on_cancel(self, msg: exchange.CancelRequest) -> bool:
        """Forget a waiting request, or abort the attempt for it."""
        if msg.ticket_id not in self._open:
            return False
        if self._dispatcher.is_waiting(msg.ticket_id):
            now = self.kernel.clock.now()
            del self._open[msg.ticket_id]
            self._run(self._dispatcher.cancel(msg.ticket_id, now))
            return True
        service, target = self._attempts[msg.ticket_id]
        self.kernel.post(
            service,
            exchange.CancelAttempt(ticket_id=msg.ticket_id, target=target),
        )
        return False

    @core.handles(dispatch.AttemptFinished)
    def _on_finished(self, msg: dispatch.AttemptFinished) -> None:
        """Let the dispatcher free the slot, retry or end the request."""
        now = self.kernel.clock.now()
        service, target = self._attempts.pop(msg.ticket_id, ('', ''))
        request = self._open.get(msg.ticket_id)
        is_served = service == 'upstreams' and msg.outcome.error is None
        if is_served and request is not None:
            self._tasks.finished(request, target, msg.outcome.latency_ms)
        self._run(self._dispatcher.finished(msg.ticket_id, msg.outcome, now))

    @core.handles(dispatch.GetSlotsInUse)
    def _on_slots(self, msg: dispatch.GetSlotsInUse) -> dict[str, int]:
        """Return the slots in use by upstream."""
        return {
            address: state.in_use
            for pool in self._dispatcher.pools.values()
            for address, state in pool.upstreams.items()
            if state.in_use
        }

    @core.handles(dispatch.ReserveSlots)
    def _on_reserve(
        self, msg: dispatch.ReserveSlots
    ) -> dispatching.Reservation | None:
        """Take slots for a batch task."""
        if msg.address:
            task = self._dispatcher.adopt_reservation(
                msg.key, msg.address, msg.slots, msg.team, msg.priority
            )
        else:
            task = self._dispatcher.reserve(
                msg.key, msg.pool, msg.slots, msg.team, msg.priority
            )
        if task is not None:
            self._tasks.reserved(task)
        return task

    @core.handles(dispatch.UnreserveSlots)
    def _on_unreserve(self, msg: dispatch.UnreserveSlots) -> None:
        """Give the slots of a batch task back."""
        now = self.kernel.clock.now()
        self._tasks.unreserved(msg.key)
        self._run(self._dispatcher.unreserve(msg.key, now))

    @core.handles(dispatch.DrainRequests)
    def _on_drain(self, msg: dispatch.DrainRequests) -> Any:
        """Reply once all requests ended and their slots are free."""
        if self._drained is None:
            self._drained = defer.Deferred()
        self.kernel.clock.call_later(0, self._check_drained)
        return self._drained

    def _check_drained(self) -> None:
        """Answer DrainRequests when no request is left.

        A slot may be held beyond its request, until the upstream must have
        given up; it must not be released before.
        """
        if self._drained is None or self._open or self._dispatcher.held:
            return
        drained, self._drained = self._drained, None
        drained.callback(None)

    @core.handles(dispatch.GetDispatchStatus)
    def _on_status(self, msg: dispatch.GetDispatchStatus) -> dict[str, Any]:
        """Return pools, queues and slots."""
        return {
            name: {
                'queued': len(pool.queue),
                'free': pool.free,
                'upstreams': {
                    address: dataclasses.asdict(state)
                    for address, state in pool.upstreams.items()
                },
                'peers': {p.peer: p.free for p in pool.peers.values()},
            }
            for name, pool in self._dispatcher.pools.items()
        }

    def _advertise(self) -> None:
        """Tell peers what this daemon can take, when it changed."""
        draining = self._dispatcher.is_draining
        loads = tuple(
            wire.PoolLoad(
                pool=name,
                free=0 if draining or len(pool.queue) else pool.free,
                queued=len(pool.queue),
                latency_ms=0,
            )
            for name, pool in self._dispatcher.pools.items()
        )
        # Peers count down what they send here until the next
        # advertisement, even when the slots are free again by then.
        if loads == self._advertised and not self._has_served_peers:
            return
        self._advertised = loads
        self._has_served_peers = False
        self.kernel.post(
            'peers', peers.Broadcast(message=wire.Load(pools=loads))
        )

    def _run(self, effects: list[dispatching.Effect]) -> None:
        """Send the messages that the effects ask for."""
        for effect in effects:
            if isinstance(effect, dispatching.Evict):
                self.kernel.publish(dispatch.EvictionRequested(key=effect.key))
                continue
            if isinstance(effect, dispatching.Throttle):
                self._tasks.throttled(effect.key, effect.is_on)
                self.kernel.publish(
                    dispatch.ThrottleRequested(
                        key=effect.key, is_on=effect.is_on
                    )
                )
                continue
            if isinstance(effect, dispatching.RoomForTasks):
                self.kernel.publish(dispatch.RoomForTasks(pool=effect.pool))
                continue
            assert isinstance(effect, dispatching.RequestEffect)
            request = self._open.get(effect.ticket.id)
            if request is None:
                continue
            if isinstance(effect, dispatching.SendLocal):
                self._attempt('upstreams', effect.upstream, request)
            elif isinstance(effect, dispatching.SendPeer):
                self._attempt('peers', effect.peer, request)
            elif isinstance(effect, dispatching.Fail):
                del self._open[effect.ticket.id]
                request.caller.post(
                    exchange.ExchangeFailed(
                        xid=request.caller.xid, error=effect.error
                    )
                )
            else:
                del self._open[effect.ticket.id]

    def _attempt(
        self, service: str, target: str, request: exchange.OpenExchange
    ) -> None:
        """Ask a service to make one attempt."""
        head = request.head
        self._attempts[request.ticket.id] = (service, target)
        self._report_wait(request)
        horizon = self._horizon_ms.get(target)
        if service == 'upstreams' and horizon is not None:
            # The published horizon bounds how long a request may run.
            latest = core.Millis(self.kernel.clock.now() + horizon)
            if latest < head.deadline:
                head = dataclasses.replace(head, deadline=latest)
        self.kernel.post(
            service,
            exchange.StartExchange(
                head=head,
                ticket_id=request.ticket.id,
                target=target,
                caller=request.caller,
            ),
        )

    def _report_wait(self, request: exchange.OpenExchange) -> None:
        """Tell telemetry how long a sampled request waited for a slot."""
        context = telemetry.sampled_child(request.head.traceparent)
        if context is None or 'telemetry' not in self.kernel.services:
            return
        self.kernel.post(
            'telemetry',
            telemetry.SpanEnded(
                name='dispatch wait',
                context=context,
                parent_id=telemetry.parent_id(request.head.traceparent),
                started=request.ticket.arrived,
                ended=self.kernel.clock.now(),
                attributes=(('oriolestand.pool', request.ticket.pool),),
            ),
        )
