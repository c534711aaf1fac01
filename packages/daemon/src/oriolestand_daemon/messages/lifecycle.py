"""Define messages and events of the life of a daemon."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownStarted:
    """Announce that this daemon takes no new work from peers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseListener:
    """Ask the frontend to accept no connections any more."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseConnections:
    """Ask the frontend to close connections once their bytes are sent.

    The reply comes when no connection is left.
    """
