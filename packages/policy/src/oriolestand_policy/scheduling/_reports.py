"""Define what workers answer, in the terms of the scheduler."""

import dataclasses
import enum

from oriolestand_policy.scheduling import _jobs


class StartOutcome(enum.Enum):
    """Name how a worker answered an order to start a task."""

    STARTED = 'started'
    NO_ROOM = 'no_room'
    REFUSED = 'refused'
    UNHEALTHY = 'unhealthy'
    IN_DOUBT = 'in_doubt'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """Hold what a worker says of a run that is there.

    ``percent`` is the progress. ``measured`` is the tail of the response
    times in milliseconds for a service task, else the cpu in use.
    """

    key: _jobs.TaskKey
    number: int
    checkpoint: str
    percent: int
    measured: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndReport:
    """Hold the end of a run; ``sequence`` counts the ends of a worker."""

    sequence: int
    key: _jobs.TaskKey
    number: int
    kind: _jobs.EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Look:
    """Hold all that a worker lists, its clock and when its life began.

    ``born_ms`` of 0 means that the worker did not say.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    born_ms: int = 0
