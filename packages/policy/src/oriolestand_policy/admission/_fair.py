"""Share the slots of a pool between kinds of work and between teams."""

import heapq

import oriolestand_core as core
from oriolestand_policy import tables
from oriolestand_policy.admission import _queue
from oriolestand_policy.admission import _shares
from oriolestand_policy.admission import _team_queue

MAX_WAIT_MIN_QUEUE_LENGTH = 2
"""The maximum wait is enforced only for teams with at least this many queued
requests. With a minimum of one, a retry or a burst of two would be shed
although a slot is about to become free."""
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000

_Kind = tables.Kind


class FairQueue(_queue.AdmissionQueue):
    """Weighted fair queue over kinds of work and teams.

    It serves the kind furthest below its share, then the team with the
    fewest slots in use per unit of weight. Counting slots in use makes the
    shares independent of declared run times. A request is shed on arrival
    if it is expected to miss its deadline or to wait longer than the maximum
    of its kind.
    """

    def __init__(
        self, limit: int, cfg: _shares.ShareConfig | None = None
    ) -> None:
        self._max_length = limit
        self._cfg = cfg or _shares.ShareConfig()
        self._shares = _shares.KindShares(self._cfg)
        self._weights: dict[str, int] = {}
        self._team_queues: dict[tuple[_Kind, str], _team_queue.TeamQueue] = {}
        self._nonempty: dict[_Kind, dict[str, _team_queue.TeamQueue]] = {
            _Kind.SERVICE: {},
            _Kind.BATCH: {},
        }
        self._tickets: dict[str, _queue.Ticket] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._unmet_expiries: dict[str, int] = {}
        self._last_tick = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._tickets)

    def set_max_length(self, limit: int) -> None:
        """Set the maximum length; requests already queued stay."""
        self._max_length = limit

    def set_weights(self, weights: tuple[tuple[str, int], ...]) -> None:
        """Set the weights of teams; unlisted teams have weight 1."""
        self._weights = dict(weights)
        for (_, team), team_queue in self._team_queues.items():
            team_queue.weight = max(1, self._weights.get(team, 1))

    def set_total_slots(self, total: int) -> None:
        """Set the number of slots to share."""
        self._shares.set_total_slots(total)

    def offer(
        self, ticket: _queue.Ticket, now: core.Millis
    ) -> list[_queue.Ticket]:
        """Queue a request; return the requests that are shed.

        At most one is shed: the request itself, a less urgent one of its
        team, or, if the queue is full, one of the team with the longest
        queue for its weight.
        """
        team_queue = self._team_queue_of(ticket.kind, ticket.team)
        wait = self._expected_wait_ms(
            ticket, team_queue, team_queue.count_ahead_of(ticket.priority)
        )
        if now + wait + team_queue.mean_slot_ms > ticket.deadline:
            return [ticket]
        shed: list[_queue.Ticket] = []
        if len(team_queue) >= MAX_WAIT_MIN_QUEUE_LENGTH and (
            self._expected_wait_ms(ticket, team_queue, len(team_queue))
            > self._max_wait_ms(ticket, team_queue)
        ):
            candidate = team_queue.shed_candidate()
            if candidate.priority >= ticket.priority:
                return [ticket]
            shed.append(candidate)
        elif len(self._tickets) >= self._max_length:
            longest = self._longest_queue_by_weight()
            # A burst of one team must not displace requests of the others.
            candidate = longest.shed_candidate()
            if longest is team_queue and candidate.priority >= ticket.priority:
                return [ticket]
            shed.append(candidate)
        for shed_ticket in shed:
            self._remove(shed_ticket)
        self._add(ticket, team_queue)
        return shed

    def take(self, now: core.Millis, free: int) -> _queue.Ticket | None:
        """Remove and return the next request to serve, or None."""
        for kind in self._kinds_by_shortfall():
            nonempty = self._nonempty[kind]
            if not nonempty or not self._shares.may_start(kind, 1, free):
                continue
            team_queue = min(nonempty.values(), key=_load)
            if kind is _Kind.BATCH and self._must_yield_to_unmet_demand(
                team_queue.load
            ):
                continue
            ticket = team_queue.head()
            self._remove(ticket)
            return ticket
        return None

    def put_back(self, ticket: _queue.Ticket) -> None:
        """Return a request to the head of its queue."""
        team_queue = self._team_queue_of(ticket.kind, ticket.team)
        self._add(ticket, team_queue, at_head=True)

    def expire(self, now: core.Millis) -> list[_queue.Ticket]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            ticket = self._tickets.get(heapq.heappop(self._deadlines)[1])
            if ticket is not None and ticket.deadline <= now:
                self._remove(ticket)
                expired.append(ticket)
        return expired

    def cancel(self, ticket_id: str) -> bool:
        """Remove a request; return whether it was queued."""
        ticket = self._tickets.get(ticket_id)
        if ticket is None:
            return False
        self._remove(ticket)
        return True

    def has_waiting(self, kind: _Kind) -> bool:
        """Return whether work of a kind is waiting.

        For batch this includes tasks that could not be placed.
        """
        if self._unmet_expiries and kind is _Kind.BATCH:
            return True
        return bool(self._nonempty[kind])

    def may_start(self, kind: _Kind, slots: int, free: int) -> bool:
        """Return whether work of a kind may take that many slots now."""
        return self._shares.may_start(kind, slots, free)

    def record_start(self, kind: _Kind, team: str, slots: int) -> None:
        """Record that a team took slots."""
        self._shares.of(kind).in_use += slots
        self._team_queue_of(kind, team).in_use += slots

    def record_end(
        self, kind: _Kind, team: str, slots: int, held_ms: float
    ) -> None:
        """Record that a team released slots that it held for ``held_ms``."""
        self._shares.of(kind).in_use -= slots
        team_queue = self._team_queue_of(kind, team)
        team_queue.in_use -= slots
        if held_ms > 0:
            team_queue.record_slot_time(held_ms)

    def may_reserve(self, team: str, slots: int, free: int) -> bool:
        """Return whether a batch task of a team may take slots now.

        A team must wait while another team that has fewer slots in use per
        unit of weight has unmet demand.
        """
        if not self._shares.may_start(_Kind.BATCH, slots, free):
            return False
        load = self._team_queue_of(_Kind.BATCH, team).load
        return not self._must_yield_to_unmet_demand(load, team)

    def should_retry_task(self, free: int) -> bool:
        """Return whether a batch task with unmet demand should retry."""
        return bool(self._unmet_expiries) and self._shares.may_start(
            _Kind.BATCH, 1, free
        )

    def record_unmet_demand(self, team: str, slots: int) -> None:
        """Record the demand of a batch task that could not be placed."""
        self._shares.record_unmet_demand(_Kind.BATCH, slots)
        self._unmet_expiries[team] = self._last_tick + _shares.UNMET_TTL_MS

    def clear_unmet_demand(self, team: str) -> None:
        """Drop the unmet demand of a team, so that no other team yields to it.

        Called when the tasks of the team must not start now because they might
        slow services.
        """
        self._unmet_expiries.pop(team, None)

    def tick(self, now: core.Millis) -> None:
        """Update the demand estimates and expire unmet demand."""
        self._last_tick = now
        self._shares.tick(now)
        if self._unmet_expiries:
            self._unmet_expiries = {
                team: expiry
                for team, expiry in self._unmet_expiries.items()
                if expiry > now
            }

    def is_underserved(self, kind: _Kind) -> bool:
        """Return whether a kind has queued work and less than its share."""
        return self._shares.is_underserved(kind)

    def is_team_below_share(self, kind: _Kind, team: str) -> bool:
        """Return whether a team uses and waits for fewer slots than its share.

        The slots of its kind are divided among the teams that hold or wait
        for slots now.
        """
        own = self._team_queue_of(kind, team)
        total_weight = own.weight
        for (other_kind, name), team_queue in self._team_queues.items():
            if other_kind is kind and name != team and team_queue.is_active:
                total_weight += team_queue.weight
        slots = self._shares.of(kind).share * self._shares.total
        return own.in_use + len(own) < slots * own.weight / total_weight

    def retry_after_ms(self, ticket: _queue.Ticket) -> int:
        """Return after how many ms a shed request should be retried.

        This is the expected time until the queue of its team is empty, within
        ``MIN_RETRY_AFTER_MS`` and ``MAX_RETRY_AFTER_MS``.
        """
        team_queue = self._team_queue_of(ticket.kind, ticket.team)
        wait = self._expected_wait_ms(ticket, team_queue, len(team_queue) + 1)
        return int(max(MIN_RETRY_AFTER_MS, min(wait, MAX_RETRY_AFTER_MS)))

    def _must_yield_to_unmet_demand(self, load: float, team: str = '') -> bool:
        """Return whether a team with this load must yield to another team.

        It must if a team other than ``team`` has unmet batch demand and a
        load below ``load``.
        """
        return any(
            other != team
            and self._team_queue_of(_Kind.BATCH, other).load < load
            for other in self._unmet_expiries
        )

    def _team_queue_of(self, kind: _Kind, team: str) -> _team_queue.TeamQueue:
        """Return the queue of a team and kind, created on first use."""
        team_queue = self._team_queues.get((kind, team))
        if team_queue is None:
            weight = max(1, self._weights.get(team, 1))
            team_queue = self._team_queues[kind, team] = _team_queue.TeamQueue(
                weight
            )
        return team_queue

    def _add(
        self,
        ticket: _queue.Ticket,
        team_queue: _team_queue.TeamQueue,
        at_head: bool = False,
    ) -> None:
        """Queue a request."""
        team_queue.add(ticket, at_head)
        self._nonempty[ticket.kind][ticket.team] = team_queue
        self._tickets[ticket.id] = ticket
        self._shares.of(ticket.kind).waiting += 1
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.id))
        if len(self._deadlines) > 64 + 4 * len(self._tickets):
            # Most requests leave the queue long before their deadline, so
            # rebuild the heap without their stale entries.
            self._deadlines = [
                (t.deadline, t.id) for t in self._tickets.values()
            ]
            heapq.heapify(self._deadlines)

    def _remove(self, ticket: _queue.Ticket) -> None:
        """Remove a queued request."""
        team_queue = self._team_queues[ticket.kind, ticket.team]
        team_queue.remove(ticket)
        if not len(team_queue):
            del self._nonempty[ticket.kind][ticket.team]
        del self._tickets[ticket.id]
        self._shares.of(ticket.kind).waiting -= 1

    def _expected_wait_ms(
        self,
        ticket: _queue.Ticket,
        team_queue: _team_queue.TeamQueue,
        ahead: int,
    ) -> float:
        """Estimate the wait in ms behind ``ahead`` requests of a team."""
        share = self._shares.of(ticket.kind).share * self._shares.total
        competing_teams = max(1, len(self._nonempty[ticket.kind]))
        slots = max(1.0, team_queue.in_use, share / competing_teams)
        return ahead * team_queue.mean_slot_ms / slots

    def _max_wait_ms(
        self, ticket: _queue.Ticket, team_queue: _team_queue.TeamQueue
    ) -> float:
        """Return the maximum queue wait for the kind of a request, in ms."""
        if ticket.kind is _Kind.SERVICE:
            return self._cfg.service_wait * team_queue.mean_slot_ms
        return self._cfg.batch_wait * team_queue.mean_slot_ms

    def _longest_queue_by_weight(self) -> _team_queue.TeamQueue:
        """Return the queue with the most requests per unit of weight."""
        team_queues = [
            team_queue
            for nonempty in self._nonempty.values()
            for team_queue in nonempty.values()
        ]
        return max(team_queues, key=lambda q: len(q) / q.weight)

    def _kinds_by_shortfall(self) -> tuple[_Kind, _Kind]:
        """Return the kinds, the one furthest below its share first."""
        service = self._shares.of(_Kind.SERVICE)
        batch = self._shares.of(_Kind.BATCH)
        if service.in_use * batch.share <= batch.in_use * service.share:
            return (_Kind.SERVICE, _Kind.BATCH)
        return (_Kind.BATCH, _Kind.SERVICE)


def _load(team_queue: _team_queue.TeamQueue) -> float:
    """Return the slots in use per unit of weight."""
    return team_queue.in_use / team_queue.weight
