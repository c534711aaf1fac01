"""Define the messages of the service ``jobs``."""

import dataclasses
import enum

import oriolestand_core as core
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling

SERVICE = 'jobs'


class JobState(enum.Enum):
    """Name the state of a job as its caller sees it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class JobNotStoredError(core.OriolestandError):
    """Raise when a job was not stored and never will be."""

    code = 'job_not_stored'
    http_status = 503


class JobInDoubtError(core.OriolestandError):
    """Raise when a job may have been stored or may still be."""

    code = 'job_in_doubt'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 504


class StateUnknownError(core.OriolestandError):
    """Raise when the store cannot say whether a job exists."""

    code = 'state_unknown'
    http_status = 503


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob:
    """Store a job; the reply is True, or False for a repeat.

    Raises JobNotStoredError or, at the latest when ``deadline_ms`` (of the
    daemon's clock) is near, JobInDoubtError.
    """

    spec: scheduling.JobSpec
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetState:
    """Ask for the state of a job; the reply is a JobState or None.

    Raises StateUnknownError.
    """

    job: str
    route: str
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob:
    """Cancel a job; the reply says whether it exists.

    Raises StateUnknownError, or JobInDoubtError.
    """

    job: str
    route: str
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CountWaiting:
    """Ask how many jobs of a route have not begun; the reply is an int."""

    route: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredJob:
    """Hold what the store knows of a job; versions of 0 mean no row."""

    id: str
    spec: scheduling.JobSpec
    progress: scheduling.Progress | None
    record_version: int
    is_cancelled: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Hold all jobs as of a version of the store or later."""

    jobs: tuple[StoredJob, ...]
    cell: dict[str, store.Row]
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TakeSnapshot:
    """Ask for a Snapshot as soon as the replica has reached a version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobAdded:
    """Announce a job that was stored."""

    job: StoredJob


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobCancelled:
    """Announce that the caller cancelled a job."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellRowChanged:
    """Announce a change of a row of the cell that is not of a job."""

    row: store.Row


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSynced:
    """Announce an answer of the store about changes, or its failure."""

    is_reachable: bool
    is_complete: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipChanged:
    """Announce whether this daemon owns the cell."""

    is_owner: bool
