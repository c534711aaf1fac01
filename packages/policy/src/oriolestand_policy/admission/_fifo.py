"""Queues that do not share slots between teams and kinds."""

import collections

import oriolestand_core as core
from oriolestand_policy import tables
from oriolestand_policy.admission import _queue

DEFAULT_RETRY_AFTER_MS = 1_000


class UnsharedQueue(_queue.AdmissionQueue):
    """Base class of queues that give free slots to any kind and team."""

    def set_weights(self, weights: tuple[tuple[str, int], ...]) -> None:
        """Ignore the weights of teams."""

    def set_total_slots(self, total: int) -> None:
        """Ignore the number of slots, which are not shared out."""

    def has_waiting(self, kind: tables.Kind) -> bool:
        """Return whether any request is queued, whatever its kind."""
        return len(self) > 0

    def may_start(self, kind: tables.Kind, slots: int, free: int) -> bool:
        """Return whether enough slots are free, whatever the kind."""
        return free >= slots

    def record_start(self, kind: tables.Kind, team: str, slots: int) -> None:
        """Ignore slots taken, which are not counted."""

    def record_end(
        self, kind: tables.Kind, team: str, slots: int, held_ms: float
    ) -> None:
        """Ignore slots released, which are not counted."""

    def may_reserve(self, team: str, slots: int, free: int) -> bool:
        """Return whether enough slots are free, whatever the team."""
        return free >= slots

    def should_retry_task(self, free: int) -> bool:
        """Return False, as unmet demand is not recorded."""
        return False

    def record_unmet_demand(self, team: str, slots: int) -> None:
        """Ignore unmet demand of batch tasks."""

    def clear_unmet_demand(self, team: str) -> None:
        """Do nothing, as no unmet demand is recorded."""

    def tick(self, now: core.Millis) -> None:
        """Do nothing, as no demand is estimated."""

    def is_underserved(self, kind: tables.Kind) -> bool:
        """Return False: there are no shares."""
        return False

    def is_team_below_share(self, kind: tables.Kind, team: str) -> bool:
        """Return False: there are no shares."""
        return False

    def retry_after_ms(self, ticket: _queue.Ticket) -> int:
        """Return a constant delay, as no wait is estimated."""
        return DEFAULT_RETRY_AFTER_MS


class FifoQueue(UnsharedQueue):
    """Queue of bounded length, served in order of arrival."""

    def __init__(self, limit: int) -> None:
        self._max_length = limit
        self._tickets: collections.OrderedDict[str, _queue.Ticket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._tickets)

    def offer(
        self, ticket: _queue.Ticket, now: core.Millis
    ) -> list[_queue.Ticket]:
        """Queue a request, or shed it if the queue is full."""
        if len(self._tickets) >= self._max_length:
            return [ticket]
        self._tickets[ticket.id] = ticket
        return []

    def take(self, now: core.Millis, free: int) -> _queue.Ticket | None:
        """Remove and return the oldest request."""
        if not self._tickets:
            return None
        return self._tickets.popitem(last=False)[1]

    def put_back(self, ticket: _queue.Ticket) -> None:
        """Return a request to the head of the queue."""
        self._tickets[ticket.id] = ticket
        self._tickets.move_to_end(ticket.id, last=False)

    def expire(self, now: core.Millis) -> list[_queue.Ticket]:
        """Remove and return the requests whose deadline has passed."""
        expired = [t for t in self._tickets.values() if t.deadline <= now]
        for ticket in expired:
            del self._tickets[ticket.id]
        return expired

    def cancel(self, ticket_id: str) -> bool:
        """Remove a request; return whether it was queued."""
        return self._tickets.pop(ticket_id, None) is not None

    def set_max_length(self, limit: int) -> None:
        """Set the maximum length; requests already queued stay."""
        self._max_length = limit
