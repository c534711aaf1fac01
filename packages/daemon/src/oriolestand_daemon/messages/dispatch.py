"""Define messages to the dispatch service."""

import dataclasses

from oriolestand_policy import dispatching


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFinished:
    """Report how an attempt to serve a request ended."""

    ticket_id: str
    outcome: dispatching.Outcome


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetSlotsInUse:
    """Ask for the slots in use, as ``dict[address, int]``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequests:
    """Ask for a reply when no request is left and no slot is held."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetDispatchStatus:
    """Ask for the state of all pools, as ``dict``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReserveSlots:
    """Ask for slots for a batch task, as ``Reservation | None``.

    With ``address`` set, only slots of that upstream will do.
    """

    key: str
    pool: str
    slots: int
    team: str
    priority: int
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnreserveSlots:
    """Give the slots of a batch task back; it has stopped for certain."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvictionRequested:
    """Announce that a task should be evicted to free its slots."""

    key: str
