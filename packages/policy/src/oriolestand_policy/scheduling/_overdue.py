"""Find ready tasks that have waited too long."""

import dataclasses

from oriolestand_policy.scheduling import _ages
from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _ready
from oriolestand_policy.scheduling import _takeover

MAX_SERVICE_RESTART_WAIT_MS = 2_000
"""After this time an ended service task starts before all other tasks. In a
full cell these would take all room that becomes free."""

MAX_TASK_WAIT_MS = 10_000
"""After this time capacity is reserved for any other task. A filling task
then starts before others, and idle processors are kept for it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OverdueTask:
    """A ready task that has waited too long, and the pool that it may use.

    ``is_ended_service`` is whether it is a service task that has run before.
    """

    task: _jobs.Task
    pool: str
    is_ended_service: bool


def overdue_ended_services(
    cell: _cell.Cell, now_ms: int, former_runs: _takeover.FormerRuns
) -> list[OverdueTask]:
    """Return the overdue service tasks that have run before and have ended.

    One that this owner has neither started nor adopted is overdue at once: it
    may have ended long before the takeover, and terms may be shorter than the
    wait. Tasks of urgent routes come first, then those that wait for longer.
    """
    found: list[tuple[tuple[int, int, _jobs.TaskKey], OverdueTask]] = []
    for task in cell.ready:
        if not task.spec.is_service:
            continue
        job = cell.jobs[task.key.job]
        route = cell.policy_of(job)
        if route is None or not _may_have_run(job, task):
            continue
        waited_ms = now_ms - task.ready_ms
        if task.run and waited_ms < MAX_SERVICE_RESTART_WAIT_MS:
            continue
        if former_runs.may_include(job, task, cell.workers):
            continue
        overdue = OverdueTask(
            task=task,
            pool=route.pool,
            is_ended_service=True,
        )
        found.append(((route.priority, task.ready_ms, task.key), overdue))
    return [overdue for _, overdue in sorted(found, key=lambda e: e[0])]


def _may_have_run(job: _jobs.Job, task: _jobs.Task) -> bool:
    """Return whether this owner or a former one has started a task.

    Records do not hold which tasks of a started job have run, nor whether a
    start that the former owner decided took effect.
    """
    return bool(task.run) or (job.needs_probe and job.is_start_decided)


def overdue_tasks(
    cell: _cell.Cell, now_ms: int, wall_ms: int
) -> list[OverdueTask]:
    """Return all other overdue tasks, the oldest first.

    They are ordered by age alone, so that each comes first at some time. The
    wait of a task of a former owner that this one has not started began with
    its step, as terms may be shorter than the wait. Filling tasks are left
    out, as they use idle processors only.
    """
    found: list[tuple[tuple[int, _jobs.TaskKey], OverdueTask]] = []
    for task in cell.ready:
        if task.spec.is_filling:
            continue
        job = cell.jobs[task.key.job]
        route = cell.policy_of(job)
        if route is None:
            continue
        if task.spec.is_service and _may_have_run(job, task):
            continue
        waited_ms = now_ms - task.ready_ms
        if job.needs_probe and not task.run:
            waited_ms = _ages.waited_ms(job, task, now_ms, wall_ms)
        if waited_ms < MAX_TASK_WAIT_MS:
            continue
        overdue = OverdueTask(
            task=task,
            pool=route.pool,
            is_ended_service=False,
        )
        found.append(((-waited_ms, task.key), overdue))
    return [overdue for _, overdue in sorted(found, key=lambda e: e[0])]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OverdueStep:
    """Ready filling tasks of a step that have waited too long."""

    occurrence: _ready.OccurrenceKey
    step: int
    pool: str
    tasks: list[_jobs.Task]


def overdue_filling_steps(
    cell: _cell.Cell, now_ms: int, wall_ms: int
) -> list[OverdueStep]:
    """Return the steps with overdue filling tasks, the oldest first.

    They are ordered by the age of the step, so that neither a change of owner
    nor a stop moves a task behind younger ones.
    """
    found: list[tuple[int, _ready.OccurrenceKey, int, OverdueStep]] = []
    for key, _ in cell.ready.occurrences():
        job = cell.jobs[key[0]]
        route = cell.policy_of(job)
        if route is None or not any(s.is_filling for s in job.spec.steps):
            continue
        for step in cell.ready.steps_of(key):
            if not job.spec.steps[step].is_filling:
                continue
            tasks = cell.ready.tasks_of(key, step)
            oldest = min(tasks, key=lambda task: task.ready_ms)
            waited_ms = _ages.waited_ms(job, oldest, now_ms, wall_ms)
            if waited_ms < MAX_TASK_WAIT_MS:
                continue
            overdue = OverdueStep(
                occurrence=key, step=step, pool=route.pool, tasks=tasks
            )
            found.append((-waited_ms, key, step, overdue))
    return [entry[3] for entry in sorted(found, key=lambda e: e[:3])]
