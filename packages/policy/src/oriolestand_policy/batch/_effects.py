"""Effects that the lifecycle of a task returns for its driver to carry out."""

import dataclasses

from oriolestand_policy.batch import _row


class Effect:
    """Base class of the effects of a lifecycle."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRow(Effect):
    """Write a row if the stored one is still at ``version``.

    ``before`` is the row that the write replaces, from which the index key to
    remove is computed.
    """

    row: _row.TaskRow
    before: _row.TaskRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun(Effect):
    """Request that the worker start the attempt; a repeat has no effect."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointRun(Effect):
    """Request that the worker write a checkpoint of the attempt."""

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
    """Drop the lifecycle, as this daemon no longer controls the task.

    ``row`` is queued, final or under another controller.
    """

    row: _row.TaskRow
