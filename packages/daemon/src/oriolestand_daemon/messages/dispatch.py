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
    """Take no forwarded work; reply when nothing is in flight."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetDispatchStatus:
    """Ask for the state of all pools, as ``dict``."""
