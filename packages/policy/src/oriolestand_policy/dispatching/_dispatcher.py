"""Decide where and when each request is sent."""

from collections.abc import Callable
from collections.abc import Mapping

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import health
from oriolestand_policy import interference
from oriolestand_policy import placement
from oriolestand_policy import retries
from oriolestand_policy.dispatching import _effects
from oriolestand_policy.dispatching import _outcome
from oriolestand_policy.dispatching import _refusals
from oriolestand_policy.dispatching import _requests
from oriolestand_policy.dispatching import _slots
from oriolestand_policy.dispatching import _state
from oriolestand_policy.dispatching import _tasks

TASK_HINT_INTERVAL_MS = 10
"""Minimum time between two hints that slots are available for batch tasks.
Without it, a task that needs several slots would retry in vain each time that
a single slot becomes free."""
ASSUMED_PEER_SLOTS = 1 << 30
"""Number of free slots assumed at peers when a request may be forwarded. Each
peer keeps its own headroom, so this daemon need not do so."""


class Dispatcher:
    """Dispatches the requests and batch tasks of one daemon.

    It owns the slots and queues of all pools, and returns effects instead
    of doing I/O. Each submitted ticket ends in exactly one ``Fail`` or
    ``Finish``, unless it is cancelled while it is queued.

    :param placement_policy: chooses among upstreams with a free slot.
    :param make_queue: returns the queue of a new pool, given its limit.
    :param health_policy: ejects failing upstreams and probes them.
    :param make_retries: returns the retry policy of a new pool.
    :param interference_policy: estimates which tasks slow services.
    """

    def __init__(
        self,
        placement_policy: placement.Placement,
        make_queue: Callable[[int], admission.AdmissionQueue],
        *,
        health_policy: health.Health | None = None,
        make_retries: Callable[
            [], retries.RetryPolicy
        ] = retries.BudgetedRetries,
        interference_policy: interference.Interference | None = None,
    ) -> None:
        self._placement = placement_policy
        self._make_queue = make_queue
        self._make_retries = make_retries
        self._slots = _slots.Slots(health_policy or health.FailureHealth())
        self._tasks = _tasks.TaskReservations(
            self._slots,
            placement_policy,
            interference_policy or interference.LearnedInterference(),
        )
        self._retries: dict[str, retries.RetryPolicy] = {}
        self._requests = _requests.RequestTracker(
            self._slots, placement_policy
        )
        self.is_draining = False

    @property
    def pools(self) -> Mapping[str, _state.PoolState]:
        """Return the pools by name."""
        return self._slots.pools

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and have not ended."""
        return len(self._requests.sent)

    @property
    def held(self) -> int:
        """Return the number of slots still held by aborted requests."""
        return self._requests.held

    def set_pool(
        self,
        name: str,
        queue_limit: int,
        team_weights: tuple[tuple[str, int], ...] = (),
    ) -> None:
        """Add a pool, or set its queue limit and team weights."""
        pool = self._slots.pools.get(name)
        if pool is None:
            pool = self._slots.add_pool(name, self._make_queue(queue_limit))
            self._retries[name] = self._make_retries()
        pool.is_removed = False
        pool.queue.set_max_length(queue_limit)
        pool.queue.set_weights(team_weights)

    def remove_pool(
        self, name: str, now: core.Millis
    ) -> list[_effects.Effect]:
        """Refuse the queued requests of a pool; delete it once unused."""
        pool = self._slots.pools.get(name)
        if pool is None:
            return []
        effects = self.set_limits(name, {}, now)
        for peer in pool.peers.values():
            pool.peers.remove(peer.address)
        waiting = [
            r for r in self._requests.waiting.values() if r.pool is pool
        ]
        for request in waiting:
            pool.queue.cancel(request.ticket.id)
            effects.append(self._requests.refuse(request.ticket, pool))
        pool.is_removed = True
        return effects

    def set_limits(
        self, pool: str, limits: Mapping[str, int], now: core.Millis
    ) -> list[_effects.Effect]:
        """Replace the granted slots of a pool, by upstream address."""
        state = self._slots.pools[pool]
        self._slots.set_limits(state, limits)
        return self._send_queued(state, now)

    def set_peer(
        self,
        pool: str,
        peer: str,
        free: int,
        distance: int,
        now: core.Millis | None = None,
    ) -> list[_effects.Effect]:
        """Record the free slots that a peer advertised.

        With ``now``, also forward queued requests.
        """
        state = self._slots.pools.get(pool)
        if state is None:
            return []
        state.peers.set(peer, free, distance)
        return [] if now is None else self._send_queued(state, now)

    def remove_peer(self, peer: str) -> None:
        """Stop forwarding to a peer whose link is down."""
        for pool in self._slots.pools.values():
            pool.peers.remove(peer)

    def set_leaving(self, address: str, is_leaving: bool) -> None:
        """Stop or resume sending new work to an upstream.

        This also applies to its slots that are granted later.
        """
        self._slots.set_leaving(address, is_leaving)

    def submit(
        self, ticket: admission.Ticket, now: core.Millis
    ) -> list[_effects.Effect]:
        """Send, forward, queue or refuse a new request."""
        pool = self._slots.pools.get(ticket.pool)
        if (
            pool is None
            or pool.is_removed
            or (self.is_draining and ticket.hops)
        ):
            error = admission.OverloadedError(
                'this instance accepts no requests for the pool',
                pool=ticket.pool,
            )
            return [_effects.Fail(ticket=ticket, error=error)]
        if ticket.deadline <= now:
            return [_refusals.refuse_expired(ticket)]
        if not ticket.hops:
            # A forwarded request was counted by its entry instance.
            self._retries[pool.name].record_request()
        queue = pool.queue
        # A request must not overtake queued requests of its kind.
        if not queue.has_waiting(ticket.kind):
            request = _requests.TrackedRequest(ticket=ticket, pool=pool)
            sent = self._requests.send(request, now)
            if sent is not None:
                return [sent]
        if ticket.hops and not queue.is_team_below_share(
            ticket.kind, ticket.team
        ):
            # The slot that this daemon advertised is no longer free. A
            # forwarded request may queue here only within its team's
            # share, which serves peers that have lost their slots.
            return [self._requests.refuse(ticket, pool)]
        shed = queue.offer(ticket, now)
        effects: list[_effects.Effect] = [
            self._requests.refuse(shed_ticket, pool) for shed_ticket in shed
        ]
        if not shed or shed[0] is not ticket:
            request = _requests.TrackedRequest(ticket=ticket, pool=pool)
            self._requests.waiting[ticket.id] = request
            if pool.index.total_free:
                effects += self._send_queued(pool, now)
        return effects

    def attempt_finished(
        self, ticket_id: str, outcome: _outcome.Outcome, now: core.Millis
    ) -> list[_effects.Effect]:
        """Release the slot of a finished attempt; end or retry the request."""
        request = self._requests.sent.pop(ticket_id)
        was_refused = False
        if request.upstream:
            self._requests.end_attempt(request, outcome, now)
        else:
            was_refused = _refusals.is_refusal(outcome)
            request.pool.peers.record_ended(
                request.peer, request.round, was_refused
            )
        effects = self._complete_attempt(request, outcome, was_refused, now)
        effects += self._send_queued(request.pool, now)
        return effects

    def cancel(
        self, ticket_id: str, now: core.Millis
    ) -> list[_effects.Effect]:
        """Remove a request that is queued; ignore one that was sent."""
        request = self._requests.waiting.pop(ticket_id, None)
        if request is not None:
            request.pool.queue.cancel(ticket_id)
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
        """Reserve slots of one upstream for a batch task, or return None.

        :param job: job whose tasks are likely to fail for the same reason;
            the team if empty.
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
        """Reserve slots of the upstream on which a task already runs.

        Return None if this daemon has too few free slots there.
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
        """Release the slots of a task that has certainly stopped.

        :param failed: whether the task failed; None if that is unknown or
            not attributable to the upstream.
        """
        pool = self._tasks.release(key, failed, now)
        return [] if pool is None else self._send_queued(pool, now)

    def report_usage(
        self, usage: interference.UsageReport, now: core.Millis
    ) -> list[_effects.Effect]:
        """Throttle, unthrottle or move tasks after a delayed measurement."""
        return self._tasks.handle_usage(usage, now)

    def unplaceable_reason(self, pool: str, slots: int) -> str:
        """Return why a task can never run in a pool, or ''.

        The cost is linear in the upstreams of the pool; call it only when
        a job is submitted.
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
        """Return whether a request is not sent to an upstream or peer."""
        return ticket_id not in self._requests.sent

    def tick(self, now: core.Millis) -> list[_effects.Effect]:
        """Release held slots, refuse expired requests and serve queues.

        The cost grows with the number of pools and of due events, not with
        that of upstreams, requests or tasks.
        """
        effects: list[_effects.Effect] = []
        self._requests.tick(now)
        self._slots.tick(now)
        for pool in list(self._slots.pools.values()):
            if pool.is_removed and not pool.upstreams:
                del self._slots.pools[pool.name]
                del self._retries[pool.name]
                continue
            pool.update_total_slots()
            pool.queue.tick(now)
            for ticket in pool.queue.expire(now):
                del self._requests.waiting[ticket.id]
                effects.append(_refusals.refuse_expired(ticket))
            effects += self._send_queued(pool, now)
        effects += self._tasks.tick(now)
        return effects

    def _complete_attempt(
        self,
        request: _requests.TrackedRequest,
        outcome: _outcome.Outcome,
        was_refused: bool,
        now: core.Millis,
    ) -> list[_effects.Effect]:
        """Finish, fail, resend or requeue a request after an attempt."""
        ticket = request.ticket
        if outcome.error is None:
            return [_effects.Finish(ticket=ticket)]
        is_over = outcome.answered or outcome.is_final
        if is_over or ticket.deadline <= now or request.pool.is_removed:
            return [_effects.Fail(ticket=ticket, error=outcome.error)]
        if was_refused:
            # No upstream received the request, so this is no retry.
            request.refusals += 1
            request.attempts -= 1
        elif not self._may_retry(request, outcome):
            return [_effects.Fail(ticket=ticket, error=outcome.error)]
        request.avoid = request.upstream or request.peer
        request.upstream = request.peer = ''
        sent = self._requests.send(request, now)
        if sent is not None:
            return [sent]
        if ticket.hops or was_refused and request.pool.is_starved:
            return [_effects.Fail(ticket=ticket, error=outcome.error)]
        self._requests.requeue(request)
        return []

    def _may_retry(
        self, request: _requests.TrackedRequest, outcome: _outcome.Outcome
    ) -> bool:
        """Return whether a retry is allowed, and charge it to the budget."""
        ticket = request.ticket
        if not outcome.verdict.is_safe_to_retry and not (
            ticket.safe and ticket.body_is_empty
        ):
            return False
        policy = self._retries[request.pool.name]
        if request.attempts >= policy.max_attempts:
            return False
        return policy.allow()

    def _send_queued(
        self, pool: _state.PoolState, now: core.Millis
    ) -> list[_effects.Effect]:
        """Send queued requests while slots are free; hint batch tasks."""
        effects: list[_effects.Effect] = []
        queue = pool.queue
        while len(queue):
            free = pool.index.total_free
            ticket = queue.take(now, free) if free else None
            if ticket is None and pool.peers:
                ticket = queue.take(now, ASSUMED_PEER_SLOTS)
            if ticket is None:
                break
            request = self._requests.waiting.pop(ticket.id)
            if ticket.deadline <= now:
                effects.append(_refusals.refuse_expired(ticket))
                continue
            sent = self._requests.send(request, now)
            if sent is None:
                self._requests.requeue(request)
                break
            effects.append(sent)
        if (
            pool.has_waiting_task
            and pool.task_hint_sent_at + TASK_HINT_INTERVAL_MS <= now
            and queue.should_retry_task(pool.index.total_free)
        ):
            # One hint is enough: a task that still cannot be placed sets the
            # flag again.
            pool.has_waiting_task = False
            pool.task_hint_sent_at = now
            effects.append(_effects.TaskSlotsAvailable(pool=pool.name))
        return effects
