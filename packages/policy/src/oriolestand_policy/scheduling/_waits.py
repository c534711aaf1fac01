"""Explain why ready tasks wait."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _takeover

MIN_REPORTED_WAIT_MS = 2_000
REPORT_INTERVAL_MS = 1_000
SETTLING_RUN_MS = 1_000
"""Age after which a run that is starting, in doubt or stopping holds capacity
for longer than an order takes."""


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitReport:
    """Why the workers of a pool do not run a task.

    ``obstacles`` counts the workers by the first obstacle: their state, the
    resource that is short, or ``none``. ``largest_free_cpu`` and
    ``free_cpu``, in thousandths of a core, are the maximum and the sum over
    the usable workers, and ``excluded_free_cpu`` is the sum over the others.
    ``settling_cpu`` is held by runs that have been starting, in doubt or
    stopping for over a second.
    """

    obstacles: collections.Counter[str]
    largest_free_cpu: int = 0
    free_cpu: int = 0
    excluded_free_cpu: int = 0
    settling_cpu: int = 0


def explain_wait(
    workers: Iterable[_fleet.Worker], task: _jobs.Task, pool: str, now_ms: int
) -> WaitReport:
    """Return why the workers of a pool do not run a task."""
    report = WaitReport(obstacles=collections.Counter())
    for worker in workers:
        if worker.info.pool != pool:
            continue
        free = max(0, worker.info.cpu - worker.used_cpu)
        state = _placement.worker_state(worker, now_ms)
        report.settling_cpu += _settling_cpu(worker, now_ms)
        if state is not _placement.WorkerState.USABLE:
            report.obstacles[state.value] += 1
            report.excluded_free_cpu += free
            continue
        report.obstacles[_obstacle(worker, task)] += 1
        report.free_cpu += free
        report.largest_free_cpu = max(report.largest_free_cpu, free)
    return report


def _settling_cpu(worker: _fleet.Worker, now_ms: int) -> int:
    """Return the processors held by runs that do not settle."""
    return sum(
        run.spec.cpu
        for run in worker.runs.values()
        if run.phase is not _fleet.RunPhase.RUNNING
        and not run.spec.is_filling
        and now_ms - run.since_ms > SETTLING_RUN_MS
    )


def _obstacle(worker: _fleet.Worker, task: _jobs.Task) -> str:
    """Return what keeps a task from a usable worker, or ``none``."""
    spec = task.spec
    info = worker.info
    if spec.label and spec.label not in info.labels:
        return 'label'
    if not spec.is_filling and worker.used_cpu + spec.cpu > info.cpu:
        return 'cpu'
    if worker.used_memory + spec.memory_mb > info.memory_mb:
        return 'memory'
    if worker.used_accelerators + spec.accelerators > info.accelerators:
        return 'accelerators'
    if not worker.fits(spec):
        return 'reserved'
    if not _placement.can_run(worker, task):
        return 'max_per_worker'
    return 'none'


class WaitReporter:
    """Log why the oldest ready task of each kind waits, at an interval."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._next_ms = 0

    def run(self, now_ms: int, former_runs: _takeover.FormerRuns) -> None:
        """Queue the log events if the interval has passed."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + REPORT_INTERVAL_MS
        for task in self._oldest_by_kind():
            if now_ms - task.ready_ms >= MIN_REPORTED_WAIT_MS:
                self._report(task, now_ms, former_runs)

    def _oldest_by_kind(self) -> Iterator[_jobs.Task]:
        """Yield the ready task of each kind that has waited longest."""
        oldest: dict[_specs.TaskKind, _jobs.Task] = {}
        for task in self._cell.ready:
            known = oldest.get(task.spec.kind)
            if known is None or (
                (task.ready_ms, task.key) < (known.ready_ms, known.key)
            ):
                oldest[task.spec.kind] = task
        for kind in _specs.TaskKind:
            if kind in oldest:
                yield oldest[kind]

    def _report(
        self,
        task: _jobs.Task,
        now_ms: int,
        former_runs: _takeover.FormerRuns,
    ) -> None:
        """Queue the log event for one task."""
        job = self._cell.jobs[task.key.job]
        route = self._cell.routes.get(job.spec.route)
        pool = route.pool if route is not None else ''
        report = explain_wait(self._cell.workers.values(), task, pool, now_ms)
        self._cell.log(
            'task_waits',
            task.key.job,
            task=str(task.key),
            kind=task.spec.kind.value,
            waited_ms=now_ms - task.ready_ms,
            has_run=bool(task.run),
            may_run_elsewhere=former_runs.may_include(
                job, task, self._cell.workers
            ),
            cpu=task.spec.cpu,
            memory_mb=task.spec.memory_mb,
            workers=dict(report.obstacles),
            largest_free_cpu=report.largest_free_cpu,
            free_cpu=report.free_cpu,
            excluded_free_cpu=report.excluded_free_cpu,
            settling_cpu=report.settling_cpu,
        )
