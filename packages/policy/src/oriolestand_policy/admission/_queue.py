"""Define the interface of queues for requests that wait for a slot."""

import abc
import dataclasses

import oriolestand_core as core
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Attributes of a request that scheduling decisions depend on.

    ``arrived`` and ``deadline`` are milliseconds of the daemon's monotonic
    clock. A higher ``priority`` is more urgent within a team. ``hops`` is 1
    for a request that a peer forwarded.
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
    """Queue of the requests that wait for slots of one pool.

    It also counts the slots in use, so that it can share them between
    kinds of work and teams.
    """

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of queued requests."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: core.Millis) -> list[Ticket]:
        """Queue a request; return the requests shed, which may include it."""

    @abc.abstractmethod
    def take(self, now: core.Millis, free: int) -> Ticket | None:
        """Remove and return the next request to serve, or None.

        :param free: number of free slots, at least one.
        """

    @abc.abstractmethod
    def put_back(self, ticket: Ticket) -> None:
        """Return a request to the head of its queue."""

    @abc.abstractmethod
    def expire(self, now: core.Millis) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""

    @abc.abstractmethod
    def cancel(self, ticket_id: str) -> bool:
        """Remove a request; return whether it was queued."""

    @abc.abstractmethod
    def set_max_length(self, limit: int) -> None:
        """Set the maximum number of queued requests."""

    @abc.abstractmethod
    def set_weights(self, weights: tuple[tuple[str, int], ...]) -> None:
        """Set the weights of teams."""

    @abc.abstractmethod
    def set_total_slots(self, total: int) -> None:
        """Set the number of slots that this daemon holds in the pool."""

    @abc.abstractmethod
    def has_waiting(self, kind: tables.Kind) -> bool:
        """Return whether a new request of a kind must queue behind others."""

    @abc.abstractmethod
    def may_start(self, kind: tables.Kind, slots: int, free: int) -> bool:
        """Return whether work of a kind may take that many slots now."""

    @abc.abstractmethod
    def record_start(self, kind: tables.Kind, team: str, slots: int) -> None:
        """Record that a team took slots."""

    @abc.abstractmethod
    def record_end(
        self, kind: tables.Kind, team: str, slots: int, held_ms: float
    ) -> None:
        """Record that a team released slots.

        :param held_ms: time for which they were held; 0 leaves the mean slot
            time of the team unchanged.
        """

    @abc.abstractmethod
    def may_reserve(self, team: str, slots: int, free: int) -> bool:
        """Return whether a batch task of a team may take slots now."""

    @abc.abstractmethod
    def should_retry_task(self, free: int) -> bool:
        """Return whether batch tasks with unmet demand should retry now."""

    @abc.abstractmethod
    def record_unmet_demand(self, team: str, slots: int) -> None:
        """Record the demand of a batch task that could not be placed."""

    @abc.abstractmethod
    def clear_unmet_demand(self, team: str) -> None:
        """Drop the unmet demand of a team, as its tasks may not start now."""

    @abc.abstractmethod
    def tick(self, now: core.Millis) -> None:
        """Update the demand estimates and expire unmet demand."""

    @abc.abstractmethod
    def is_underserved(self, kind: tables.Kind) -> bool:
        """Return whether a kind has queued work and less than its share."""

    @abc.abstractmethod
    def is_team_below_share(self, kind: tables.Kind, team: str) -> bool:
        """Return whether a team is below its share, queued work included."""

    @abc.abstractmethod
    def retry_after_ms(self, ticket: Ticket) -> int:
        """Return the time in ms after which to retry a refused request."""
