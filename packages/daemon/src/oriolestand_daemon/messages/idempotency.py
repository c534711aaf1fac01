"""Define the messages of the idempotency service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainKeys:
    """Request to wait until no request with a key is in progress."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FlushKeys:
    """Request to wait until the outcomes of all keys are stored."""
