"""Find the pools that have accepted more filling jobs than they can run.

Filling jobs that wait too long go on in turns. Once more of them wait than
tasks run at once, some have no run for many seconds, in whatever order they
take turns. Such a pool accepts new filling jobs only as far as it can run them
before they are overdue as well.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.scheduling import _amounts
from oriolestand_policy.scheduling import _capacity
from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _overdue
from oriolestand_policy.scheduling import _ready
from oriolestand_policy.scheduling import _specs

WINDOW_MS = 10_000
"""Time over which the mean of what runs is what a pool can run."""

SETTLED_MS = 1_000
"""Wait of a task from which on a pool counts as occupied: with room for it,
one of the rounds since would have started it."""

MIN_SAMPLES = 5
"""Samples of an occupied pool that a decision needs. A new owner, or a pool
that was idle until now, does not know its room."""

MIN_PLACES = 4.0
"""Tasks at once that each pool counts as having."""

MAX_WAIT_MS = 3_000
"""Time that the work of jobs that are not overdue may need in a full pool.
With more, new jobs would wait behind them and become overdue."""

MAX_JOB_SHARE = 0.1
"""Share of that work that one job counts for at most, so that a huge job does
not decide about the others."""

MAX_OVERDUE_PER_PLACE = 2.0
"""Overdue jobs for each task that runs at once beyond which none is accepted.
Tasks run for about two seconds, so with more not all have a run in 3 s."""

ASSUMED_MS = 1_000
"""Run time of a task without an estimate, until one has ended."""

MAX_RETRY_AFTER_S = 5
MAX_POOLS = 16
"""Limits the size of the row that the owner publishes them in."""

MILLIS_PER_SECOND = 1_000


def counts_for_pool(spec: _specs.JobSpec) -> bool:
    """Return whether a job may fill its pool, and be refused by a full one.

    Jobs that are due later, and tasks that may run on some workers only, say
    nothing about the pool, as most of it may be free for others.

    >>> step = _specs.StepSpec(count=1, is_filling=True)
    >>> job = _specs.JobSpec(id='5c', route='r', payload='', steps=(step,))
    >>> counts_for_pool(job)
    True
    """
    return not spec.is_timed and any(map(_is_counted, spec.steps))


def _is_counted(step: _specs.StepSpec) -> bool:
    """Return whether the tasks of a step use the filling room of a pool."""
    return step.kind is _specs.TaskKind.FILLING and not (
        step.label or step.max_per_worker
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Sample:
    """Filling tasks that run in a pool, and their thousandths of a core."""

    now_ms: int
    tasks: int
    cpu: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Waiting:
    """Jobs that wait in a pool, by id.

    ``fresh`` are those that are not overdue. ``is_occupied`` is whether a task
    has waited for so long that the pool has no room for it.
    """

    overdue: set[str] = dataclasses.field(default_factory=set)
    fresh: set[str] = dataclasses.field(default_factory=set)
    is_occupied: bool = False


class _Fits:
    """Tell whether a worker of a pool is large enough for tasks."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._sizes: dict[str, set[_amounts.Amounts]] = {}
        for worker in cell.workers.values():
            sizes = self._sizes.setdefault(worker.info.pool, set())
            sizes.add(worker.capacity.size)
        self._known: dict[tuple[str, _amounts.Amounts], bool] = {}

    def may_run(self, pool: str, spec: _specs.StepSpec) -> bool:
        """Return whether an empty worker of a pool could run a task."""
        amounts = _amounts.amounts_of(spec)
        fits = self._known.get((pool, amounts))
        if fits is None:
            fits = any(map(amounts.is_within, self._sizes.get(pool, ())))
            self._known[pool, amounts] = fits
        return fits


class Backlog:
    """Track how many filling jobs each pool can run."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._samples: dict[str, collections.deque[_Sample]] = (
            collections.defaultdict(collections.deque)
        )

    def update(
        self, now_ms: int, overdue: Iterable[_overdue.OverdueStep]
    ) -> Mapping[str, int]:
        """Return the pools that accept no filling jobs at present.

        The values are after how many seconds to try again. Call this about
        once a second with the ``overdue`` steps of the last round.
        """
        waiting = self._waiting(now_ms, overdue)
        self._take_samples(now_ms, waiting)
        full: dict[str, int] = {}
        for pool in sorted(
            waiting, key=lambda name: (-len(waiting[name].overdue), name)
        ):
            retry_after_s = self._retry_after_s(pool, waiting[pool])
            if retry_after_s and len(full) < MAX_POOLS:
                full[pool] = retry_after_s
        return full

    def _waiting(
        self, now_ms: int, overdue: Iterable[_overdue.OverdueStep]
    ) -> dict[str, _Waiting]:
        """Return the jobs that wait for the filling room of each pool.

        Jobs that no worker can run, or that wait for a task of another kind,
        are left out.
        """
        overdue_ids = {step.occurrence[0] for step in overdue}
        fits = _Fits(self._cell)
        found: dict[str, _Waiting] = collections.defaultdict(_Waiting)
        for key, _ in self._cell.ready.occurrences():
            job = self._cell.jobs[key[0]]
            route = self._cell.policy_of(job)
            if route is None or not counts_for_pool(job.spec):
                continue
            task = self._first_counted(key, job, route.pool, fits)
            if task is None:
                continue
            waiting = found[route.pool]
            is_overdue = key[0] in overdue_ids
            (waiting.overdue if is_overdue else waiting.fresh).add(key[0])
            if is_overdue or now_ms - task.ready_ms >= SETTLED_MS:
                waiting.is_occupied = True
        return found

    def _first_counted(
        self,
        key: _ready.OccurrenceKey,
        job: _jobs.Job,
        pool: str,
        fits: _Fits,
    ) -> _jobs.Task | None:
        """Return a ready filling task that the pool could run, or None."""
        for step, _ in self._cell.ready.counts_of(key):
            spec = job.spec.steps[step]
            if _is_counted(spec) and fits.may_run(pool, spec):
                return self._cell.ready.tasks_of(key, step)[0]
        return None

    def _take_samples(
        self, now_ms: int, waiting: Mapping[str, _Waiting]
    ) -> None:
        """Note what runs in the occupied pools, and forget old samples."""
        tasks: collections.Counter[str] = collections.Counter()
        cpu: collections.Counter[str] = collections.Counter()
        for worker in self._cell.workers.values():
            for run in worker.filling.values():
                if not run.spec.is_service:
                    tasks[worker.info.pool] += 1
                    cpu[worker.info.pool] += round(
                        _capacity.paced_cpu(run.spec.cpu, run.pace)
                    )
        for pool, jobs in waiting.items():
            if jobs.is_occupied:
                self._samples[pool].append(
                    _Sample(now_ms=now_ms, tasks=tasks[pool], cpu=cpu[pool])
                )
        for pool, samples in list(self._samples.items()):
            while samples and samples[0].now_ms < now_ms - WINDOW_MS:
                samples.popleft()
            if not samples:
                del self._samples[pool]

    def _work_left(self, job: _jobs.Job, most: float) -> float:
        """Return the filling work of a job that is left to start.

        It is in thousandths of a core times milliseconds, ``most`` at most.
        """
        key = (job.spec.id, 0)
        counts = dict(self._cell.ready.counts_of(key))
        work = 0.0
        for number, spec in enumerate(job.spec.steps):
            if not spec.is_filling:
                continue
            count = counts.get(number, 0)
            if not count and not job.is_step_ready(0, number):
                count = spec.count
            expected_ms = (
                self._cell.run_times.expected_ms(job.spec.route, spec)
                or ASSUMED_MS
            )
            work += count * max(1, spec.cpu) * expected_ms
            if work >= most:
                return most
        return work

    def _retry_after_s(self, pool: str, waiting: _Waiting) -> int:
        """Return after how many seconds to try again, 0 if not full."""
        samples = self._samples.get(pool, ())
        if len(samples) < MIN_SAMPLES:
            return 0
        mean_tasks = sum(sample.tasks for sample in samples) / len(samples)
        places = max(MIN_PLACES, mean_tasks)
        overdue = len(waiting.overdue)
        if overdue >= MAX_OVERDUE_PER_PLACE * places:
            return MAX_RETRY_AFTER_S
        room = max(1.0, sum(sample.cpu for sample in samples) / len(samples))
        most = MAX_JOB_SHARE * MAX_WAIT_MS * room
        work = sum(
            self._work_left(self._cell.jobs[job_id], most)
            for job_id in waiting.fresh
        )
        wait_ms = work / room
        if wait_ms < MAX_WAIT_MS:
            return 0
        # Jobs behind this much work will be overdue before they start.
        beyond_ms = max(0.0, wait_ms - _overdue.MAX_TASK_WAIT_MS)
        if overdue + len(waiting.fresh) * beyond_ms / wait_ms < places:
            return 0
        return min(int(wait_ms) // MILLIS_PER_SECOND, MAX_RETRY_AFTER_S)
