"""Effects that the lifecycle of a task returns for its caller to carry out."""

import dataclasses

from oriolestand_policy.batch import _row


class Effect:
    """Base class of the effects of a lifecycle."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRow(Effect):
    """Write a row if the stored one is still at ``version``.

    ``before`` is the row that the write replaces; it gives the index key to
    remove.
    """

    row: _row.TaskRow
    before: _row.TaskRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun(Effect):
    """Send a start to the worker of the row; starts are idempotent."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointRun(Effect):
    """Request a checkpoint from the worker."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun(Effect):
    """Request that the worker stop the attempt and report how it ended."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryRun(Effect):
    """Query the state of the attempt without extending its lease."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseSlots(Effect):
    """Release the slots of an attempt that has certainly stopped."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DropLifecycle(Effect):
    """Drop the lifecycle.

    ``row`` is queued, final or under another controller.
    """

    row: _row.TaskRow
