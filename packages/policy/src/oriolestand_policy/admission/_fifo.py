"""Define queues that share nothing between teams and kinds."""

import collections

import oriolestand_core as core
from oriolestand_policy import tables
from oriolestand_policy.admission import _queue

DEFAULT_RETRY_AFTER_MS = 1_000


class UnsharedQueue(_queue.AdmissionQueue):
    """Let whoever comes first have the free slots."""

    def set_weights(self, weights: tuple[tuple[str, int], ...]) -> None:
        """Change the weights of teams."""

    def set_total(self, total: int) -> None:
        """Set the number of slots that this daemon holds in the pool."""

    def has_waiting(self, kind: tables.Kind) -> bool:
        """Return whether a new request of a kind has to wait in line."""
        return len(self) > 0

    def may_start(self, kind: tables.Kind, slots: int, free: int) -> bool:
        """Return whether a kind may take slots now."""
        return free >= slots

    def note_start(self, kind: tables.Kind, team: str, slots: int) -> None:
        """Count slots taken."""

    def note_end(
        self, kind: tables.Kind, team: str, slots: int, took_ms: float
    ) -> None:
        """Count slots given back after a time."""

    def may_reserve(self, team: str, slots: int, free: int) -> bool:
        """Return whether a batch task of a team may take slots now."""
        return free >= slots

    def has_room_for_task(self, free: int) -> bool:
        """Return False: tasks try again by themselves."""
        return False

    def note_unmet(self, team: str, slots: int) -> None:
        """Count a batch task that found no place."""

    def forget_unmet(self, team: str) -> None:
        """Keep no room."""

    def tick(self, now: core.Millis) -> None:
        """Follow the demand."""

    def is_owed(self, kind: tables.Kind) -> bool:
        """Return whether a kind waits and has less than its share."""
        return False

    def is_entitled(self, kind: tables.Kind, team: str) -> bool:
        """Return False: there are no shares."""
        return False

    def retry_after_ms(self, ticket: _queue.Ticket) -> int:
        """Estimate when a refused request would be admitted."""
        return DEFAULT_RETRY_AFTER_MS


class FifoQueue(UnsharedQueue):
    """Serve in order of arrival, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._tickets: collections.OrderedDict[str, _queue.Ticket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    def offer(
        self, ticket: _queue.Ticket, now: core.Millis
    ) -> list[_queue.Ticket]:
        """Add a request unless the queue is full."""
        if len(self._tickets) >= self._limit:
            return [ticket]
        self._tickets[ticket.id] = ticket
        return []

    def take(self, now: core.Millis, free: int) -> _queue.Ticket | None:
        """Return the oldest request."""
        if not self._tickets:
            return None
        return self._tickets.popitem(last=False)[1]

    def put_back(self, ticket: _queue.Ticket) -> None:
        """Put a request back to the head."""
        self._tickets[ticket.id] = ticket
        self._tickets.move_to_end(ticket.id, last=False)

    def expire(self, now: core.Millis) -> list[_queue.Ticket]:
        """Return the requests whose deadline has passed."""
        late = [t for t in self._tickets.values() if t.deadline <= now]
        for ticket in late:
            del self._tickets[ticket.id]
        return late

    def cancel(self, ticket_id: str) -> bool:
        """Remove a request."""
        return self._tickets.pop(ticket_id, None) is not None

    def set_limit(self, limit: int) -> None:
        """Change the limit; requests that wait already stay."""
        self._limit = limit
