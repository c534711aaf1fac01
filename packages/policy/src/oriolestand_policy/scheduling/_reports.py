"""Worker reports and replies, as the scheduler receives them."""

import dataclasses
import enum

from oriolestand_policy.scheduling import _jobs

UNKNOWN_PERCENT = -1
"""Progress of a run whose progress could not be read."""


class StartOutcome(enum.Enum):
    """Outcome of a start order.

    IN_DOUBT: it may still take effect. WITHDRAWN: it was not sent, as it was
    not wanted any more.
    """

    STARTED = 'started'
    NO_ROOM = 'no_room'
    REFUSED = 'refused'
    UNHEALTHY = 'unhealthy'
    IN_DOUBT = 'in_doubt'
    WITHDRAWN = 'withdrawn'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """State of a run that a worker lists.

    ``percent`` is the progress or ``UNKNOWN_PERCENT``. ``measured`` is the
    tail latency in milliseconds for a service task, and otherwise the
    processor use in thousandths of a core.
    """

    key: _jobs.TaskKey
    number: int
    checkpoint: str
    percent: int
    measured: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndReport:
    """End of a run; ``sequence`` numbers the ends reported by a worker.

    ``number`` is 0, which no run has, if it could not be read.
    """

    sequence: int
    key: _jobs.TaskKey
    number: int
    kind: _jobs.EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """Report of a worker in reply to a poll.

    ``clock_ms`` is the worker's clock. ``process_start_ms`` is when the
    worker process started, 0 if not reported. ``has_more_ends`` is whether
    there may be later ends that ``ended`` does not list. ``last_sequence`` is
    the number of the last end listed, if it is not in ``ended`` because it
    could not be read. ``unreadable_ends`` is how many such ends are listed.
    ``unreadable_runs`` is how many runs are not in ``running``, as they could
    not be read.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    process_start_ms: int = 0
    has_more_ends: bool = False
    last_sequence: int = 0
    unreadable_ends: int = 0
    unreadable_runs: int = 0
