"""Define what a job asks for."""

import dataclasses
import enum

import oriolestand_core as core


class TaskKind(enum.Enum):
    """Name how tasks use processors; reported in metrics."""

    SERVICE = 'service'
    FILLING = 'filling'
    GANG = 'gang'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StepSpec:
    """Describe the tasks of one step of a job.

    ``cpu`` is in thousandths of a core. ``estimate_ms`` is the caller's
    rough estimate. ``rack`` names where the data is; a task elsewhere is
    slower. ``max_per_worker`` of 0 means no limit. A filling task uses
    processor time that other tasks leave idle, so that its ``cpu`` takes no
    capacity. A service task runs until its job is cancelled and should keep
    the tail of its response times below ``target_ms``.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    label: str = ''
    rack: str = ''
    max_per_worker: int = 0
    is_speculative: bool = False
    is_service: bool = False
    image: str = ''
    target_ms: int = 0
    is_filling: bool = False
    max_unavailable: int = 0

    @property
    def kind(self) -> TaskKind:
        """Return the kind of the step's tasks.

        >>> StepSpec(count=1, is_filling=True).kind
        <TaskKind.FILLING: 'filling'>
        """
        if self.is_service:
            return TaskKind.SERVICE
        if self.is_filling:
            return TaskKind.FILLING
        return TaskKind.GANG if self.is_gang else TaskKind.PLAIN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """Describe a job: steps of tasks, perhaps repeated at set times.

    Occurrence K of a repeated job is due at ``first_due_ms`` plus K times
    ``period_ms``, Unix time. ``accepted_ms`` is the wall time of the daemon
    that accepted the job.
    """

    id: str
    route: str
    payload: str
    steps: tuple[StepSpec, ...]
    repeat_count: int = 0
    first_due_ms: int = 0
    period_ms: int = 0
    accepted_ms: int = 0

    @property
    def is_timed(self) -> bool:
        """Return whether the steps run at set times."""
        return self.repeat_count > 0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence may start."""
        if not self.is_timed:
            return 0
        return self.first_due_ms + occurrence * self.period_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutePolicy:
    """Hold what the configuration says of the jobs of a route.

    Priority 0 is the most urgent. A task may fail ``max_attempts`` times.
    """

    name: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    needs_tickets: bool = False


class BadJobError(core.OriolestandError):
    """Raise when a job's steps make no sense."""

    code = 'bad_job'
    http_status = 400


MAX_TASKS = 2_000
"""Bounds the tasks of one occurrence, so that the record of a job fits in a
row."""


def check_job(job: JobSpec) -> None:
    """Raise BadJobError for steps that are missing, empty or out of order.

    >>> check_job(JobSpec(id='1', route='r', payload='', steps=()))
    Traceback (most recent call last):
    ...
    oriolestand_policy.scheduling._specs.BadJobError: bad_job: the job has \
no steps (job=1)
    """
    if not job.steps:
        raise BadJobError('the job has no steps', job=job.id)
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise BadJobError('the step is empty', job=job.id, step=number)
        if any(not 0 <= other < number for other in step.after):
            raise BadJobError(
                'a step may only wait for earlier ones',
                job=job.id,
                step=number,
            )
    if sum(step.count for step in job.steps) > MAX_TASKS:
        raise BadJobError('the job has too many tasks', job=job.id)
