"""Define messages to the batch service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob:
    """Ask to store a job, as ``SubmitReply``.

    ``document`` is JSON. A repeat with the same name and content changes
    nothing; other content is refused with ``job_exists``.
    """

    document: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitReply:
    """Say which job is stored and whether this submission stored it."""

    name: str
    is_new: bool
    state: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStatus:
    """Describe a job to operators."""

    name: str
    state: str
    pool: str
    team: str
    priority: int
    attempt: int
    controller: str
    worker: str
    retries_left: int
    evictions: int
    ran_ms: int
    checkpoint: str
    is_cancel_requested: bool
    reason: str
    result: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListJobs:
    """Ask for jobs by prefix of their name, as ``tuple[JobStatus, ...]``.

    Reads all rows with the prefix.
    """

    prefix: str = ''
    state: str = ''
    limit: int = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowJob:
    """Ask for one job, as ``JobStatus``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob:
    """Ask to end a job, as ``JobStatus``; a running one ends soon after."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainTasks:
    """Hand all tasks over; reply when done or after a bounded time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetBatchStatus:
    """Ask for what the service holds, as ``BatchStatus``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchStatus:
    """Count tasks under control and waiting here."""

    controlled: int
    waiting: int
    adopted: int
    without_slots: int
