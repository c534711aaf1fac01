"""Define the queue of requests that wait for a slot of a pool."""

import abc
import collections
import dataclasses

import oriolestand_core as core
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Hold what decisions need to know of one request.

    ``arrived`` and ``deadline`` are on the daemon's monotonic clock;
    ``hops`` is 1 for a request that a peer forwarded.
    """

    id: str
    pool: str
    team: str
    kind: tables.Kind
    priority: int
    arrived: core.Millis
    deadline: core.Millis
    hops: int = 0
    safe: bool = False
    body_is_empty: bool = True


class AdmissionQueue(abc.ABC):
    """Order the requests that wait for slots of one pool."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: core.Millis) -> list[Ticket]:
        """Add a request; return the requests to refuse, maybe itself."""

    @abc.abstractmethod
    def take(self, now: core.Millis) -> Ticket | None:
        """Remove and return the request to serve next."""

    @abc.abstractmethod
    def expire(self, now: core.Millis) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""

    @abc.abstractmethod
    def cancel(self, ticket_id: str) -> bool:
        """Remove a request; return whether it was waiting."""


class FifoQueue(AdmissionQueue):
    """Serve in order of arrival, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._tickets: collections.OrderedDict[str, Ticket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    def offer(self, ticket: Ticket, now: core.Millis) -> list[Ticket]:
        """Add a request unless the queue is full."""
        if len(self._tickets) >= self._limit:
            return [ticket]
        self._tickets[ticket.id] = ticket
        return []

    def take(self, now: core.Millis) -> Ticket | None:
        """Return the oldest request."""
        if not self._tickets:
            return None
        return self._tickets.popitem(last=False)[1]

    def expire(self, now: core.Millis) -> list[Ticket]:
        """Return the requests whose deadline has passed."""
        late = [t for t in self._tickets.values() if t.deadline <= now]
        for ticket in late:
            del self._tickets[ticket.id]
        return late

    def cancel(self, ticket_id: str) -> bool:
        """Remove a request."""
        return self._tickets.pop(ticket_id, None) is not None
