"""In-memory state of jobs and encoding of their rows."""

import dataclasses
import json
from typing import Any
from typing import Literal

import msgspec

from oriolestand_fleet import _rows
from oriolestand_fleet.messages import jobs as messages
from oriolestand_policy import scheduling

ENDED_STATES = {
    'completed': messages.JobState.COMPLETED,
    'failed': messages.JobState.FAILED,
    'cancelled': messages.JobState.CANCELLED,
}

_CrashKind = Literal['alone', 'late', 'shared', 'common']


class _JobRow(msgspec.Struct, frozen=True):
    """Row of a job; rows of earlier versions have the steps as well."""

    route: str
    steps: list[Any] | None = None


class _StateRow(msgspec.Struct, frozen=True):
    """State row of a job."""

    outcome: Literal['completed', 'failed', 'cancelled'] | None = None
    started: bool = False


class _ProgressRow(_StateRow, frozen=True):
    """Progress row of a job; see ``scheduling.progress_of``."""

    decided: bool = False
    ended: int = 0
    done: list[tuple[int, int, list[int]]] = []
    open: list[tuple[int, int, int, list[int], str | None]] = []
    placed: list[tuple[int, int, int, str, int]] = []
    ready: list[tuple[int, int, int]] = []
    moved: list[tuple[int, int, int, int]] = []
    idle: list[tuple[int, int, int, int, int, int]] = []
    crashes: list[
        tuple[
            int,
            int,
            int,
            list[tuple[str, _CrashKind]],
            tuple[int, str, str, _CrashKind, int, str] | None,
        ]
    ] = []


_JOB_ROW: _rows.RowDecoder[_JobRow] = _rows.RowDecoder(_JobRow)
_STATE_ROW: _rows.RowDecoder[_StateRow] = _rows.RowDecoder(_StateRow)
_PROGRESS_ROW: _rows.RowDecoder[_ProgressRow] = _rows.RowDecoder(_ProgressRow)


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """What a daemon knows of one job to answer its callers.

    ``route`` is None until the row of the job has been received. ``spec`` is
    set only for rows of earlier versions, which held the specification.
    ``is_record_unreadable`` is whether the last state row was malformed.
    """

    id: str
    route: str | None = None
    spec: bytes | None = None
    record: bytes | None = None
    record_version: int = 0
    is_record_unreadable: bool = False
    is_cancelled: bool = False
    outcome: str | None = None
    has_started: bool = False

    @property
    def is_stored(self) -> bool:
        """Return whether the row of the job has been received."""
        return self.route is not None

    def set_row(self, value: bytes) -> None:
        """Apply the row of the job; raise ValueError if it is malformed."""
        decoded = _JOB_ROW.decode(value)
        self.route = decoded.route
        if decoded.steps is not None:
            self.spec = value

    def clear_row(self) -> None:
        """Apply the removal of the row of the job."""
        self.route = None
        self.spec = None

    def set_record(self, record: bytes | None, version: int) -> None:
        """Apply the state row, which the owner of the cell writes.

        Raise ValueError if it is malformed; the former state is kept.
        """
        if version < self.record_version:
            return
        self.is_record_unreadable = record is not None
        state = _StateRow()
        if record is not None:
            state = _STATE_ROW.decode(record)
        self.is_record_unreadable = False
        self.record = record
        self.record_version = version if record is not None else 0
        self.outcome = state.outcome
        self.has_started = state.started

    @property
    def state(self) -> messages.JobState:
        """Return the state that is reported to callers."""
        if self.outcome is not None:
            return ENDED_STATES[self.outcome]
        if self.is_cancelled:
            return messages.JobState.CANCELLED
        if self.has_started:
            return messages.JobState.RUNNING
        return messages.JobState.QUEUED


def encode_row(spec: scheduling.JobSpec) -> bytes:
    """Encode the row of a job, which every daemon receives."""
    return _encode({'route': spec.route})


def encode_spec(spec: scheduling.JobSpec) -> bytes:
    """Encode the specification of a job."""
    return _encode(scheduling.job_to_dict(spec))


def decode_spec(value: bytes) -> scheduling.JobSpec:
    """Decode the specification of a job."""
    return scheduling.job_from_dict(_rows.load_json(value))


def decode_progress(value: bytes) -> scheduling.Progress:
    """Decode the progress of a job; raise ValueError if it is malformed."""
    _PROGRESS_ROW.decode(value)
    progress: scheduling.Progress = _rows.load_json(value)
    return progress


def _encode(value: dict[str, Any]) -> bytes:
    """Encode a mapping as compact JSON."""
    return json.dumps(value, separators=(',', ':')).encode()
