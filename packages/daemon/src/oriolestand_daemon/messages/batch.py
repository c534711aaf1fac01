"""Define messages to the batch service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainTasks:
    """Ask to hand all tasks over; reply when no task is controlled here."""
