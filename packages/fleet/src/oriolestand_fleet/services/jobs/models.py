"""In-memory state of jobs and encoding of their rows."""

import dataclasses
import json
import sys
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from oriolestand_fleet import _policies
from oriolestand_fleet import _rows
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling

ENDED_STATES = {
    'completed': messages.JobState.COMPLETED,
    'failed': messages.JobState.FAILED,
    'cancelled': messages.JobState.CANCELLED,
}

_Count = _rows.Count
_Percent = Annotated[
    int, msgspec.Meta(ge=scheduling.UNKNOWN_PERCENT, le=_rows.MAX_INTEGER)
]
_CrashKind = Literal['alone', 'late', 'shared', 'common']


class _JobRow(msgspec.Struct, frozen=True):
    """Row of a job; rows of earlier versions have the steps as well.

    ``path`` is the host and the path prefix that the job was submitted under.
    Rows of earlier versions have neither it nor the policy, and those
    versions ignore both. ``refused`` is set in rows that stand for a refusal:
    the Unix time in milliseconds. ``withdrawn`` is whether the id was
    cancelled without a job.
    """

    route: str
    refused: int | None = None
    withdrawn: bool = False
    path: str | None = None
    policy: Any = None
    steps: list[Any] | None = None


class _StateRow(msgspec.Struct, frozen=True):
    """State row of a job."""

    outcome: Literal['completed', 'failed', 'cancelled'] | None = None
    started: bool = False


class _ProgressRow(_StateRow, frozen=True):
    """Progress row of a job; see ``scheduling.progress_of``."""

    decided: bool = False
    ended: _Count = 0
    done: list[tuple[_Count, _Count, list[_Count]]] = []
    open: list[tuple[_Count, _Count, _Count, list[_Count], str | None]] = []
    placed: list[tuple[_Count, _Count, _Count, str, _Count]] = []
    ready: list[tuple[_Count, _Count, _Count]] = []
    idle: list[tuple[_Count, _Count, _Count, _Count, _Percent, _Count]] = []
    stalls: list[tuple[_Count, _Count, _Count, _Count]] = []
    late: list[tuple[_Count, _Count, _Count, str, _Count, _Count]] = []
    crashes: list[
        tuple[
            _Count,
            _Count,
            _Count,
            list[tuple[str, _CrashKind]],
            tuple[_Count, str, str, _CrashKind, _Count, str] | None,
        ]
    ] = []
    began: list[tuple[_Count, _Count, _Count, _Count]] = []
    doubtful: list[
        tuple[_Count, _Count, _Count, list[tuple[str, _CrashKind]], bool]
    ] = []


_JOB_ROW: _rows.RowDecoder[_JobRow] = _rows.RowDecoder(_JobRow)
_STATE_ROW: _rows.RowDecoder[_StateRow] = _rows.RowDecoder(_StateRow)
_PROGRESS_ROW: _rows.RowDecoder[_ProgressRow] = _rows.RowDecoder(_ProgressRow)
_SPEC_ROW: _rows.RowDecoder[scheduling.JobSpec] = _rows.RowDecoder(
    scheduling.JobSpec
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The row of an id that stands for no job.

    It replaces the row that a submission before it would create, so that no
    write of that submission can be applied after it. A later submission may
    replace it unless ``is_withdrawn``: a caller that cancelled an id was told
    that it has no job.
    """

    version: int
    wall_ms: int
    is_withdrawn: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """What a daemon knows of one job to answer its callers.

    ``route`` is None until the row of the job has been received. ``path`` and
    ``policy`` are None for rows of earlier versions. ``spec`` is set only for
    older rows, which held the specification.
    ``is_policy_unreadable`` is whether the policy in the row is malformed, and
    ``is_record_unreadable`` whether the last state row was. The versions of
    the cancellation and of the outcome are 0 without one. ``refusal`` is set
    instead of the route while the row of the job stands for a refusal.
    """

    id: str
    refusal: Refusal | None = None
    route: str | None = None
    path: str | None = None
    policy: scheduling.RoutePolicy | None = None
    is_policy_unreadable: bool = False
    spec: bytes | None = None
    record: bytes | None = None
    record_version: int = 0
    is_record_unreadable: bool = False
    cancel_version: int = 0
    outcome: str | None = None
    outcome_version: int = 0
    has_started: bool = False

    @property
    def is_stored(self) -> bool:
        """Return whether the row of the job has been received."""
        return self.route is not None

    @property
    def is_cancelled(self) -> bool:
        """Return whether the cancellation of the job has been received."""
        return self.cancel_version > 0

    @property
    def is_empty(self) -> bool:
        """Return whether the job has no rows."""
        return (
            not self.is_stored
            and self.refusal is None
            and self.record is None
            and not self.is_cancelled
        )

    def belongs_to(self, route: store.Route) -> bool:
        """Return whether the job was submitted under the path of a route.

        The name of the route decides only for rows without a path: a route
        may get another name while its path stays, and the reverse.
        """
        if self.path is not None:
            return self.path == route.path
        return self.route == route.policy.name

    def set_row(self, value: bytes, version: int = 0) -> None:
        """Apply the row of the job; raise MalformedRowError if malformed.

        A malformed policy is left out: the job can still be reported, and can
        run while the configuration has its route. A refusal never replaces a
        job.
        """
        decoded = _JOB_ROW.decode(value)
        if decoded.refused is not None:
            if self.refusal is None or self.refusal.version < version:
                self.refusal = Refusal(
                    version=version,
                    wall_ms=decoded.refused,
                    is_withdrawn=decoded.withdrawn,
                )
            return
        self.refusal = None
        # Jobs of a route share these; each row would have its own otherwise.
        self.route = sys.intern(decoded.route)
        self.path = decoded.path and sys.intern(decoded.path)
        try:
            self.policy = _to_policy(decoded)
        except _rows.MalformedRowError:
            self.is_policy_unreadable = True
        if decoded.steps is not None:
            self.spec = value

    def clear_row(self) -> None:
        """Apply the removal of the row of the job."""
        self.refusal = None
        self.route = None
        self.path = None
        self.policy = None
        self.is_policy_unreadable = False
        self.spec = None

    def set_record(self, record: bytes | None, version: int) -> None:
        """Apply the state row, which the owner of the cell writes.

        Raise MalformedRowError if it is malformed; the former state is kept.
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
        if state.outcome is None or self.outcome is None:
            self.outcome_version = version if state.outcome else 0
        self.outcome = state.outcome
        self.has_started = state.started

    def state_at(self, version: int) -> messages.JobState:
        """Return the state that is reported to callers.

        The outcome and the cancellation are rows of different parts, and the
        one that was stored first decides: otherwise a job that is shown as
        cancelled could later be shown as completed, when its record is stored
        late. So each counts only once all rows up to it are known.

        :param version: version of the store up to which all rows are known.
        """
        is_cancelled = self.is_cancelled and self.cancel_version <= version
        if self.outcome is not None and self.outcome_version <= version:
            if not is_cancelled or self.outcome_version < self.cancel_version:
                return ENDED_STATES[self.outcome]
        if is_cancelled:
            return messages.JobState.CANCELLED
        if self.has_started:
            return messages.JobState.RUNNING
        return messages.JobState.QUEUED


def _to_policy(row: _JobRow) -> scheduling.RoutePolicy | None:
    """Return the policy in the row of a job, or None if it has none.

    Raise MalformedRowError if it is malformed.
    """
    if row.policy is None:
        return None
    if not isinstance(row.policy, list):
        raise _rows.MalformedRowError('the policy is no list')
    try:
        decoded = msgspec.convert(row.policy, _policies.PolicyRow)
    except msgspec.ValidationError as exc:
        raise _rows.MalformedRowError(
            'the policy is malformed', why=str(exc)
        ) from exc
    return _policies.to_policy(row.route, decoded)


def encode_row(spec: scheduling.JobSpec, route: store.Route) -> bytes:
    """Encode the row of a job, which every daemon receives.

    It holds what must outlast the route in the configuration: any daemon may
    be asked for the job, or become the owner that runs it.
    """
    return _encode(
        {
            'route': spec.route,
            'path': route.path,
            'policy': _policies.encode_policy(route.policy),
        }
    )


def encode_refusal(wall_ms: int, *, is_withdrawn: bool) -> bytes:
    """Encode the row of a refused id; see ``Refusal``."""
    values: dict[str, Any] = {'route': '', 'refused': wall_ms}
    if is_withdrawn:
        values['withdrawn'] = True
    return _encode(values)


def encode_spec(spec: scheduling.JobSpec) -> bytes:
    """Encode the specification of a job."""
    return _encode(scheduling.job_to_dict(spec))


def decode_spec(value: bytes) -> scheduling.JobSpec:
    """Decode the specification of a job.

    Raise MalformedRowError if it is not one that a daemon accepts.
    """
    spec = _SPEC_ROW.decode(value)
    try:
        scheduling.check_job(spec)
    except scheduling.InvalidJobError as exc:
        raise _rows.MalformedRowError(
            'the specification is invalid', why=str(exc)
        ) from exc
    return spec


def decode_progress(value: bytes) -> scheduling.Progress:
    """Decode the progress; raise MalformedRowError if malformed."""
    _PROGRESS_ROW.decode(value)
    progress: scheduling.Progress = _rows.load_json(value)
    return progress


def _encode(value: dict[str, Any]) -> bytes:
    """Encode a mapping as compact JSON."""
    return json.dumps(value, separators=(',', ':')).encode()
