"""Tell which workers may run a task."""

import enum

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _obstacles


class WorkerState(enum.Enum):
    """Whether a worker may get new tasks, and if not, the first reason."""

    USABLE = 'usable'
    NOT_PROBED = 'not_probed'
    NOT_RECORDED = 'not_recorded'
    NOT_LISTED = 'not_listed'
    NOT_DESCRIBED = 'not_described'
    LAPSING = 'lapsing'
    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    SILENT = 'silent'
    AVOIDED = 'avoided'
    ON_PROBATION = 'on_probation'


def worker_state(worker: _fleet.Worker, now_ms: int) -> WorkerState:
    """Return whether a worker may get new tasks, or why not."""
    if not worker.is_probed or worker.is_in_doubt:
        return WorkerState.NOT_PROBED
    if not worker.is_listed:
        return WorkerState.NOT_LISTED
    if not worker.is_described:
        return WorkerState.NOT_DESCRIBED
    if worker.info.is_leaving:
        return WorkerState.LEAVING
    if worker.is_evacuated:
        return WorkerState.EVACUATED
    if worker.unreachable_ms >= 0:
        return WorkerState.SILENT
    if now_ms - worker.last_report_ms > worker.max_report_age_ms:
        return WorkerState.SILENT
    if not worker.is_recorded:
        return WorkerState.NOT_RECORDED
    if worker.is_lapsing:
        return WorkerState.LAPSING
    if now_ms < worker.backoff_until_ms:
        return WorkerState.AVOIDED
    if now_ms < worker.avoid_until_ms and not worker.is_readmitted:
        return WorkerState.AVOIDED
    if worker.is_on_probation:
        return WorkerState.ON_PROBATION
    return WorkerState.USABLE


def is_usable(worker: _fleet.Worker, now_ms: int) -> bool:
    """Return whether a worker may get new tasks."""
    return worker_state(worker, now_ms) is WorkerState.USABLE


def is_sound(worker: _fleet.Worker, now_ms: int) -> bool:
    """Return whether a worker may get new tasks, if only on probation."""
    state = worker_state(worker, now_ms)
    return state in (WorkerState.USABLE, WorkerState.ON_PROBATION)


def can_run(worker: _fleet.Worker, task: _jobs.Task) -> bool:
    """Return whether a worker has capacity for a task and may run it."""
    return capacity_obstacle(worker, task) is None


def capacity_obstacle(
    worker: _fleet.Worker, task: _jobs.Task
) -> _obstacles.Obstacle | None:
    """Return what a worker lacks for a task, or why it may not run it."""
    is_kept = worker.kept_for is task
    return worker.shortage(task.spec, is_kept=is_kept) or _ban(worker, task)


def is_allowed(worker: _fleet.Worker, task: _jobs.Task) -> bool:
    """Return whether a worker may run a task if it has the capacity."""
    return _ban(worker, task) is None


def _ban(
    worker: _fleet.Worker, task: _jobs.Task
) -> _obstacles.Obstacle | None:
    """Return why a worker may not run a task, whatever its capacity."""
    spec = task.spec
    if spec.label and spec.label not in worker.info.labels:
        return _obstacles.Obstacle.LABEL
    if not spec.max_per_worker or (
        count_of_step(worker, task.key) < spec.max_per_worker
    ):
        return None
    return _obstacles.Obstacle.MAX_PER_WORKER


def count_of_step(worker: _fleet.Worker, key: _jobs.TaskKey) -> int:
    """Return the number of runs on a worker in the same step as a task."""
    step_key = key[:3]
    return sum(1 for run_key, _ in worker.runs if run_key[:3] == step_key)
