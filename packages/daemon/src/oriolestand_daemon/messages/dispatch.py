"""Define the messages and events of the dispatch service."""

import dataclasses

from oriolestand_policy import dispatching


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFinished:
    """Report how an attempt to serve a request ended."""

    ticket_id: str
    outcome: dispatching.Outcome


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetSlotsInUse:
    """Request the slots in use; replies ``dict[address, int]``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequests:
    """Request to wait until no request is left and no slot is held."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetDispatchStatus:
    """Request the state of all pools; the reply is a ``dict``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReserveSlots:
    """Request slots for a batch task; replies ``Reservation | None``.

    If ``address`` is set, the slots must be at that upstream.
    """

    key: str
    pool: str
    slots: int
    team: str
    priority: int
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseReservation:
    """Release the slots of a batch task that has definitely stopped."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvictionRequested:
    """Event: a task should be evicted to free its slots."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleRequested:
    """Event: a task should be throttled, or run at full speed again."""

    key: str
    is_on: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskSlotsAvailable:
    """Event: slots may be available for tasks that got none before."""

    pool: str
