"""Define the messages of the batch service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob:
    """Request to store a job; the reply is a ``SubmitReply``.

    ``document`` is JSON. Submitting the same name and content again has no
    effect; different content is refused with ``job_exists``.
    """

    document: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitReply:
    """Reply to SubmitJob; ``is_new`` is False if the job was stored before."""

    name: str
    is_new: bool
    state: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStatus:
    """The state of a job as shown to operators."""

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
    """Request jobs by name prefix; replies ``tuple[JobStatus, ...]``.

    All rows with the prefix are read, whatever ``state`` and ``limit`` are.
    """

    prefix: str = ''
    state: str = ''
    limit: int = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetJob:
    """Request the state of one job; the reply is a ``JobStatus``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob:
    """Request to cancel a job; the reply is a ``JobStatus``.

    A running job ends shortly after the reply.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainTasks:
    """Request to hand over all tasks; replies when done or timed out."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetBatchStatus:
    """Request the task counts of the service; replies ``BatchStatus``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchStatus:
    """The number of tasks that this daemon controls or that wait here."""

    controlled: int
    waiting: int
    adopted: int
    without_slots: int
