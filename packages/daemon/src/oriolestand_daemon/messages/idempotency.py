"""Define messages to the idempotency service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainKeys:
    """Ask for a reply when no keyed request is in progress."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FlushKeys:
    """Ask for a reply when the outcomes of all keys are recorded."""
