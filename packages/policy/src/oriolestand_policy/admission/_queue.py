"""Define the queue of requests that wait for a slot of a pool."""

import abc
import dataclasses

import oriolestand_core as core
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Hold what decisions need to know of one request.

    ``arrived`` and ``deadline`` are on the daemon's monotonic clock; a
    higher ``priority`` is more urgent within a team; ``hops`` is 1 for a
    request that a peer forwarded.
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
    """Order the requests that wait for slots of one pool.

    It counts the slots in use, so that it can share them between teams and
    kinds.
    """

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: core.Millis) -> list[Ticket]:
        """Add a request; return the requests to refuse, maybe itself."""

    @abc.abstractmethod
    def take(self, now: core.Millis, free: int) -> Ticket | None:
        """Remove and return the request to serve next.

        :param free: slots that are free, at least one.
        """

    @abc.abstractmethod
    def put_back(self, ticket: Ticket) -> None:
        """Put a request back to the head of its line."""

    @abc.abstractmethod
    def expire(self, now: core.Millis) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""

    @abc.abstractmethod
    def cancel(self, ticket_id: str) -> bool:
        """Remove a request; return whether it was waiting."""

    @abc.abstractmethod
    def set_limit(self, limit: int) -> None:
        """Change the number of requests that may wait."""

    @abc.abstractmethod
    def set_weights(self, weights: tuple[tuple[str, int], ...]) -> None:
        """Change the weights of teams."""

    @abc.abstractmethod
    def set_total(self, total: int) -> None:
        """Set the number of slots that this daemon holds in the pool."""

    @abc.abstractmethod
    def has_waiting(self, kind: tables.Kind) -> bool:
        """Return whether a new request of a kind has to wait in line."""

    @abc.abstractmethod
    def may_start(self, kind: tables.Kind, slots: int, free: int) -> bool:
        """Return whether a kind may take slots now."""

    @abc.abstractmethod
    def note_start(self, kind: tables.Kind, team: str, slots: int) -> None:
        """Count slots taken."""

    @abc.abstractmethod
    def note_end(
        self, kind: tables.Kind, team: str, slots: int, took_ms: float
    ) -> None:
        """Count slots given back after a time."""

    @abc.abstractmethod
    def may_reserve(self, team: str, slots: int, free: int) -> bool:
        """Return whether a batch task of a team may take slots now."""

    @abc.abstractmethod
    def has_room_for_task(self, free: int) -> bool:
        """Return whether a task that found no place should try again."""

    @abc.abstractmethod
    def note_unmet(self, team: str, slots: int) -> None:
        """Count a batch task that found no place."""

    @abc.abstractmethod
    def forget_unmet(self, team: str) -> None:
        """Keep no room for a team that may not start tasks now."""

    @abc.abstractmethod
    def tick(self, now: core.Millis) -> None:
        """Follow the demand."""

    @abc.abstractmethod
    def is_owed(self, kind: tables.Kind) -> bool:
        """Return whether a kind waits and has less than its share."""

    @abc.abstractmethod
    def is_entitled(self, kind: tables.Kind, team: str) -> bool:
        """Return whether a team, with what waits, is below its share."""

    @abc.abstractmethod
    def retry_after_ms(self, ticket: Ticket) -> int:
        """Estimate when a refused request would be admitted."""
