"""Specifications of jobs and the policies of their routes."""

import dataclasses
import enum

import oriolestand_core as core


class TaskKind(enum.Enum):
    """Kind of a task by its use of processors; reported in metrics."""

    SERVICE = 'service'
    FILLING = 'filling'
    GANG = 'gang'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StepSpec:
    """Specification of the tasks of one step of a job.

    ``cpu`` is in thousandths of a core. ``estimate_ms`` is the caller's
    rough estimate of the run time. ``after`` lists the steps that must be
    done first. ``rack`` holds the input data; a task runs slower on other
    racks. ``max_per_worker`` of 0 means no limit. A filling task uses
    processor time that other tasks leave idle, so its ``cpu`` reserves no
    capacity. A service task runs until its job is cancelled, and its tail
    latency should stay below ``target_ms``. ``max_unavailable`` is how many
    tasks of the step may be unavailable while they are moved, 0 means one.
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
    """Specification of a job: steps of tasks, optionally repeated.

    Occurrence K of a repeated job is due at ``first_due_ms`` plus K times
    ``period_ms``, in Unix time. ``accepted_ms`` is the Unix time at which a
    daemon accepted the job, by that daemon's clock.
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
        """Return whether the job repeats at set times."""
        return self.repeat_count > 0

    @property
    def occurrence_count(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence may start."""
        if not self.is_timed:
            return 0
        return self.first_due_ms + occurrence * self.period_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutePolicy:
    """Configured scheduling policy for the jobs of a route.

    Priority 0 is the most urgent. A job fails once ``max_attempts`` runs of a
    task have failed. A job should complete within ``stretch`` times its
    estimated length plus ``target_ms``.
    """

    name: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    needs_tickets: bool = False


class InvalidJobError(core.OriolestandError):
    """Raised when the steps of a job are invalid."""

    code = 'bad_job'
    http_status = 400


MAX_TASKS = 2_000
"""Limit on the tasks of one occurrence, so that the record of a job fits in
a row."""

MAX_REPEATED_STEPS = 1_000
MAX_REPEATED_TASKS = 8_000
"""Limits on the steps and tasks of all occurrences, which may all be due at
once. The record of a job names each done task, and must fit in a row: ends are
not acknowledged before it is stored."""

MAX_AMOUNT = 10**15
"""Limit on each number of a job. Larger ones exceed what floating-point
numbers can represent, and an error in a scheduling round ends every owner."""


def check_job(job: JobSpec) -> None:
    """Check the steps of a job.

    Raise InvalidJobError if they are missing, empty, misordered or too large,
    or if a number is out of range.

    >>> check_job(JobSpec(id='1', route='r', payload='', steps=()))
    Traceback (most recent call last):
    ...
    oriolestand_policy.scheduling._specs.InvalidJobError: bad_job: the job \
has no steps (job=1)
    """
    if not job.steps:
        raise InvalidJobError('the job has no steps', job=job.id)
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise InvalidJobError(
                'the step has no tasks', job=job.id, step=number
            )
        if any(not 0 <= dependency < number for dependency in step.after):
            raise InvalidJobError(
                'a step can only depend on earlier steps',
                job=job.id,
                step=number,
            )
        _check_amounts(
            job,
            number,
            cpu=step.cpu,
            memory_mb=step.memory_mb,
            accelerators=step.accelerators,
            estimate_ms=step.estimate_ms,
            max_per_worker=step.max_per_worker,
            target_ms=step.target_ms,
            max_unavailable=step.max_unavailable,
        )
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        raise InvalidJobError('the job has too many tasks', job=job.id)
    _check_amounts(
        job,
        None,
        repeat_count=job.repeat_count,
        first_due_ms=job.first_due_ms,
        period_ms=job.period_ms,
        accepted_ms=job.accepted_ms,
    )
    if (
        job.repeat_count * len(job.steps) > MAX_REPEATED_STEPS
        or job.repeat_count * tasks > MAX_REPEATED_TASKS
    ):
        raise InvalidJobError(
            'the job is repeated too often',
            job=job.id,
            occurrences=job.repeat_count,
            tasks=tasks,
        )


def _check_amounts(job: JobSpec, step: int | None, **amounts: int) -> None:
    """Raise InvalidJobError if an amount is negative or too large."""
    for name, amount in amounts.items():
        if not 0 <= amount <= MAX_AMOUNT:
            raise InvalidJobError(
                'a number of the job is out of range',
                job=job.id,
                step=step,
                field=name,
            )
