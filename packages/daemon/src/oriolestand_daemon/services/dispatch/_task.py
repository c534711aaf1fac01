"""Task that feeds the dispatcher and sends its effects as messages."""

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
from oriolestand_daemon.services.dispatch import _interference
from oriolestand_daemon.services.dispatch import const
from oriolestand_policy import dispatching
import oriolestand_wire as wire


class DispatchTask(core.Task):
    """Feeds requests and events to the dispatcher; executes its effects."""

    inbox_limit = 16_384

    def __init__(
        self, kernel: core.Kernel, dispatcher: dispatching.Dispatcher
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._dispatcher = dispatcher
        self._open_requests: dict[str, exchange.OpenExchange] = {}
        self._attempts: dict[str, tuple[str, str]] = {}
        self._pool_by_address: dict[str, str] = {}
        self._granted_slots: grants.GrantsChanged | None = None
        self._horizon_ms: dict[str, int] = {}
        self._drained: defer.Deferred[None] | None = None
        self._leaving_upstreams: frozenset[str] = frozenset()
        self._peer_loads: dict[str, peers.PeerLoadChanged] = {}
        self._advertised_loads: tuple[wire.PoolLoad, ...] = ()
        self._has_new_forwarded_requests = False
        self._interference = _interference.InterferenceMonitor()

    def start(self) -> object:
        """Subscribe to events and start the periodic calls."""
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
        self._call_every(const.TICK_INTERVAL_MS, self._tick)
        self._call_every(const.LOAD_INTERVAL_MS, self._advertise)
        self._call_every(const.USAGE_INTERVAL_MS, self._report_usage)
        return None

    def _call_every(self, interval: int, func: Any) -> None:
        """Call a method at an interval until the task stops."""
        if self.is_stopped:
            return
        func()
        self.kernel.clock.call_later(
            interval, lambda: self._call_every(interval, func)
        )

    def _tick(self) -> None:
        """Release held slots that are due and serve the queues."""
        self._execute(self._dispatcher.tick(self.kernel.clock.now()))
        self._check_drained()

    def _report_usage(self) -> None:
        """Report the slowdown of services by batch tasks to the dispatcher."""
        now = self.kernel.clock.now()
        for usage in self._interference.report(now):
            self._execute(self._dispatcher.report_usage(usage, now))

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Apply the pools and the mapping from upstreams to pools."""
        self._interference.set_tables(msg.tables)
        self._pool_by_address = {}
        for pool in msg.tables.pools.values():
            self._dispatcher.set_pool(
                pool.name, pool.queue_limit, pool.team_weights
            )
            for upstream in pool.upstreams:
                self._pool_by_address[upstream.address] = pool.name
        now = self.kernel.clock.now()
        for name in set(self._dispatcher.pools) - set(msg.tables.pools):
            self._execute(self._dispatcher.remove_pool(name, now))
        for load in self._peer_loads.values():
            self._apply_peer_load(load)
        self._apply_slots()

    @core.handles(grants.GrantsChanged)
    def _on_grants(self, msg: grants.GrantsChanged) -> None:
        """Apply changed grants."""
        self._granted_slots = msg
        self._apply_slots()

    def _apply_slots(self) -> None:
        """Set the granted slots as the dispatcher's limits."""
        if self._granted_slots is None:
            return
        self._horizon_ms = dict(self._granted_slots.horizon_ms)
        limits: dict[str, dict[str, int]] = {
            name: {} for name in self._dispatcher.pools
        }
        for address, slots in self._granted_slots.slots.items():
            pool = self._pool_by_address.get(address)
            if pool is not None:
                limits[pool][address] = slots
        now = self.kernel.clock.now()
        for pool, slots_by_address in limits.items():
            self._execute(
                self._dispatcher.set_limits(pool, slots_by_address, now)
            )

    @core.handles(peers.PeerLoadChanged)
    def _on_peer_load(self, msg: peers.PeerLoadChanged) -> None:
        """Store a peer's load; its pools may not be configured here yet."""
        self._peer_loads[msg.peer] = msg
        self._apply_peer_load(msg)

    def _apply_peer_load(self, msg: peers.PeerLoadChanged) -> None:
        """Set a peer's free slots in the dispatcher."""
        now = self.kernel.clock.now()
        for pool in msg.pools:
            self._execute(
                self._dispatcher.set_peer(
                    pool.pool, msg.peer, pool.free, msg.distance, now
                )
            )

    @core.handles(membership.PeerDisconnected)
    def _on_peer_disconnected(self, msg: membership.PeerDisconnected) -> None:
        """Stop forwarding to a disconnected peer."""
        self._peer_loads.pop(msg.instance_id, None)
        self._dispatcher.remove_peer(msg.instance_id)

    @core.handles(membership.UpstreamLeaving)
    def _on_leaving(self, msg: membership.UpstreamLeaving) -> None:
        """Stop sending new work to a leaving upstream."""
        self._set_leaving(self._leaving_upstreams | {msg.address})

    @core.handles(membership.MembershipChanged)
    def _on_membership(self, msg: membership.MembershipChanged) -> None:
        """Apply the set of leaving upstreams."""
        self._set_leaving(msg.leaving_upstreams)

    def _set_leaving(self, leaving: frozenset[str]) -> None:
        """Update which upstreams get no new work."""
        if leaving == self._leaving_upstreams:
            return
        for address in self._leaving_upstreams - leaving:
            self._dispatcher.set_leaving(address, False)
        for address in leaving - self._leaving_upstreams:
            self._dispatcher.set_leaving(address, True)
        self._leaving_upstreams = leaving

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Stop accepting forwarded requests and notify peers at once."""
        self._dispatcher.is_draining = True
        self._advertise()

    @core.handles(exchange.OpenExchange)
    def _on_open_exchange(self, msg: exchange.OpenExchange) -> None:
        """Submit a new request to the dispatcher."""
        self._open_requests[msg.ticket.id] = msg
        self._has_new_forwarded_requests |= msg.ticket.hops > 0
        now = self.kernel.clock.now()
        self._execute(self._dispatcher.submit(msg.ticket, now))

    @core.handles(exchange.CancelRequest)
    def _on_cancel_request(self, msg: exchange.CancelRequest) -> bool:
        """Drop a queued request, or abort its attempt.

        Returns whether the request was dropped.
        """
        if msg.ticket_id not in self._open_requests:
            return False
        if self._dispatcher.is_waiting(msg.ticket_id):
            now = self.kernel.clock.now()
            del self._open_requests[msg.ticket_id]
            self._execute(self._dispatcher.cancel(msg.ticket_id, now))
            return True
        service, target = self._attempts[msg.ticket_id]
        self.kernel.post(
            service,
            exchange.CancelAttempt(ticket_id=msg.ticket_id, target=target),
        )
        return False

    @core.handles(dispatch.AttemptFinished)
    def _on_attempt_finished(self, msg: dispatch.AttemptFinished) -> None:
        """Pass the outcome of an attempt to the dispatcher."""
        now = self.kernel.clock.now()
        service, target = self._attempts.pop(msg.ticket_id, ('', ''))
        request = self._open_requests.get(msg.ticket_id)
        is_served = service == 'upstreams' and msg.outcome.error is None
        if is_served and request is not None:
            self._interference.record_request(
                request, target, msg.outcome.latency_ms
            )
        self._execute(
            self._dispatcher.attempt_finished(msg.ticket_id, msg.outcome, now)
        )

    @core.handles(dispatch.GetSlotsInUse)
    def _on_get_slots_in_use(
        self, msg: dispatch.GetSlotsInUse
    ) -> dict[str, int]:
        """Return the slots in use by upstream address."""
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
        """Reserve slots for a batch task."""
        if msg.address:
            task = self._dispatcher.adopt_reservation(
                msg.key, msg.address, msg.slots, msg.team, msg.priority
            )
        else:
            task = self._dispatcher.reserve(
                msg.key, msg.pool, msg.slots, msg.team, msg.priority
            )
        if task is not None:
            self._interference.add_task(task)
        return task

    @core.handles(dispatch.ReleaseReservation)
    def _on_release_reservation(
        self, msg: dispatch.ReleaseReservation
    ) -> None:
        """Release the slots of a batch task."""
        now = self.kernel.clock.now()
        self._interference.remove_task(msg.key)
        self._execute(self._dispatcher.unreserve(msg.key, now))

    @core.handles(dispatch.DrainRequests)
    def _on_drain(self, msg: dispatch.DrainRequests) -> Any:
        """Reply once all requests have ended and released their slots."""
        if self._drained is None:
            self._drained = defer.Deferred()
        self.kernel.clock.call_later(0, self._check_drained)
        return self._drained

    def _check_drained(self) -> None:
        """Reply to DrainRequests if no request is open and no slot is held.

        The slot of an ended request may stay held until the upstream must
        have aborted the request; it must not be released earlier.
        """
        if (
            self._drained is None
            or self._open_requests
            or self._dispatcher.held
        ):
            return
        drained, self._drained = self._drained, None
        drained.callback(None)

    @core.handles(dispatch.GetDispatchStatus)
    def _on_status(self, msg: dispatch.GetDispatchStatus) -> dict[str, Any]:
        """Return the queues, slots and peers of each pool."""
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
        """Advertise free slots if they changed or peers forwarded requests."""
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
        # Peers subtract the requests that they send here until the next
        # advertisement, so it is due even if the loads are the same again.
        if (
            loads == self._advertised_loads
            and not self._has_new_forwarded_requests
        ):
            return
        self._advertised_loads = loads
        self._has_new_forwarded_requests = False
        self.kernel.post(
            'peers', peers.Broadcast(message=wire.Load(pools=loads))
        )

    def _execute(self, effects: list[dispatching.Effect]) -> None:
        """Send the messages for the dispatcher's effects."""
        for effect in effects:
            if isinstance(effect, dispatching.Evict):
                self.kernel.publish(dispatch.EvictionRequested(key=effect.key))
                continue
            if isinstance(effect, dispatching.Throttle):
                self._interference.set_throttled(effect.key, effect.is_on)
                self.kernel.publish(
                    dispatch.ThrottleRequested(
                        key=effect.key, is_on=effect.is_on
                    )
                )
                continue
            if isinstance(effect, dispatching.TaskSlotsAvailable):
                self.kernel.publish(
                    dispatch.TaskSlotsAvailable(pool=effect.pool)
                )
                continue
            assert isinstance(effect, dispatching.RequestEffect)
            request = self._open_requests.get(effect.ticket.id)
            if request is None:
                continue
            if isinstance(effect, dispatching.SendToUpstream):
                self._start_attempt('upstreams', effect.upstream, request)
            elif isinstance(effect, dispatching.ForwardToPeer):
                self._start_attempt('peers', effect.peer, request)
            elif isinstance(effect, dispatching.Fail):
                del self._open_requests[effect.ticket.id]
                request.caller.post(
                    exchange.ExchangeFailed(
                        xid=request.caller.xid, error=effect.error
                    )
                )
            else:
                del self._open_requests[effect.ticket.id]

    def _start_attempt(
        self, service: str, target: str, request: exchange.OpenExchange
    ) -> None:
        """Start an attempt at an upstream or peer."""
        head = request.head
        self._attempts[request.ticket.id] = (service, target)
        self._report_wait(request)
        horizon = self._horizon_ms.get(target)
        if service == 'upstreams' and horizon is not None:
            # After the published horizon other daemons may use the slots, so
            # no request may run longer than that.
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
        """Record a span for the time that a sampled request was queued."""
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
