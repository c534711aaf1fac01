"""Define the messages and events of a daemon's shutdown."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownStarted:
    """Event: this daemon is leaving and accepts no new work from peers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseListener:
    """Request to the frontend to stop accepting connections."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseConnections:
    """Request to the frontend to close connections after pending output.

    The reply is sent when no connection is left.
    """
