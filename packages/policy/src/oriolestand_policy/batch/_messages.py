"""Define what the life cycle of a task is told."""

import dataclasses
import enum

from oriolestand_policy.batch import _row


class RunStatus(enum.Enum):
    """Name what a worker says about one attempt of a task.

    ``expired`` is the refusal of a start that arrived after the end of its
    window; ``unknown`` means that the worker has never seen the attempt.
    """

    RUNNING = 'running'
    STOPPED = 'stopped'
    FINISHED = 'finished'
    FAILED = 'failed'
    REFUSED = 'refused'
    EXPIRED = 'expired'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'

    @property
    def is_end(self) -> bool:
        """Return whether the attempt has stopped for certain."""
        return self in (
            RunStatus.STOPPED,
            RunStatus.FINISHED,
            RunStatus.FAILED,
            RunStatus.REFUSED,
        )


class Message:
    """Tell a life cycle one thing."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowWritten(Message):
    """Confirm the write in progress; the row is now at ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowConflicted(Message):
    """Report that the row was changed by another writer."""

    row: _row.TaskRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerAnswered(Message):
    """Pass on what the worker says about the task.

    ``checkpoint`` is the last whole one; ``is_saving`` says that another
    is being written.
    """

    attempt: int
    status: RunStatus
    checkpoint: str = ''
    result: str = ''
    reason: str = ''
    ran_ms: int = 0
    is_saving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerGone(Message):
    """Report that the platform's list has the worker as gone."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvictWanted(Message):
    """Ask to free the worker; the task resumes elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelWanted(Message):
    """Ask to end the task for good."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandOverWanted(Message):
    """Ask to leave the running task to another daemon."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick(Message):
    """Let time pass."""
