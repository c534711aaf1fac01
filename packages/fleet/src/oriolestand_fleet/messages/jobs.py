"""Messages of the ``jobs`` service."""

from collections.abc import Mapping
import dataclasses
import enum

import oriolestand_core as core
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling

SERVICE = 'jobs'


class JobState(enum.Enum):
    """The state of a job that is reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class JobInDoubtError(core.OriolestandError):
    """Raised when a job may have been stored, or may yet be stored.

    This is so whenever the store cannot be consulted: another daemon may have
    stored the job of an earlier request whose answer was lost.
    """

    code = 'job_in_doubt'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 504


class OwnerOverloadedError(core.OriolestandError):
    """Raised when the owner has more to do than it can do in time.

    ``retry_after_s`` is the time in seconds after which to try again.
    """

    code = 'owner_overloaded'
    http_status = 503

    def __init__(self, message: str, *, retry_after_s: int, job: str) -> None:
        super().__init__(message, job=job, retry_after_s=retry_after_s)
        self.retry_after_s = retry_after_s


class PoolFullError(OwnerOverloadedError):
    """Raised when a pool has more filling jobs than it can run in turn."""

    code = 'pool_full'


class JobRefusedError(core.OriolestandError):
    """Raised when a submission came before a refusal of the same id.

    The id was refused at another daemon, or cancelled while no job had it.
    """

    code = 'job_refused'
    http_status = 503


class StateUnknownError(core.OriolestandError):
    """Raised when it cannot be determined whether a job exists."""

    code = 'state_unknown'
    http_status = 503


class ViewOutdatedError(core.OriolestandError):
    """Raised when the replica is too old, or missing, to answer from it."""

    code = 'view_outdated'
    http_status = 503


class LoadEndedError(core.OriolestandError):
    """Raised when a load ended before all was read.

    Either the ownership ended, or no page arrived for too long.
    """

    code = 'load_ended'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob:
    """Request to store a job; the reply is False if it already existed.

    ``route`` is the one that the request was matched to. Fails with
    InvalidJobError, OwnerOverloadedError, PoolFullError, JobRefusedError or,
    shortly before ``deadline_ms`` (on the daemon's clock) at the latest,
    JobInDoubtError.
    """

    spec: scheduling.JobSpec
    route: store.Route
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetState:
    """Request the state of a job; the reply is a JobState or None.

    None means that no job with this id was submitted under the path of the
    route. The state is at most as old as a view may be, see ``ViewAge``, or
    final. Fails with StateUnknownError.
    """

    job: str
    route: store.Route
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FindJob:
    """Request whether a job was accepted under the path of a route.

    The name and the policy of the route do not count, as they are not known
    without a configuration. Fails with StateUnknownError.
    """

    job: str
    route: store.Route


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob:
    """Request to cancel a job; the reply tells whether it exists.

    Fails with StateUnknownError or JobInDoubtError.
    """

    job: str
    route: store.Route
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CountWaiting:
    """Request the number of jobs of a route that have not started.

    Fails with ViewOutdatedError shortly before ``deadline_ms``.
    """

    route: store.Route
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredJob:
    """A job as stored; a ``progress_version`` of 0 means no progress row.

    ``policy`` is the one that the job was accepted under. It is None if the
    row of the job has none, or while ``is_policy_awaited``: the row has not
    been received yet.
    """

    id: str
    spec: scheduling.JobSpec
    policy: scheduling.RoutePolicy | None = None
    is_policy_awaited: bool = False
    progress: scheduling.Progress | None = None
    progress_version: int = 0
    is_cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """All jobs and rows of the owner at ``version`` of the store or later.

    ``jobs`` holds every job that has not ended. ``ended`` holds the Unix time
    in milliseconds at which ended jobs did so, by id. ``rows`` holds by key
    the rows of the workers, of routes and of the interference model that the
    former owner wrote. ``unreadable_routes`` are the names of the routes of
    further jobs, which this version cannot run as a row of theirs is
    malformed.
    """

    jobs: tuple[StoredJob, ...]
    ended: dict[str, int]
    rows: dict[str, store.Row]
    version: int
    unreadable_routes: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetSnapshot:
    """Request a Snapshot at a version of the store or later.

    From then on, JobAdded is published for new jobs until OwnershipChanged
    tells that this daemon is not the owner. Fails with LoadEndedError if that
    is told before all is read, or if the load makes no progress.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobAdded:
    """Event: a job was stored. Published only while owning the cell."""

    job: StoredJob


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobPolicyReceived:
    """Event: the row of a job that was added without its policy was received.

    ``policy`` is None if the row has none.
    """

    id: str
    policy: scheduling.RoutePolicy | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobCancelled:
    """Event: a caller cancelled a job."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellRowChanged:
    """Event: a row of the cell other than the state of a job changed."""

    row: store.Row


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSyncAttempted:
    """Event: an attempt to sync the replica succeeded or failed.

    ``is_complete`` tells whether the replica holds a whole copy.
    """

    is_reachable: bool
    is_complete: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerLoadReported:
    """Event: the owner of the cell has reported what it can take.

    ``delay_ms`` is how late it works. ``full_pools`` are the pools that accept
    no filling jobs, and after how many seconds to try again.
    """

    delay_ms: int
    full_pools: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipChanged:
    """Event: this daemon gained or lost ownership of the cell."""

    is_owner: bool
