"""Define the messages of the idempotency service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainKeys:
    """Request a reply when no request with a key is in progress."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FlushKeys:
    """Request a reply when the outcomes of all keys are stored."""
