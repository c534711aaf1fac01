"""Explain why ready tasks wait."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from oriolestand_policy.scheduling import _capacity
from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _figures
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _takeover
from oriolestand_policy.scheduling import _task_starter

MIN_REPORTED_WAIT_MS = 2_000
REPORT_INTERVAL_MS = 1_000
NO_OBSTACLE = 'none'
SETTLING_RUN_MS = 1_000
"""Age after which a run that is starting, in doubt or stopping holds capacity
for longer than an order takes."""


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolUse:
    """What uses the processors of a pool, in thousandths of a core.

    ``figures`` is the account of the usable workers. Beside it,
    ``measured_cpu`` is what the workers report as in use by plain, gang and
    filling runs, and ``unmeasured_cpu`` what the account counts for such runs
    without a measured value. ``excluded_free_cpu`` is the free capacity of
    the other workers. ``settling_cpu`` is held by runs that have been
    starting, in doubt or stopping for over a second.
    """

    figures: _figures.Figures = dataclasses.field(
        default_factory=_figures.Figures
    )
    measured_cpu: int = 0
    unmeasured_cpu: int = 0
    excluded_free_cpu: int = 0
    settling_cpu: int = 0

    def add(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Add what uses a worker."""
        is_usable = _eligibility.is_usable(worker, now_ms)
        if is_usable:
            worker.capacity.add_to(self.figures)
        else:
            self.excluded_free_cpu += max(0, worker.capacity.free_cpu)
        for run in worker.runs.values():
            if _is_settling(run, now_ms):
                self.settling_cpu += run.spec.cpu
            if not is_usable or run.spec.is_service:
                continue
            if run.measured:
                self.measured_cpu += run.measured
            else:
                planned = _capacity.paced_cpu(run.spec.cpu, run.pace)
                self.unmeasured_cpu += round(planned)

    def values(self) -> dict[str, int]:
        """Return all amounts by name."""
        return {
            **dataclasses.asdict(self.figures),
            'measured_cpu': self.measured_cpu,
            'unmeasured_cpu': self.unmeasured_cpu,
            'excluded_free_cpu': self.excluded_free_cpu,
            'settling_cpu': self.settling_cpu,
        }


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitReport:
    """Why the workers of a pool do not run a task.

    ``obstacles`` counts the workers by the first obstacle: their state, an
    ``Obstacle``, or ``none``.
    """

    obstacles: collections.Counter[str]


ObstacleOf = Callable[[_fleet.Worker, _jobs.Task], _obstacles.Obstacle | None]


def explain_wait(
    workers: Iterable[_fleet.Worker],
    task: _jobs.Task,
    pool: str,
    now_ms: int,
    obstacle_of: ObstacleOf = _eligibility.capacity_obstacle,
) -> WaitReport:
    """Return why the workers of a pool do not run a task.

    ``obstacle_of`` returns what keeps it from a usable worker.
    """
    report = WaitReport(obstacles=collections.Counter())
    for worker in workers:
        if worker.info.pool != pool:
            continue
        state = _eligibility.worker_state(worker, now_ms)
        if state is not _eligibility.WorkerState.USABLE:
            report.obstacles[state.value] += 1
            continue
        obstacle = obstacle_of(worker, task)
        name = NO_OBSTACLE if obstacle is None else obstacle.value
        report.obstacles[name] += 1
    return report


def _is_settling(run: _fleet.Run, now_ms: int) -> bool:
    """Return whether a run holds processors and does not settle."""
    return (
        run.phase is not _fleet.RunPhase.RUNNING
        and not run.spec.is_filling
        and now_ms - run.since_ms > SETTLING_RUN_MS
    )


class WaitReporter:
    """Log why the oldest ready task of each kind waits, at an interval."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._next_ms = 0
        # Tasks started since the last report.
        self._started: list[_jobs.Task] = []
        # What uses the pools in the present round.
        self._uses: dict[str, PoolUse] = {}

    def run(
        self,
        now_ms: int,
        former_runs: _takeover.FormerRuns,
        starter: _task_starter.TaskStarter,
    ) -> None:
        """Queue the log events if the interval has passed.

        ``starter`` has run the round whose result is reported.
        """
        self._note_starts()
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + REPORT_INTERVAL_MS
        for task in self._oldest_by_kind():
            if now_ms - task.ready_ms >= MIN_REPORTED_WAIT_MS:
                self._report(task, now_ms, former_runs, starter)
        self._started.clear()
        self._uses.clear()

    def _note_starts(self) -> None:
        """Record the tasks that the round has started."""
        for effect in self._cell.effects:
            if isinstance(effect, _effects.StartTask):
                task = self._cell.jobs[effect.key.job].find(effect.key)
                if task is not None:
                    self._started.append(task)

    def _use_of(self, pool: str, now_ms: int) -> PoolUse:
        """Return what uses a pool, calculated once in a round."""
        use = self._uses.get(pool)
        if use is None:
            use = self._uses[pool] = PoolUse()
            for worker in self._cell.workers.values():
                if worker.info.pool == pool:
                    use.add(worker, now_ms)
        return use

    def _overtaking(self, task: _jobs.Task) -> list[int]:
        """Return the processors of younger tasks of its kind that started."""
        return [
            other.spec.cpu
            for other in self._started
            if other.spec.kind is task.spec.kind
            and other.ready_ms > task.ready_ms
        ]

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
        starter: _task_starter.TaskStarter,
    ) -> None:
        """Queue the log event for one task."""
        job = self._cell.jobs[task.key.job]
        route = self._cell.policy_of(job)
        pool = route.pool if route is not None else ''
        report = explain_wait(
            self._cell.workers.values(),
            task,
            pool,
            now_ms,
            starter.placement.obstacle,
        )
        overtaking = self._overtaking(task)
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
            hold=starter.hold_of(task).value,
            overtaken_by=len(overtaking),
            overtaken_cpu=sum(overtaking),
            **self._use_of(pool, now_ms).values(),
        )
