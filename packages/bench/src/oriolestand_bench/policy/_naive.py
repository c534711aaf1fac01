"""Baseline dispatcher with simple policies, for comparison."""

import collections
from collections.abc import Mapping
import dataclasses
import random

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import interference
from oriolestand_policy import tables

MAX_ATTEMPTS = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pool:
    """Granted slots by upstream, a FIFO queue and advertisements of peers.

    ``peers`` holds the free slots and the distance of each peer.
    """

    limits: dict[str, int] = dataclasses.field(default_factory=dict)
    queue: collections.deque[admission.Ticket] = dataclasses.field(
        default_factory=collections.deque
    )
    peers: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    queue_limit: int = 256


class NaiveDispatcher:
    """Dispatcher with least connections, a FIFO queue and fixed retries.

    It does not isolate teams or kinds. A service request that has to wait
    evicts the newest batch task. The interface is that of
    ``dispatching.Dispatcher``.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pools: dict[str, _Pool] = {}
        self._in_use: collections.Counter[str] = collections.Counter()
        self._sent: dict[str, tuple[admission.Ticket, str, int]] = {}
        self._tasks: dict[str, dispatching.Reservation] = {}
        self._evicting: set[str] = set()
        self._held_slots: list[tuple[int, str]] = []
        self._attempts: dict[str, int] = {}

    def set_pool(self, name: str, queue_limit: int) -> None:
        """Add a pool."""
        self._pools[name] = _Pool(queue_limit=queue_limit)

    def set_limits(
        self, pool: str, limits: Mapping[str, int], now: core.Millis
    ) -> list[dispatching.Effect]:
        """Replace the granted slots of a pool."""
        self._pools[pool].limits = dict(limits)
        return self._drain(pool, now)

    def set_peer(
        self,
        pool: str,
        peer: str,
        free: int,
        distance: int,
        now: core.Millis | None = None,
    ) -> list[dispatching.Effect]:
        """Update the advertisement of a peer."""
        self._pools[pool].peers.pop(peer, None)
        if free > 0:
            self._pools[pool].peers[peer] = (free, distance)
        return []

    def free(self, pool: str) -> int:
        """Return the free slots of a pool."""
        limits = self._pools[pool].limits
        return sum(max(0, n - self._in_use[a]) for a, n in limits.items())

    def queued(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""
        return len(self._pools[pool].queue)

    def submit(
        self, ticket: admission.Ticket, now: core.Millis
    ) -> list[dispatching.Effect]:
        """Send, forward, queue or refuse a request."""
        pool = self._pools[ticket.pool]
        if not pool.queue:
            sent = self._send(ticket)
            if sent is not None:
                return [sent]
        if ticket.hops or len(pool.queue) >= pool.queue_limit:
            return [_refuse(ticket)]
        pool.queue.append(ticket)
        if ticket.kind is tables.Kind.SERVICE:
            return self._evict(ticket.pool)
        return []

    def attempt_finished(
        self, ticket_id: str, outcome: dispatching.Outcome, now: core.Millis
    ) -> list[dispatching.Effect]:
        """Handle the end of an attempt: release the slot, retry if safe."""
        ticket, address, _ = self._sent.pop(ticket_id)
        if address:
            if outcome.slot_held_until is None:
                self._in_use[address] -= 1
            else:
                self._held_slots.append((outcome.slot_held_until, address))
        effects: list[dispatching.Effect] = []
        attempts = self._attempts.get(ticket_id, 1)
        if outcome.error is None:
            effects.append(dispatching.Finish(ticket=ticket))
        elif (
            attempts < MAX_ATTEMPTS
            and ticket.deadline > now
            and not outcome.answered
            and outcome.verdict.is_safe_to_retry
        ):
            self._attempts[ticket_id] = attempts + 1
            sent = self._send(ticket)
            failed = dispatching.Fail(ticket=ticket, error=outcome.error)
            effects.append(sent or failed)
        else:
            error = outcome.error
            effects.append(dispatching.Fail(ticket=ticket, error=error))
        return effects + self._drain(ticket.pool, now)

    def cancel(
        self, ticket_id: str, now: core.Millis
    ) -> list[dispatching.Effect]:
        """Remove a request from its queue."""
        for pool in self._pools.values():
            for ticket in pool.queue:
                if ticket.id == ticket_id:
                    pool.queue.remove(ticket)
                    return []
        return []

    def is_waiting(self, ticket_id: str) -> bool:
        """Return whether a request has not been sent yet."""
        return ticket_id not in self._sent

    def reserve(
        self,
        key: str,
        pool: str,
        slots: int,
        team: str,
        priority: int,
        job: str = '',
    ) -> dispatching.Reservation | None:
        """Reserve slots at the upstream with the fewest slots in use."""
        limits = self._pools[pool].limits
        candidates = [
            a for a, n in limits.items() if n - self._in_use[a] >= slots
        ]
        if not candidates:
            return None
        address = min(candidates, key=lambda a: (self._in_use[a], a))
        self._in_use[address] += slots
        self._tasks[key] = dispatching.Reservation(
            key=key,
            pool=pool,
            address=address,
            slots=slots,
            team=team,
            priority=priority,
        )
        return self._tasks[key]

    def adopt_reservation(
        self,
        key: str,
        address: str,
        slots: int,
        team: str,
        priority: int,
        job: str = '',
    ) -> dispatching.Reservation | None:
        """Reserve slots at the upstream where a task already runs."""
        for name, pool in self._pools.items():
            if pool.limits.get(address, 0) - self._in_use[address] >= slots:
                self._in_use[address] += slots
                self._tasks[key] = dispatching.Reservation(
                    key=key,
                    pool=name,
                    address=address,
                    slots=slots,
                    team=team,
                    priority=priority,
                )
                return self._tasks[key]
        return None

    def unreserve(
        self, key: str, now: core.Millis, failed: bool | None = None
    ) -> list[dispatching.Effect]:
        """Release the slots of a task."""
        reservation = self._tasks.pop(key)
        self._evicting.discard(key)
        self._in_use[reservation.address] -= reservation.slots
        return self._drain(reservation.pool, now)

    def report_usage(
        self, usage: interference.UsageReport, now: core.Millis
    ) -> list[dispatching.Effect]:
        """Ignore usage reports."""
        return []

    def unplaceable_reason(self, pool: str, slots: int) -> str:
        """Accept all sizes."""
        return ''

    def tick(self, now: core.Millis) -> list[dispatching.Effect]:
        """Release held slots, refuse late requests and drain the queues."""
        for due, address in self._held_slots:
            if due <= now:
                self._in_use[address] -= 1
        self._held_slots = [item for item in self._held_slots if item[0] > now]
        effects: list[dispatching.Effect] = []
        for name, pool in self._pools.items():
            expired = [t for t in pool.queue if t.deadline <= now]
            if expired:
                remaining = (t for t in pool.queue if t.deadline > now)
                pool.queue = collections.deque(remaining)
            effects += [_refuse(t) for t in expired]
            effects += self._drain(name, now)
        return effects

    def _drain(self, name: str, now: core.Millis) -> list[dispatching.Effect]:
        """Send queued requests in order of arrival."""
        queue = self._pools[name].queue
        effects: list[dispatching.Effect] = []
        while queue:
            sent = self._send(queue[0])
            if sent is None:
                break
            queue.popleft()
            effects.append(sent)
        return effects

    def _send(self, ticket: admission.Ticket) -> dispatching.Effect | None:
        """Send to the upstream with the fewest slots in use, or to a peer."""
        pool = self._pools[ticket.pool]
        free = [a for a, n in pool.limits.items() if n > self._in_use[a]]
        if free:
            least = min(self._in_use[a] for a in free)
            ties = [a for a in free if self._in_use[a] == least]
            address = self._rng.choice(ties)
            self._in_use[address] += 1
            self._sent[ticket.id] = (ticket, address, 0)
            return dispatching.SendToUpstream(ticket=ticket, upstream=address)
        if ticket.hops or not pool.peers:
            return None
        peer = max(pool.peers, key=lambda p: (pool.peers[p][0], p))
        count, distance = pool.peers[peer]
        self.set_peer(ticket.pool, peer, count - 1, distance)
        self._sent[ticket.id] = (ticket, '', 0)
        return dispatching.ForwardToPeer(ticket=ticket, peer=peer)

    def _evict(self, pool: str) -> list[dispatching.Effect]:
        """Evict the newest task to make room for a service request."""
        for key in reversed(self._tasks):
            reservation = self._tasks[key]
            if reservation.pool == pool and key not in self._evicting:
                self._evicting.add(key)
                return [dispatching.Evict(key=key)]
        return []


def _refuse(ticket: admission.Ticket) -> dispatching.Fail:
    """Return the refusal of a request."""
    error = admission.OverloadedError('queue is full', pool=ticket.pool)
    return dispatching.Fail(ticket=ticket, error=error)
