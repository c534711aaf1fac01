"""Share the slots of a pool between teams and kinds, and shed early."""

import heapq

import oriolestand_core as core
from oriolestand_policy import tables
from oriolestand_policy.admission import _line
from oriolestand_policy.admission import _queue
from oriolestand_policy.admission import _shares

MIN_LINE = 2
"""Requests that a team may always have waiting: with a limit of one, a
retry or a burst of two is shed although the next slot is near."""
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000

_Kind = tables.Kind


class FairQueue(_queue.AdmissionQueue):
    """Serve the kind, then the team, with the fewest slots for its weight.

    Slots in use measure a share without trust in declared run times. A
    request whose expected wait is beyond its deadline or the bound of its
    kind is shed on arrival.
    """

    def __init__(
        self, limit: int, cfg: _shares.ShareConfig | None = None
    ) -> None:
        self._limit = limit
        self._cfg = cfg or _shares.ShareConfig()
        self._shares = _shares.KindShares(self._cfg)
        self._weights: dict[str, int] = {}
        self._lines: dict[tuple[_Kind, str], _line.Line] = {}
        self._busy: dict[_Kind, dict[str, _line.Line]] = {
            _Kind.SERVICE: {},
            _Kind.BATCH: {},
        }
        self._tickets: dict[str, _queue.Ticket] = {}
        self._due: list[tuple[int, str]] = []
        self._unmet: dict[str, int] = {}
        self._now = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    def set_limit(self, limit: int) -> None:
        """Change the limit; requests that wait already stay."""
        self._limit = limit

    def set_weights(self, weights: tuple[tuple[str, int], ...]) -> None:
        """Change the weights of teams; others have weight 1."""
        self._weights = dict(weights)
        for (_, team), line in self._lines.items():
            line.weight = max(1, self._weights.get(team, 1))

    def set_total(self, total: int) -> None:
        """Set the number of slots to share."""
        self._shares.set_total(total)

    def offer(
        self, ticket: _queue.Ticket, now: core.Millis
    ) -> list[_queue.Ticket]:
        """Add a request, or shed it or a less urgent one of its team."""
        line = self._line_of(ticket.kind, ticket.team)
        wait = self._wait_ms(ticket, line, line.ahead_of(ticket.priority))
        if now + wait + line.mean_ms > ticket.deadline:
            return [ticket]
        shed: list[_queue.Ticket] = []
        if len(line) >= MIN_LINE and (
            self._wait_ms(ticket, line, len(line)) > self._bound(ticket, line)
        ):
            worst = line.worst()
            if worst.priority >= ticket.priority:
                return [ticket]
            shed.append(worst)
        elif len(self._tickets) >= self._limit:
            longest = self._longest()
            # The team with the longest line pays for a full queue.
            worst = longest.worst()
            if longest is line and worst.priority >= ticket.priority:
                return [ticket]
            shed.append(worst)
        for other in shed:
            self._remove(other)
        self._add(ticket, line)
        return shed

    def take(self, now: core.Millis, free: int) -> _queue.Ticket | None:
        """Return the request of the team with the fewest slots."""
        for kind in self._by_claim():
            busy = self._busy[kind]
            if not busy or not self._shares.may_start(kind, 1, free):
                continue
            line = min(busy.values(), key=_load)
            if kind is _Kind.BATCH and self._is_task_first(line.load):
                continue
            ticket = line.head()
            self._remove(ticket)
            return ticket
        return None

    def put_back(self, ticket: _queue.Ticket) -> None:
        """Put a request back to the head of its line."""
        line = self._line_of(ticket.kind, ticket.team)
        self._add(ticket, line, at_head=True)

    def expire(self, now: core.Millis) -> list[_queue.Ticket]:
        """Return the requests whose deadline has passed."""
        late = []
        while self._due and self._due[0][0] <= now:
            ticket = self._tickets.get(heapq.heappop(self._due)[1])
            if ticket is not None and ticket.deadline <= now:
                self._remove(ticket)
                late.append(ticket)
        return late

    def cancel(self, ticket_id: str) -> bool:
        """Remove a request."""
        ticket = self._tickets.get(ticket_id)
        if ticket is None:
            return False
        self._remove(ticket)
        return True

    def has_waiting(self, kind: _Kind) -> bool:
        """Return whether a request of the kind, or a task, waits."""
        if self._unmet and kind is _Kind.BATCH:
            return True
        return bool(self._busy[kind])

    def may_start(self, kind: _Kind, slots: int, free: int) -> bool:
        """Return whether a kind may take slots now."""
        return self._shares.may_start(kind, slots, free)

    def note_start(self, kind: _Kind, team: str, slots: int) -> None:
        """Count slots taken by a team."""
        self._shares.of(kind).in_use += slots
        self._line_of(kind, team).in_use += slots

    def note_end(
        self, kind: _Kind, team: str, slots: int, took_ms: float
    ) -> None:
        """Count slots given back by a team."""
        self._shares.of(kind).in_use -= slots
        line = self._line_of(kind, team)
        line.in_use -= slots
        if took_ms > 0:
            line.observe(took_ms)

    def may_reserve(self, team: str, slots: int, free: int) -> bool:
        """Return whether a batch task of a team may take slots now.

        A team leaves room for one with fewer slots for its weight that
        found no place lately.
        """
        if not self._shares.may_start(_Kind.BATCH, slots, free):
            return False
        load = self._line_of(_Kind.BATCH, team).load
        return not self._is_task_first(load, team)

    def has_room_for_task(self, free: int) -> bool:
        """Return whether a task that found no place should try again."""
        return bool(self._unmet) and self._shares.may_start(
            _Kind.BATCH, 1, free
        )

    def note_unmet(self, team: str, slots: int) -> None:
        """Count a batch task that found no place as demand."""
        self._shares.note_unmet(_Kind.BATCH, slots)
        self._unmet[team] = self._now + _shares.UNMET_MEMORY_MS

    def forget_unmet(self, team: str) -> None:
        """Keep no room for a team that may not start tasks now."""
        self._unmet.pop(team, None)

    def tick(self, now: core.Millis) -> None:
        """Follow the demand."""
        self._now = now
        self._shares.tick(now)
        if self._unmet:
            self._unmet = {t: u for t, u in self._unmet.items() if u > now}

    def is_owed(self, kind: _Kind) -> bool:
        """Return whether a kind waits and has less than its share."""
        return self._shares.is_owed(kind)

    def is_entitled(self, kind: _Kind, team: str) -> bool:
        """Return whether a team, with what waits, is below its share.

        The slots of its kind are divided among the teams that use or want
        some now.
        """
        own = self._line_of(kind, team)
        weights = own.weight
        for (other_kind, name), line in self._lines.items():
            if other_kind is kind and name != team and line.is_active:
                weights += line.weight
        slots = self._shares.of(kind).share * self._shares.total
        return own.in_use + len(own) < slots * own.weight / weights

    def retry_after_ms(self, ticket: _queue.Ticket) -> int:
        """Return the time in which the team's line is served."""
        line = self._line_of(ticket.kind, ticket.team)
        wait = self._wait_ms(ticket, line, len(line) + 1)
        return int(max(MIN_RETRY_AFTER_MS, min(wait, MAX_RETRY_AFTER_MS)))

    def _is_task_first(self, load: float, team: str = '') -> bool:
        """Return whether a team without a place has less than a load."""
        return any(
            other != team and self._line_of(_Kind.BATCH, other).load < load
            for other in self._unmet
        )

    def _line_of(self, kind: _Kind, team: str) -> _line.Line:
        """Return the line of a team and kind."""
        line = self._lines.get((kind, team))
        if line is None:
            weight = max(1, self._weights.get(team, 1))
            line = self._lines[kind, team] = _line.Line(weight)
        return line

    def _add(
        self, ticket: _queue.Ticket, line: _line.Line, at_head: bool = False
    ) -> None:
        """Let a request wait."""
        line.add(ticket, at_head)
        self._busy[ticket.kind][ticket.team] = line
        self._tickets[ticket.id] = ticket
        self._shares.of(ticket.kind).waiting += 1
        heapq.heappush(self._due, (ticket.deadline, ticket.id))
        if len(self._due) > 64 + 4 * len(self._tickets):
            # Most waits end long before the deadline; drop what they left.
            self._due = [(t.deadline, t.id) for t in self._tickets.values()]
            heapq.heapify(self._due)

    def _remove(self, ticket: _queue.Ticket) -> None:
        """Let a request wait no longer."""
        line = self._lines[ticket.kind, ticket.team]
        line.remove(ticket)
        if not len(line):
            del self._busy[ticket.kind][ticket.team]
        del self._tickets[ticket.id]
        self._shares.of(ticket.kind).waiting -= 1

    def _wait_ms(
        self, ticket: _queue.Ticket, line: _line.Line, ahead: int
    ) -> float:
        """Estimate the wait behind a number of requests of a team."""
        share = self._shares.of(ticket.kind).share * self._shares.total
        rivals = max(1, len(self._busy[ticket.kind]))
        slots = max(1.0, line.in_use, share / rivals)
        return ahead * line.mean_ms / slots

    def _bound(self, ticket: _queue.Ticket, line: _line.Line) -> float:
        """Return the longest wait that a kind accepts."""
        if ticket.kind is _Kind.SERVICE:
            return self._cfg.service_wait * line.mean_ms
        return self._cfg.batch_wait * line.mean_ms

    def _longest(self) -> _line.Line:
        """Return the line with the most requests for its weight."""
        lines = [x for busy in self._busy.values() for x in busy.values()]
        return max(lines, key=lambda x: len(x) / x.weight)

    def _by_claim(self) -> tuple[_Kind, _Kind]:
        """Return the kinds, the one furthest below its share first."""
        service = self._shares.of(_Kind.SERVICE)
        batch = self._shares.of(_Kind.BATCH)
        if service.in_use * batch.share <= batch.in_use * service.share:
            return (_Kind.SERVICE, _Kind.BATCH)
        return (_Kind.BATCH, _Kind.SERVICE)


def _load(line: _line.Line) -> float:
    """Return the slots in use for each unit of weight."""
    return line.in_use / line.weight
