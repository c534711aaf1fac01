"""Define what the life cycle of a task asks its surroundings to do."""

import dataclasses

from oriolestand_policy.batch import _row


class Effect:
    """Ask for one thing to be done."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRow(Effect):
    """Write a row if it is still at ``version``.

    ``before`` is the row that the write replaces, for its index key.
    """

    row: _row.TaskRow
    before: _row.TaskRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun(Effect):
    """Send a start to the row's worker; a repeat is harmless."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointRun(Effect):
    """Ask the worker for a checkpoint."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun(Effect):
    """Ask the worker to stop the attempt and to say how it ended."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskWorker(Effect):
    """Ask the worker about the attempt without extending its lease."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreeSlots(Effect):
    """Give back the slots of an attempt that has stopped for certain."""

    row: _row.TaskRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forget(Effect):
    """Drop the life cycle; ``row`` is queued, final or another's."""

    row: _row.TaskRow
