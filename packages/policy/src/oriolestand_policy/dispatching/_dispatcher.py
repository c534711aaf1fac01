"""Decide where each request goes and when."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import placement
from oriolestand_policy.dispatching import _effects
from oriolestand_policy.dispatching import _outcome
from oriolestand_policy.dispatching import _state

MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class _Flight:
    """Hold a request that was sent and where to."""

    ticket: admission.Ticket
    upstream: str | None
    peer: str | None
    attempts: int


class Dispatcher:
    """Hold slots and queues; return effects, do no input or output.

    :param choice: chooses between upstreams with a free slot.
    :param make_queue: returns the queue of a new pool, given its limit.
    """

    def __init__(
        self,
        choice: placement.Placement,
        make_queue: Callable[[int], admission.AdmissionQueue],
    ) -> None:
        self._choice = choice
        self._make_queue = make_queue
        self._pools: dict[str, _state.PoolState] = {}
        self._flights: dict[str, _Flight] = {}
        self._reservations: dict[str, _state.Reservation] = {}
        self._held: list[tuple[core.Millis, str, str]] = []
        self._leaving: set[str] = set()
        self.is_draining = False

    @property
    def pools(self) -> Mapping[str, _state.PoolState]:
        """Return the pools by name."""
        return self._pools

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and not ended."""
        return len(self._flights)

    @property
    def held(self) -> int:
        """Return the number of slots held for requests that were aborted."""
        return len(self._held)

    def set_pool(self, name: str, queue_limit: int) -> None:
        """Add a pool unless it exists."""
        if name not in self._pools:
            self._pools[name] = _state.PoolState(
                name=name, queue=self._make_queue(queue_limit)
            )

    def set_limits(
        self, pool: str, limits: Mapping[str, int], now: core.Millis
    ) -> list[_effects.Effect]:
        """Replace the granted slots of a pool, by upstream address."""
        state = self._pools[pool]
        for address, limit in limits.items():
            if address not in state.upstreams:
                state.upstreams[address] = _state.UpstreamState(
                    address=address,
                    pool=pool,
                    is_leaving=address in self._leaving,
                )
            state.upstreams[address].limit = limit
        for address in list(state.upstreams):
            if address in limits:
                continue
            state.upstreams[address].limit = 0
            if not state.upstreams[address].in_use:
                del state.upstreams[address]
        return self._drain(state, now)

    def set_peer(self, pool: str, peer: str, free: int, distance: int) -> None:
        """Record what a peer advertised; a free of 0 removes it."""
        state = self._pools.get(pool)
        if state is None:
            return
        if free <= 0:
            state.peers.pop(peer, None)
            return
        state.peers[peer] = _state.PeerLoad(
            peer=peer, free=free, distance=distance
        )

    def set_leaving(self, address: str, is_leaving: bool) -> None:
        """Give an upstream no new work, or take it into use again.

        This holds also for an upstream whose slots are granted later.
        """
        if is_leaving:
            self._leaving.add(address)
        else:
            self._leaving.discard(address)
        for state in self._pools.values():
            if address in state.upstreams:
                state.upstreams[address].is_leaving = is_leaving

    def submit(
        self, ticket: admission.Ticket, now: core.Millis
    ) -> list[_effects.Effect]:
        """Decide on a new request."""
        state = self._pools.get(ticket.pool)
        if state is None or self.is_draining and ticket.hops:
            error = admission.OverloadedError(
                'the pool takes no work here', pool=ticket.pool
            )
            return [_effects.Fail(ticket=ticket, error=error)]
        if ticket.deadline <= now:
            return [_late(ticket)]
        if not len(state.queue):
            sent = self._send(state, ticket, attempts=1)
            if sent is not None:
                return [sent]
        if ticket.hops:
            # The peer saw a free slot that is taken by now; it can queue
            # the request itself, where the caller waits.
            return [_refuse(ticket)]
        refused = state.queue.offer(ticket, now)
        return [_refuse(other) for other in refused]

    def finished(
        self, ticket_id: str, outcome: _outcome.Outcome, now: core.Millis
    ) -> list[_effects.Effect]:
        """Free the slot of an attempt; retry or end the request."""
        flight = self._flights.pop(ticket_id)
        effects = self._settle(flight, outcome, now)
        if flight.upstream is not None:
            self._free_slot(flight, outcome)
        state = self._pools[flight.ticket.pool]
        return [*effects, *self._drain(state, now)]

    def cancel(
        self, ticket_id: str, now: core.Millis
    ) -> list[_effects.Effect]:
        """Drop a request that waits in a queue."""
        for state in self._pools.values():
            if state.queue.cancel(ticket_id):
                break
        return []

    def reserve(
        self, key: str, pool: str, slots: int, team: str, priority: int
    ) -> _state.Reservation | None:
        """Take slots of one upstream for a batch task, or return None."""
        state = self._pools.get(pool)
        if state is None or self.is_draining or key in self._reservations:
            return None
        fitting = [u for u in state.upstreams.values() if u.free >= slots]
        if not fitting:
            return None
        chosen = max(fitting, key=lambda u: (u.free, u.address))
        return self._reserve_on(chosen, key, slots, team, priority)

    def _reserve_on(
        self,
        upstream: _state.UpstreamState,
        key: str,
        slots: int,
        team: str,
        priority: int,
    ) -> _state.Reservation:
        """Count slots of an upstream as used by a task."""
        upstream.in_use += slots
        reservation = _state.Reservation(
            key=key,
            pool=upstream.pool,
            address=upstream.address,
            slots=slots,
            team=team,
            priority=priority,
        )
        self._reservations[key] = reservation
        return reservation

    def adopt_reservation(
        self,
        key: str,
        address: str,
        slots: int,
        team: str,
        priority: int,
    ) -> _state.Reservation | None:
        """Take slots of a given upstream for a task that runs there.

        Return None when this daemon does not have that many free slots.
        """
        for state in self._pools.values():
            upstream = state.upstreams.get(address)
            if upstream is not None and upstream.free >= slots:
                return self._reserve_on(upstream, key, slots, team, priority)
        return None

    def unreserve(self, key: str, now: core.Millis) -> list[_effects.Effect]:
        """Give the slots of a task back once it has stopped for certain."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return []
        for _ in range(reservation.slots):
            self._release(reservation.pool, reservation.address)
        return self._drain(self._pools[reservation.pool], now)

    def is_waiting(self, ticket_id: str) -> bool:
        """Return whether a request was not sent yet."""
        return ticket_id not in self._flights

    def tick(self, now: core.Millis) -> list[_effects.Effect]:
        """Free held slots, refuse late requests and serve queues."""
        effects: list[_effects.Effect] = []
        for due, pool, address in self._held:
            if due <= now:
                self._release(pool, address)
        self._held = [item for item in self._held if item[0] > now]
        for state in self._pools.values():
            effects += [_late(t) for t in state.queue.expire(now)]
            effects += self._drain(state, now)
        return effects

    def _settle(
        self,
        flight: _Flight,
        outcome: _outcome.Outcome,
        now: core.Millis,
    ) -> list[_effects.Effect]:
        """Return what the end of an attempt means for the caller."""
        ticket = flight.ticket
        if outcome.error is None:
            return [_effects.Finish(ticket=ticket)]
        if self._may_retry(flight, outcome, now):
            state = self._pools[ticket.pool]
            sent = self._send(
                state,
                ticket,
                attempts=flight.attempts + 1,
                avoid=flight.upstream or flight.peer or '',
            )
            if sent is not None:
                return [sent]
        return [_effects.Fail(ticket=ticket, error=outcome.error)]

    def _may_retry(
        self,
        flight: _Flight,
        outcome: _outcome.Outcome,
        now: core.Millis,
    ) -> bool:
        """Return whether another attempt is allowed."""
        if outcome.answered or outcome.is_final:
            return False
        if flight.attempts >= MAX_ATTEMPTS:
            return False
        if flight.ticket.deadline <= now:
            return False
        if outcome.verdict.is_safe_to_retry:
            return True
        return flight.ticket.safe and flight.ticket.body_is_empty

    def _drain(
        self, state: _state.PoolState, now: core.Millis
    ) -> list[_effects.Effect]:
        """Send waiting requests while there are free slots."""
        effects: list[_effects.Effect] = []
        while len(state.queue) and (state.free or state.peers):
            ticket = state.queue.take(now)
            if ticket is None:
                break
            if ticket.deadline <= now:
                effects.append(_late(ticket))
                continue
            sent = self._send(state, ticket, attempts=1)
            if sent is None:
                effects += [_refuse(t) for t in state.queue.offer(ticket, now)]
                break
            effects.append(sent)
        return effects

    def _send(
        self,
        state: _state.PoolState,
        ticket: admission.Ticket,
        attempts: int,
        avoid: str = '',
    ) -> _effects.Effect | None:
        """Take a slot and return the effect that uses it."""
        candidates = [
            placement.Candidate(
                address=up.address,
                latency_ms=up.latency_ms,
                load=up.in_use / up.limit,
            )
            for up in state.upstreams.values()
            if up.free > 0 and up.address != avoid
        ]
        chosen = self._choice.choose(candidates)
        if chosen is not None:
            state.upstreams[chosen.address].in_use += 1
            self._flights[ticket.id] = _Flight(
                ticket=ticket,
                upstream=chosen.address,
                peer=None,
                attempts=attempts,
            )
            return _effects.SendLocal(ticket=ticket, upstream=chosen.address)
        if ticket.hops or not state.peers:
            return None
        return self._forward(state, ticket, attempts, avoid)

    def _forward(
        self,
        state: _state.PoolState,
        ticket: admission.Ticket,
        attempts: int,
        avoid: str,
    ) -> _effects.Effect | None:
        """Choose the nearest peer with the most free slots."""
        peers = [p for p in state.peers.values() if p.peer != avoid]
        if not peers:
            return None
        best = min(peers, key=lambda p: (p.distance, -p.free, p.peer))
        # Until the next advertisement, count what was sent to the peer.
        self.set_peer(state.name, best.peer, best.free - 1, best.distance)
        self._flights[ticket.id] = _Flight(
            ticket=ticket, upstream=None, peer=best.peer, attempts=attempts
        )
        return _effects.SendPeer(ticket=ticket, peer=best.peer)

    def _free_slot(self, flight: _Flight, outcome: _outcome.Outcome) -> None:
        """Give a slot back, at once or when the request must have ended."""
        assert flight.upstream is not None
        pool = flight.ticket.pool
        state = self._pools[pool].upstreams[flight.upstream]
        if outcome.error is None:
            state.observe(outcome.latency_ms)
        if outcome.slot_held_until is not None:
            self._held.append((outcome.slot_held_until, pool, flight.upstream))
            return
        self._release(pool, flight.upstream)

    def _release(self, pool: str, address: str) -> None:
        """Count one slot less in use."""
        upstreams = self._pools[pool].upstreams
        state = upstreams[address]
        state.in_use -= 1
        if state.in_use == 0 and state.limit == 0:
            del upstreams[address]


def _refuse(ticket: admission.Ticket) -> _effects.Fail:
    """Return the refusal of a request for want of slots."""
    error = admission.OverloadedError(
        'no slot is free and the queue is full', pool=ticket.pool
    )
    return _effects.Fail(ticket=ticket, error=error)


def _late(ticket: admission.Ticket) -> _effects.Fail:
    """Return the refusal of a request whose deadline has passed."""
    error = admission.DeadlineExceededError(
        'the deadline passed before a slot was free', pool=ticket.pool
    )
    return _effects.Fail(ticket=ticket, error=error)
