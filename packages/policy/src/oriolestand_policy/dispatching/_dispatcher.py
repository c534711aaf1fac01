"""Decide where each request goes and when."""

from collections.abc import Callable
from collections.abc import Mapping

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import health
from oriolestand_policy import interference
from oriolestand_policy import placement
from oriolestand_policy import retries
from oriolestand_policy.dispatching import _effects
from oriolestand_policy.dispatching import _flights
from oriolestand_policy.dispatching import _outcome
from oriolestand_policy.dispatching import _refusals
from oriolestand_policy.dispatching import _slots
from oriolestand_policy.dispatching import _state
from oriolestand_policy.dispatching import _tasks

ROOM_INTERVAL_MS = 10
"""Least time between two hints to tasks that wait; a task of several slots
may fail again and again while single slots come free."""
ANY_FREE = 1 << 30
"""Free slots assumed for peers: each keeps its own headroom."""


class Dispatcher:
    """Hold slots and queues; return effects, do no input or output.

    Each submitted ticket ends in exactly one ``Fail`` or ``Finish``, unless
    it is cancelled while it waits.

    :param choice: chooses between upstreams with a free slot.
    :param make_queue: returns the queue of a new pool, given its limit.
    :param watch: takes failing upstreams out of use.
    :param make_retries: returns the retry policy of a new pool.
    :param noise: learns which tasks slow services.
    """

    def __init__(
        self,
        choice: placement.Placement,
        make_queue: Callable[[int], admission.AdmissionQueue],
        *,
        watch: health.Health | None = None,
        make_retries: Callable[
            [], retries.RetryPolicy
        ] = retries.BudgetedRetries,
        noise: interference.Interference | None = None,
    ) -> None:
        self._choice = choice
        self._make_queue = make_queue
        self._make_retries = make_retries
        self._slots = _slots.Slots(watch or health.FailureHealth())
        self._tasks = _tasks.TaskBook(
            self._slots, choice, noise or interference.LearnedInterference()
        )
        self._retries: dict[str, retries.RetryPolicy] = {}
        self._flights = _flights.Flights(self._slots, choice)
        self.is_draining = False

    @property
    def pools(self) -> Mapping[str, _state.PoolState]:
        """Return the pools by name."""
        return self._slots.pools

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and not ended."""
        return len(self._flights.sent)

    @property
    def held(self) -> int:
        """Return the number of slots held for requests that were aborted."""
        return self._flights.held

    def set_pool(
        self,
        name: str,
        queue_limit: int,
        team_weights: tuple[tuple[str, int], ...] = (),
    ) -> None:
        """Add a pool, or change its limit and weights."""
        pool = self._slots.pools.get(name)
        if pool is None:
            pool = self._slots.add_pool(name, self._make_queue(queue_limit))
            self._retries[name] = self._make_retries()
        pool.is_removed = False
        pool.queue.set_limit(queue_limit)
        pool.queue.set_weights(team_weights)

    def remove_pool(
        self, name: str, now: core.Millis
    ) -> list[_effects.Effect]:
        """Refuse what waits in a pool and forget it once it is unused."""
        pool = self._slots.pools.get(name)
        if pool is None:
            return []
        effects = self.set_limits(name, {}, now)
        for peer in pool.peers.values():
            pool.peers.remove(peer.address)
        waiting = [f for f in self._flights.waiting.values() if f.pool is pool]
        for flight in waiting:
            pool.queue.cancel(flight.ticket.id)
            effects.append(self._flights.refuse(flight.ticket, pool))
        pool.is_removed = True
        return effects

    def set_limits(
        self, pool: str, limits: Mapping[str, int], now: core.Millis
    ) -> list[_effects.Effect]:
        """Replace the granted slots of a pool, by upstream address."""
        state = self._slots.pools[pool]
        self._slots.set_limits(state, limits)
        return self._drain(state, now)

    def set_peer(
        self,
        pool: str,
        peer: str,
        free: int,
        distance: int,
        now: core.Millis | None = None,
    ) -> list[_effects.Effect]:
        """Record what a peer advertised.

        With ``now``, forward what waits.
        """
        state = self._slots.pools.get(pool)
        if state is None:
            return []
        state.peers.set(peer, free, distance)
        return [] if now is None else self._drain(state, now)

    def remove_peer(self, peer: str) -> None:
        """Forward nothing to a peer without a link."""
        for pool in self._slots.pools.values():
            pool.peers.remove(peer)

    def set_leaving(self, address: str, is_leaving: bool) -> None:
        """Give an upstream no new work, or take it into use again.

        This holds also for an upstream whose slots are granted later.
        """
        self._slots.set_leaving(address, is_leaving)

    def submit(
        self, ticket: admission.Ticket, now: core.Millis
    ) -> list[_effects.Effect]:
        """Decide on a new request."""
        pool = self._slots.pools.get(ticket.pool)
        if (
            pool is None
            or pool.is_removed
            or (self.is_draining and ticket.hops)
        ):
            error = admission.OverloadedError(
                'the pool takes no work here', pool=ticket.pool
            )
            return [_effects.Fail(ticket=ticket, error=error)]
        if ticket.deadline <= now:
            return [_refusals.late(ticket)]
        if not ticket.hops:
            # The entry instance that forwarded it has counted it.
            self._retries[pool.name].note_request()
        queue = pool.queue
        # Nobody may overtake a request of the same kind that waits.
        if not queue.has_waiting(ticket.kind):
            flight = _flights.Flight(ticket=ticket, pool=pool)
            sent = self._flights.send(flight, now)
            if sent is not None:
                return [sent]
        if ticket.hops and not queue.is_entitled(ticket.kind, ticket.team):
            # The peer saw a free slot that is taken by now. Only the team's
            # own share may wait here, for a peer that has lost its slots.
            return [self._flights.refuse(ticket, pool)]
        shed = queue.offer(ticket, now)
        effects: list[_effects.Effect] = [
            self._flights.refuse(other, pool) for other in shed
        ]
        if not shed or shed[0] is not ticket:
            flight = _flights.Flight(ticket=ticket, pool=pool)
            self._flights.waiting[ticket.id] = flight
            if pool.index.total:
                effects += self._drain(pool, now)
        return effects

    def finished(
        self, ticket_id: str, outcome: _outcome.Outcome, now: core.Millis
    ) -> list[_effects.Effect]:
        """Free the slot of an attempt; retry or end the request."""
        flight = self._flights.sent.pop(ticket_id)
        was_refused = False
        if flight.upstream:
            self._flights.end(flight, outcome, now)
        else:
            was_refused = _refusals.is_refusal(outcome)
            flight.pool.peers.ended(flight.peer, flight.round, was_refused)
        effects = self._settle(flight, outcome, was_refused, now)
        effects += self._drain(flight.pool, now)
        return effects

    def cancel(
        self, ticket_id: str, now: core.Millis
    ) -> list[_effects.Effect]:
        """Drop a request that waits in a queue."""
        flight = self._flights.waiting.pop(ticket_id, None)
        if flight is not None:
            flight.pool.queue.cancel(ticket_id)
        return []

    def reserve(
        self,
        key: str,
        pool: str,
        slots: int,
        team: str,
        priority: int,
        job: str = '',
    ) -> _state.Reservation | None:
        """Take slots of one upstream for a batch task, or return None.

        :param job: what fails as a whole if its tasks do; the team if empty.
        """
        if pool not in self._slots.pools or self.is_draining:
            return None
        if key in self._tasks:
            return None
        wanted = _state.Reservation(
            key=key,
            pool=pool,
            address='',
            slots=slots,
            team=team,
            priority=priority,
        )
        return self._tasks.reserve(wanted, job or team)

    def adopt_reservation(
        self,
        key: str,
        address: str,
        slots: int,
        team: str,
        priority: int,
        job: str = '',
    ) -> _state.Reservation | None:
        """Take slots of a given upstream for a task that runs there.

        Return None when this daemon does not have that many free slots.
        """
        wanted = _state.Reservation(
            key=key,
            pool='',
            address=address,
            slots=slots,
            team=team,
            priority=priority,
        )
        return self._tasks.adopt(wanted, job or team)

    def unreserve(
        self, key: str, now: core.Millis, failed: bool | None = None
    ) -> list[_effects.Effect]:
        """Give the slots of a task back once it has stopped for certain.

        :param failed: whether the task failed; None if that is not known
            or not the upstream's doing.
        """
        pool = self._tasks.release(key, failed, now)
        return [] if pool is None else self._drain(pool, now)

    def report_usage(
        self, usage: interference.UsageReport, now: core.Millis
    ) -> list[_effects.Effect]:
        """Take a lagging measurement of an upstream into account."""
        return self._tasks.report(usage, now)

    def never_fits(self, pool: str, slots: int) -> str:
        """Return why a task can never run in a pool, or ''.

        Linear in the upstreams of the pool; meant for submission.
        """
        state = self._slots.pools.get(pool)
        if state is None:
            return f'there is no pool {pool}'
        largest = max((u.limit for u in state.upstreams.values()), default=0)
        if state.upstreams and slots > largest:
            return (
                f'it needs {slots} slots of one upstream, and no upstream '
                f'of pool {pool} grants more than {largest} here'
            )
        return ''

    def is_waiting(self, ticket_id: str) -> bool:
        """Return whether a request was not sent yet."""
        return ticket_id not in self._flights.sent

    def tick(self, now: core.Millis) -> list[_effects.Effect]:
        """Free held slots, refuse late requests and serve queues.

        The cost grows with what is due and with the pools, not with
        upstreams, requests or tasks.
        """
        effects: list[_effects.Effect] = []
        self._flights.tick(now)
        self._slots.tick(now)
        for pool in list(self._slots.pools.values()):
            if pool.is_removed and not pool.upstreams:
                del self._slots.pools[pool.name]
                del self._retries[pool.name]
                continue
            pool.share_slots()
            pool.queue.tick(now)
            for ticket in pool.queue.expire(now):
                del self._flights.waiting[ticket.id]
                effects.append(_refusals.late(ticket))
            effects += self._drain(pool, now)
        effects += self._tasks.tick(now)
        return effects

    def _settle(
        self,
        flight: _flights.Flight,
        outcome: _outcome.Outcome,
        was_refused: bool,
        now: core.Millis,
    ) -> list[_effects.Effect]:
        """Return what the end of an attempt means for the caller."""
        ticket = flight.ticket
        if outcome.error is None:
            return [_effects.Finish(ticket=ticket)]
        is_over = outcome.answered or outcome.is_final
        if is_over or ticket.deadline <= now or flight.pool.is_removed:
            return [_effects.Fail(ticket=ticket, error=outcome.error)]
        if was_refused:
            # The upstreams saw nothing of it, so this is no retry.
            flight.refusals += 1
            flight.attempts -= 1
        elif not self._may_retry(flight, outcome):
            return [_effects.Fail(ticket=ticket, error=outcome.error)]
        flight.avoid = flight.upstream or flight.peer
        flight.upstream = flight.peer = ''
        sent = self._flights.send(flight, now)
        if sent is not None:
            return [sent]
        if ticket.hops or was_refused and flight.pool.is_starved:
            return [_effects.Fail(ticket=ticket, error=outcome.error)]
        self._flights.wait_again(flight)
        return []

    def _may_retry(
        self, flight: _flights.Flight, outcome: _outcome.Outcome
    ) -> bool:
        """Return whether another attempt is allowed, and count it."""
        ticket = flight.ticket
        if not outcome.verdict.is_safe_to_retry and not (
            ticket.safe and ticket.body_is_empty
        ):
            return False
        policy = self._retries[flight.pool.name]
        if flight.attempts >= policy.max_attempts:
            return False
        return policy.allow()

    def _drain(
        self, pool: _state.PoolState, now: core.Millis
    ) -> list[_effects.Effect]:
        """Send waiting requests while there are free slots."""
        effects: list[_effects.Effect] = []
        queue = pool.queue
        while len(queue):
            free = pool.index.total
            ticket = queue.take(now, free) if free else None
            if ticket is None and pool.peers:
                ticket = queue.take(now, ANY_FREE)
            if ticket is None:
                break
            flight = self._flights.waiting.pop(ticket.id)
            if ticket.deadline <= now:
                effects.append(_refusals.late(ticket))
                continue
            sent = self._flights.send(flight, now)
            if sent is None:
                self._flights.wait_again(flight)
                break
            effects.append(sent)
        if (
            pool.wants_room
            and pool.room_told + ROOM_INTERVAL_MS <= now
            and queue.has_slot_for_task(pool.index.total)
        ):
            # Told once; a task that finds no place asks again.
            pool.wants_room = False
            pool.room_told = now
            effects.append(_effects.RoomForTasks(pool=pool.name))
        return effects
