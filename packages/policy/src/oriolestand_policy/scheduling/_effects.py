"""Effects that the scheduler returns for its driver to carry out."""

import dataclasses

from oriolestand_policy.scheduling import _jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartTask:
    """Start a run of a task on a worker.

    ``needs_record`` is whether the order may be sent only after the record
    of the job is written, and only if ``Scheduler.is_start_pending`` then.
    ``is_gang`` is whether it is one of the starts of a gang, which have the
    same run number and follow each other.
    """

    worker: str
    key: _jobs.TaskKey
    run: int
    payload: str
    checkpoint: str
    needs_record: bool = False
    is_gang: bool = False


REPEATED_STOP = 'repeat'
"""Reason of a stop that was ordered before and not answered."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawStart:
    """Do not send the order to start a run if that is not sent yet.

    The run has been dropped, as its worker has restarted or is lost.
    """

    worker: str
    key: _jobs.TaskKey
    run: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTask:
    """Stop a run of a task on a worker."""

    worker: str
    key: _jobs.TaskKey
    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceTask:
    """Limit a run to a percentage of its full speed."""

    worker: str
    key: _jobs.TaskKey
    run: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PollWorkerAgain:
    """Poll a worker at once, although a poll of it may be open.

    Its entry shows a restart, and the former incarnation answers no poll.
    """

    worker: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SaveJob:
    """Write the progress of a job to the store."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogEvent:
    """Log a scheduling event; ``event`` is its name."""

    event: str
    job: str
    values: dict[str, object]


Effect = (
    StartTask
    | WithdrawStart
    | StopTask
    | PaceTask
    | PollWorkerAgain
    | SaveJob
    | LogEvent
)
