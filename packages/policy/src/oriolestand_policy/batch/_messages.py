"""Messages that the lifecycle of a task handles."""

import dataclasses
import enum

import oriolestand_core as core
from oriolestand_policy.batch import _row


class RunStatus(enum.Enum):
    """Status of an attempt (one run of a task), as its worker reports it.

    ``expired`` is the refusal of a start that arrived after its window;
    ``unknown`` means that the worker has no record of the attempt.
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
        """Return whether the attempt has certainly stopped."""
        return self in (
            RunStatus.STOPPED,
            RunStatus.FINISHED,
            RunStatus.FAILED,
            RunStatus.REFUSED,
        )


class Message:
    """Base class of the messages to a lifecycle."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowWritten(Message):
    """The write in progress succeeded; the row is now at ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowConflicted(Message):
    """The write in progress failed, as another writer changed the row."""

    row: _row.TaskRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReported(Message):
    """A worker reported the status of an attempt.

    ``checkpoint`` is the last complete one; ``is_saving`` is set while
    another is being written.
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
    """The platform lists the worker as gone."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvictRequested(Message):
    """Request to evict the task and queue it again, to resume later."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelRequested(Message):
    """Request to cancel the task permanently."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandOverRequested(Message):
    """Request to hand the running task over to another daemon."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick(Message):
    """Periodic message that triggers retries and timeouts.

    ``received_until`` is the time until which all reports that were received
    are delivered; None stands for the present time.
    """

    received_until: core.Millis | None = None
