"""Track requests sent to upstreams and peers, and the slots they hold."""

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
"""Refusals by peers after which a request is no longer forwarded but queued
here."""


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedRequest:
    """A request with its current destination and number of attempts.

    ``round`` is the number of the peer's advertisement when the request was
    forwarded. ``refusals`` counts the refusals by peers. ``avoid`` is the
    address of the upstream or peer of the last failed attempt.
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


class RequestTracker:
    """Tracks requests that are sent, queued or hold a slot after an abort."""

    def __init__(
        self, slots: _slots.Slots, placement_policy: placement.Placement
    ) -> None:
        self._slots = slots
        self._placement = placement_policy
        self.sent: dict[str, TrackedRequest] = {}
        self.waiting: dict[str, TrackedRequest] = {}
        self._held_slots: list[tuple[core.Millis, int, TrackedRequest]] = []
        self._held_sequence = 0

    @property
    def held(self) -> int:
        """Return the number of slots still held by aborted requests."""
        return len(self._held_slots)

    def tick(self, now: core.Millis) -> None:
        """Release held slots whose requests have certainly ended."""
        while self._held_slots and self._held_slots[0][0] <= now:
            self._release_slot(heapq.heappop(self._held_slots)[2], now)

    def requeue(self, request: TrackedRequest) -> None:
        """Return a request to the head of its queue."""
        request.pool.queue.put_back(request.ticket)
        self.waiting[request.ticket.id] = request

    def send(
        self, request: TrackedRequest, now: core.Millis
    ) -> _effects.Effect | None:
        """Send a request to an upstream, or else forward it to a peer.

        Return the effect, or None if neither has a free slot.
        """
        pool = request.pool
        ticket = request.ticket
        index = pool.index
        if index.total_free and pool.queue.may_start(
            ticket.kind, 1, index.total_free
        ):
            chosen = self._placement.choose(index, request.avoid)
            if chosen is None:
                chosen = self._placement.choose(index)
            assert chosen is not None
            self._slots.take(chosen, 1)
            pool.queue.record_start(ticket.kind, ticket.team, 1)
            request.upstream = chosen.address
            request.started = now
            request.attempts += 1
            self.sent[ticket.id] = request
            return _effects.SendToUpstream(
                ticket=ticket, upstream=chosen.address
            )
        if ticket.hops:
            return None
        return self._forward(request)

    def _forward(self, request: TrackedRequest) -> _effects.Effect | None:
        """Forward a request to a nearby peer with free slots, if any.

        If this instance is starved, also use peers that advertised none.
        """
        peers = request.pool.peers
        if request.refusals >= MAX_REFUSALS:
            return None
        peer = peers.choose(request.avoid)
        if peer is None and request.pool.is_starved:
            peer = peers.choose_any(request.avoid)
        if peer is None:
            return None
        peers.record_sent(peer)
        request.peer = peer.address
        request.round = peer.round
        request.attempts += 1
        self.sent[request.ticket.id] = request
        return _effects.ForwardToPeer(ticket=request.ticket, peer=peer.address)

    def end_attempt(
        self,
        request: TrackedRequest,
        outcome: _outcome.Outcome,
        now: core.Millis,
    ) -> None:
        """Record a result; release the slot now or at ``slot_held_until``."""
        address = request.upstream
        ticket = request.ticket
        self._slots.end_start(address)
        if outcome.error is None:
            self._slots.upstreams[address].record_latency(outcome.latency_ms)
        if outcome.error is None or outcome.upstream_failed:
            # A request that did not run cannot have caused the failure, so
            # the result is not attributed to its team.
            is_unreachable = (
                outcome.upstream_failed and outcome.verdict.is_safe_to_retry
            )
            self._slots.record_result(
                address,
                ticket.id,
                '' if is_unreachable else ticket.team,
                outcome.upstream_failed,
                request.started,
                now,
            )
        if outcome.slot_held_until is None:
            self._release_slot(request, now)
            return
        self._held_sequence += 1
        # A retry changes the request, so the held slot needs a copy.
        held = dataclasses.replace(request)
        heapq.heappush(
            self._held_slots,
            (outcome.slot_held_until, self._held_sequence, held),
        )

    def _release_slot(self, request: TrackedRequest, now: core.Millis) -> None:
        """Release the slot of an attempt and record how long it was held."""
        ticket = request.ticket
        held_ms = float(now - request.started)
        self._slots.release(request.upstream, 1)
        request.pool.queue.record_end(ticket.kind, ticket.team, 1, held_ms)

    def refuse(
        self, ticket: admission.Ticket, pool: _state.PoolState
    ) -> _effects.Fail:
        """Stop tracking a queued request and return its refusal."""
        self.waiting.pop(ticket.id, None)
        error = admission.OverloadedError(
            'no slot is free and the queue wait would be too long',
            pool=ticket.pool,
            retry_after_ms=pool.queue.retry_after_ms(ticket),
        )
        return _effects.Fail(ticket=ticket, error=error)
