"""Define the messages about the life of the daemon."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownStarted:
    """Announce that the daemon is about to end; a state event."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseCell:
    """Ask the cell service to hand over; replies when that is stored."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainConnections:
    """Ask the frontend to end; replies when no connection is left."""
