"""Send requests to upstreams and peers and count their slots."""

import dataclasses
import heapq

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import placement
from oriolestand_policy.dispatching import _effects
from oriolestand_policy.dispatching import _outcome
from oriolestand_policy.dispatching import _slots
from oriolestand_policy.dispatching import _state

MAX_REFUSALS = 4
"""Peers that are tried for one request; then it waits where it is."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Flight:
    """Hold a request, where it was sent and how often it was tried.

    ``round`` is that of the peer's advertisement, ``refusals`` counts the
    peers that sent the request back.
    """

    ticket: admission.Ticket
    pool: _state.PoolState
    upstream: str = ''
    peer: str = ''
    round: int = 0
    attempts: int = 0
    avoid: str = ''
    refusals: int = 0
    started: core.Millis = core.Millis(0)


class Flights:
    """Own the requests that were sent, that wait, or that hold a slot."""

    def __init__(
        self, slots: _slots.Slots, choice: placement.Placement
    ) -> None:
        self._slots = slots
        self._choice = choice
        self.sent: dict[str, Flight] = {}
        self.waiting: dict[str, Flight] = {}
        self._held: list[tuple[core.Millis, int, Flight]] = []
        self._held_count = 0

    @property
    def held(self) -> int:
        """Return the number of slots held for requests that were aborted."""
        return len(self._held)

    def tick(self, now: core.Millis) -> None:
        """Free the slots of requests that must have ended."""
        while self._held and self._held[0][0] <= now:
            self._free_slot(heapq.heappop(self._held)[2], now)

    def wait_again(self, flight: Flight) -> None:
        """Put a request back to the head of its line."""
        flight.pool.queue.put_back(flight.ticket)
        self.waiting[flight.ticket.id] = flight

    def send(self, flight: Flight, now: core.Millis) -> _effects.Effect | None:
        """Take a slot and return the effect that uses it."""
        pool = flight.pool
        ticket = flight.ticket
        index = pool.index
        if index.total and pool.queue.may_start(ticket.kind, 1, index.total):
            chosen = self._choice.choose(index, flight.avoid)
            if chosen is None:
                chosen = self._choice.choose(index)
            assert chosen is not None
            self._slots.take(chosen, 1)
            pool.queue.record_start(ticket.kind, ticket.team, 1)
            flight.upstream = chosen.address
            flight.started = now
            flight.attempts += 1
            self.sent[ticket.id] = flight
            return _effects.SendLocal(ticket=ticket, upstream=chosen.address)
        if ticket.hops:
            return None
        return self._forward(flight)

    def _forward(self, flight: Flight) -> _effects.Effect | None:
        """Send a request to a near peer with free slots."""
        peers = flight.pool.peers
        if flight.refusals >= MAX_REFUSALS:
            return None
        load = peers.choose(flight.avoid)
        if load is None and flight.pool.is_starved:
            load = peers.choose_any(flight.avoid)
        if load is None:
            return None
        peers.sent(load)
        flight.peer = load.address
        flight.round = load.round
        flight.attempts += 1
        self.sent[flight.ticket.id] = flight
        return _effects.SendPeer(ticket=flight.ticket, peer=load.address)

    def end(
        self, flight: Flight, outcome: _outcome.Outcome, now: core.Millis
    ) -> None:
        """Record a result and give the slot back, now or when it is safe."""
        address = flight.upstream
        ticket = flight.ticket
        self._slots.end_start(address)
        if outcome.error is None:
            self._slots.upstreams[address].observe(outcome.latency_ms)
        if outcome.error is None or outcome.upstream_failed:
            # What did not run cannot have failed by its own fault.
            is_unreachable = (
                outcome.upstream_failed and outcome.verdict.is_safe_to_retry
            )
            self._slots.note(
                address,
                ticket.id,
                '' if is_unreachable else ticket.team,
                outcome.upstream_failed,
                flight.started,
                now,
            )
        if outcome.slot_held_until is None:
            self._free_slot(flight, now)
            return
        self._held_count += 1
        # A retry changes the flight, so the held slot needs its own copy.
        held = dataclasses.replace(flight)
        heapq.heappush(
            self._held, (outcome.slot_held_until, self._held_count, held)
        )

    def _free_slot(self, flight: Flight, now: core.Millis) -> None:
        """Give a slot back."""
        ticket = flight.ticket
        took = float(now - flight.started)
        self._slots.give(flight.upstream, 1)
        flight.pool.queue.record_end(ticket.kind, ticket.team, 1, took)

    def refuse(
        self, ticket: admission.Ticket, pool: _state.PoolState
    ) -> _effects.Fail:
        """Return the refusal of a request for want of slots."""
        self.waiting.pop(ticket.id, None)
        error = admission.OverloadedError(
            'no slot is free and the wait would be too long',
            pool=ticket.pool,
            retry_after_ms=pool.queue.retry_after_ms(ticket),
        )
        return _effects.Fail(ticket=ticket, error=error)
