"""Divide the slots of a pool between teams and kinds; shed early."""

import heapq

import oriolestand_core as core
from oriolestand_policy import tables
from oriolestand_policy.admission import _queue
from oriolestand_policy.admission import _shares
from oriolestand_policy.admission import _team_queue

MIN_QUEUE_LENGTH = 2
"""Requests that a team may always queue. With a minimum of one, a retry or a
burst of two would be shed although a slot is about to become free."""
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000

_Kind = tables.Kind


class FairQueue(_queue.AdmissionQueue):
    """Weighted fair queue over kinds of work and teams.

    It serves the kind furthest below its share, then the team with the
    fewest slots in use per unit of weight. Counting slots in use makes the
    shares independent of declared run times. A request whose expected wait
    exceeds its deadline or the bound of its kind is shed on arrival.
    """

    def __init__(
        self, limit: int, cfg: _shares.ShareConfig | None = None
    ) -> None:
        self._limit = limit
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
        self._unmet: dict[str, int] = {}
        self._now = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._tickets)

    def set_limit(self, limit: int) -> None:
        """Set the maximum length; requests already queued stay."""
        self._limit = limit

    def set_weights(self, weights: tuple[tuple[str, int], ...]) -> None:
        """Set the weights of teams; unlisted teams have weight 1."""
        self._weights = dict(weights)
        for (_, team), team_queue in self._team_queues.items():
            team_queue.weight = max(1, self._weights.get(team, 1))

    def set_total_slots(self, total: int) -> None:
        """Set the number of slots to divide."""
        self._shares.set_total_slots(total)

    def offer(
        self, ticket: _queue.Ticket, now: core.Millis
    ) -> list[_queue.Ticket]:
        """Queue a request; return the requests shed to make space for it.

        That is the request itself, one of its team that is less urgent, or,
        when the queue is full, one of the team with the longest queue.
        """
        team_queue = self._team_queue_of(ticket.kind, ticket.team)
        wait = self._expected_wait_ms(
            ticket, team_queue, team_queue.count_ahead_of(ticket.priority)
        )
        if now + wait + team_queue.mean_slot_ms > ticket.deadline:
            return [ticket]
        shed: list[_queue.Ticket] = []
        if len(team_queue) >= MIN_QUEUE_LENGTH and (
            self._expected_wait_ms(ticket, team_queue, len(team_queue))
            > self._max_wait_ms(ticket, team_queue)
        ):
            candidate = team_queue.shed_candidate()
            if candidate.priority >= ticket.priority:
                return [ticket]
            shed.append(candidate)
        elif len(self._tickets) >= self._limit:
            longest = self._longest_queue()
            # When the queue is full, shed from the team with the longest
            # queue.
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
        for kind in self._kinds_by_need():
            nonempty = self._nonempty[kind]
            if not nonempty or not self._shares.may_start(kind, 1, free):
                continue
            team_queue = min(nonempty.values(), key=_load)
            if kind is _Kind.BATCH and self._must_yield_to_task(
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
        """Return whether requests of a kind, or batch tasks for it, wait."""
        if self._unmet and kind is _Kind.BATCH:
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
        self, kind: _Kind, team: str, slots: int, took_ms: float
    ) -> None:
        """Record that a team released slots after ``took_ms``."""
        self._shares.of(kind).in_use -= slots
        team_queue = self._team_queue_of(kind, team)
        team_queue.in_use -= slots
        if took_ms > 0:
            team_queue.observe(took_ms)

    def may_reserve(self, team: str, slots: int, free: int) -> bool:
        """Return whether a batch task of a team may take slots now.

        A team yields to another with fewer slots per unit of weight whose
        task could not be placed recently.
        """
        if not self._shares.may_start(_Kind.BATCH, slots, free):
            return False
        load = self._team_queue_of(_Kind.BATCH, team).load
        return not self._must_yield_to_task(load, team)

    def has_slot_for_task(self, free: int) -> bool:
        """Return whether a batch task with unmet demand should retry."""
        return bool(self._unmet) and self._shares.may_start(
            _Kind.BATCH, 1, free
        )

    def record_unmet(self, team: str, slots: int) -> None:
        """Record the demand of a batch task that could not be placed."""
        self._shares.record_unmet(_Kind.BATCH, slots)
        self._unmet[team] = self._now + _shares.UNMET_TTL_MS

    def clear_unmet(self, team: str) -> None:
        """Drop the unmet demand of a team that may not start tasks now."""
        self._unmet.pop(team, None)

    def tick(self, now: core.Millis) -> None:
        """Update the demand estimates and expire unmet demand."""
        self._now = now
        self._shares.tick(now)
        if self._unmet:
            self._unmet = {t: u for t, u in self._unmet.items() if u > now}

    def is_underserved(self, kind: _Kind) -> bool:
        """Return whether a kind has queued work and less than its share."""
        return self._shares.is_underserved(kind)

    def is_entitled(self, kind: _Kind, team: str) -> bool:
        """Return whether a team, with its queued requests, is below its share.

        The slots of its kind are divided among the teams that hold or wait
        for slots now.
        """
        own = self._team_queue_of(kind, team)
        weights = own.weight
        for (other_kind, name), team_queue in self._team_queues.items():
            if other_kind is kind and name != team and team_queue.is_active:
                weights += team_queue.weight
        slots = self._shares.of(kind).share * self._shares.total
        return own.in_use + len(own) < slots * own.weight / weights

    def retry_after_ms(self, ticket: _queue.Ticket) -> int:
        """Return the time in ms in which the team's queue should drain."""
        team_queue = self._team_queue_of(ticket.kind, ticket.team)
        wait = self._expected_wait_ms(ticket, team_queue, len(team_queue) + 1)
        return int(max(MIN_RETRY_AFTER_MS, min(wait, MAX_RETRY_AFTER_MS)))

    def _must_yield_to_task(self, load: float, team: str = '') -> bool:
        """Return whether another team with unmet demand has a lower load."""
        return any(
            other != team
            and self._team_queue_of(_Kind.BATCH, other).load < load
            for other in self._unmet
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
            # Most requests leave the queue long before their deadline;
            # rebuild the heap without their entries.
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
        """Estimate the wait in ms behind a number of requests of a team."""
        share = self._shares.of(ticket.kind).share * self._shares.total
        competing_teams = max(1, len(self._nonempty[ticket.kind]))
        slots = max(1.0, team_queue.in_use, share / competing_teams)
        return ahead * team_queue.mean_slot_ms / slots

    def _max_wait_ms(
        self, ticket: _queue.Ticket, team_queue: _team_queue.TeamQueue
    ) -> float:
        """Return the maximum time in the queue for a kind, in ms."""
        if ticket.kind is _Kind.SERVICE:
            return self._cfg.service_wait * team_queue.mean_slot_ms
        return self._cfg.batch_wait * team_queue.mean_slot_ms

    def _longest_queue(self) -> _team_queue.TeamQueue:
        """Return the queue with the most requests per unit of weight."""
        team_queues = [
            x
            for nonempty in self._nonempty.values()
            for x in nonempty.values()
        ]
        return max(team_queues, key=lambda x: len(x) / x.weight)

    def _kinds_by_need(self) -> tuple[_Kind, _Kind]:
        """Return the kinds, the one furthest below its share first."""
        service = self._shares.of(_Kind.SERVICE)
        batch = self._shares.of(_Kind.BATCH)
        if service.in_use * batch.share <= batch.in_use * service.share:
            return (_Kind.SERVICE, _Kind.BATCH)
        return (_Kind.BATCH, _Kind.SERVICE)


def _load(team_queue: _team_queue.TeamQueue) -> float:
    """Return the slots in use per unit of weight."""
    return team_queue.in_use / team_queue.weight
