"""Messages about the lifecycle of the daemon."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownStarted:
    """State event: the daemon is shutting down."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseCell:
    """Request to release the cell; replies when it is stored or has failed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainConnections:
    """Request to drain the frontend; replies when no connection is left."""
