"""Account for all processors of a pool, and tell why some are idle.

No decision depends on the account. As tasks wait in hundreds of kinds, only a
few of them are judged each time.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _figures
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _placement

INTERVAL_MS = 2_000
"""Shortest time between two accounts; earlier calls return the last one. With
270 workers and 1,000 waiting jobs one takes 14 ms."""

MAX_KINDS = 4
"""Maximum number of kinds of waiting tasks that are judged for a pool. Each is
examined on each worker with idle processors."""


class CpuUse(enum.StrEnum):
    """What processors are used for, or why no task that waits uses them.

    SERVICE: busy service tasks. PLAIN: plain and gang tasks. FILLING: filling
    tasks, at their pace. RESERVED: idle, and reserved or kept for a waiting
    task, or usable only with memory or accelerators that are. The others are
    idle.

    Of workers that may get tasks: NO_TASK: no plain or filling task waits,
    gangs aside. SERVICE_CLAIM: only plain tasks wait, and services request
    the processors. UNSUITABLE: the tasks need accelerators, a label or a
    worker with fewer tasks of their step. TOO_SMALL: each task needs more
    than is idle. MEMORY: too little is left. RETURNED, HIGH_TAIL,
    NO_HEADROOM, HEADROOM and TRIAL: as in ``Obstacle``. UNDECIDED: a task
    fits, and no start is decided yet.

    Of other workers: the state, as in ``WorkerState``.
    """

    SERVICE = 'service'
    PLAIN = 'plain'
    FILLING = 'filling'
    RESERVED = 'reserved'
    NO_TASK = 'no_task'
    SERVICE_CLAIM = 'service_claim'
    UNSUITABLE = 'unsuitable'
    TOO_SMALL = 'too_small'
    MEMORY = 'memory'
    RETURNED = 'returned'
    HIGH_TAIL = 'high_tail'
    NO_HEADROOM = 'no_headroom'
    HEADROOM = 'headroom'
    TRIAL = 'trial'
    UNDECIDED = 'undecided'
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


USED = frozenset(
    {CpuUse.SERVICE, CpuUse.PLAIN, CpuUse.FILLING, CpuUse.RESERVED}
)
"""Uses that do not count as idle."""

_USE_OF_OBSTACLE = {
    _obstacles.Obstacle.CPU: CpuUse.TOO_SMALL,
    _obstacles.Obstacle.BUSY_CPU: CpuUse.TOO_SMALL,
    _obstacles.Obstacle.ACCELERATORS: CpuUse.UNSUITABLE,
    _obstacles.Obstacle.LABEL: CpuUse.UNSUITABLE,
    _obstacles.Obstacle.MAX_PER_WORKER: CpuUse.UNSUITABLE,
    _obstacles.Obstacle.MEMORY: CpuUse.MEMORY,
    _obstacles.Obstacle.RESERVED: CpuUse.RESERVED,
    _obstacles.Obstacle.RETURNED: CpuUse.RETURNED,
    _obstacles.Obstacle.HIGH_TAIL: CpuUse.HIGH_TAIL,
    _obstacles.Obstacle.NO_HEADROOM: CpuUse.NO_HEADROOM,
    _obstacles.Obstacle.HEADROOM: CpuUse.HEADROOM,
    _obstacles.Obstacle.TRIAL: CpuUse.TRIAL,
    None: CpuUse.UNDECIDED,
}

_NEARNESS = {
    use: number
    for number, use in enumerate(
        (
            CpuUse.TOO_SMALL,
            CpuUse.UNSUITABLE,
            CpuUse.MEMORY,
            CpuUse.RESERVED,
            CpuUse.RETURNED,
            CpuUse.HIGH_TAIL,
            CpuUse.NO_HEADROOM,
            CpuUse.HEADROOM,
            CpuUse.TRIAL,
            CpuUse.UNDECIDED,
        )
    )
}
"""How near to a start each reason is. Where kinds of tasks have different
reasons on a worker, the nearest one counts."""


_CLOSED = (CpuUse.RETURNED, CpuUse.HIGH_TAIL, CpuUse.NO_HEADROOM)
"""Reasons that keep all filling tasks from a worker, so that one is judged."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IdleAccount:
    """Account of the processors of a pool, in thousandths of a core.

    ``uses`` adds up to ``size_cpu``. ``waiting`` is the number of plain and
    filling tasks that wait, gangs aside.
    """

    now_ms: int
    size_cpu: int
    waiting: int
    uses: Mapping[CpuUse, int]

    @property
    def idle_cpu(self) -> int:
        """Return what no run uses and no reservation holds."""
        return sum(cpu for use, cpu in self.uses.items() if use not in USED)


_Group = tuple[str | None, str, bool, bool]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Waiting:
    """Waiting tasks of a pool: their number, and one task of each kind.

    ``kinds`` has the smallest task of each image, label and limit, as larger
    ones meet the same obstacles.
    """

    count: int = 0
    kinds: dict[_Group, _jobs.Task] = dataclasses.field(default_factory=dict)

    def add(self, task: _jobs.Task, count: int) -> None:
        """Add the waiting tasks of a step, of which one is given."""
        self.count += count
        spec = task.spec
        group = (
            spec.image if spec.is_filling else None,
            spec.label,
            bool(spec.max_per_worker),
            bool(spec.accelerators),
        )
        known = self.kinds.get(group)
        if known is None or _size(task) < _size(known):
            self.kinds[group] = task

    def sample(self, now_ms: int) -> list[_jobs.Task]:
        """Return tasks of the kinds to judge.

        The smallest plain and the smallest filling task are always among
        them, the others take turns.
        """
        chosen: dict[bool, _jobs.Task] = {}
        others: list[_jobs.Task] = []
        for task in sorted(self.kinds.values(), key=_size):
            if chosen.setdefault(task.spec.is_filling, task) is not task:
                others.append(task)
        left = MAX_KINDS - len(chosen)
        if len(others) > left:
            first = now_ms // INTERVAL_MS * left % len(others)
            others = (others + others)[first : first + left]
        return [*chosen.values(), *others]


def _size(task: _jobs.Task) -> tuple[int, int, bool]:
    """Return the order of tasks, the one that fits most easily first."""
    return task.spec.cpu, task.spec.memory_mb, not task.may_be_slowed


_Part = tuple[CpuUse, int]


class IdleAccounts:
    """Account for the processors of the pools of a cell, if due."""

    def __init__(
        self, cell: _cell.Cell, placement: _placement.Placement
    ) -> None:
        self._cell = cell
        self._placement = placement
        self._next_ms = 0
        self._accounts: Mapping[str, IdleAccount] = {}

    def update(self, now_ms: int) -> Mapping[str, IdleAccount]:
        """Return the accounts by pool, calculated again if due.

        Call this after a round, whose state placement still has.
        """
        if now_ms >= self._next_ms:
            self._accounts = self._calculate(now_ms)
            self._next_ms = now_ms + INTERVAL_MS
        return self._accounts

    def _calculate(self, now_ms: int) -> dict[str, IdleAccount]:
        """Return the accounts of all pools with workers."""
        waiting = self._waiting()
        sizes: collections.Counter[str] = collections.Counter()
        uses: dict[str, collections.Counter[CpuUse]] = {}
        for worker, parts in self._uses_by_worker(waiting, now_ms):
            pool = worker.info.pool
            sizes[pool] += worker.capacity.size.cpu
            total = uses.setdefault(pool, collections.Counter())
            for use, cpu in parts:
                total[use] += cpu
        return {
            pool: IdleAccount(
                now_ms=now_ms,
                size_cpu=sizes[pool],
                waiting=waiting[pool].count if pool in waiting else 0,
                uses=total,
            )
            for pool, total in uses.items()
        }

    def _uses_by_worker(
        self, waiting: Mapping[str, _Waiting], now_ms: int
    ) -> Iterator[tuple[_fleet.Worker, list[_Part]]]:
        """Yield the uses of the processors of each worker."""
        samples = {
            pool: found.sample(now_ms) for pool, found in waiting.items()
        }
        for worker in self._cell.workers.values():
            sample = samples.get(worker.info.pool, ())
            yield worker, list(self._uses_of(worker, sample, now_ms))

    def _waiting(self) -> dict[str, _Waiting]:
        """Return the waiting plain and filling tasks of each pool."""
        found: dict[str, _Waiting] = {}
        for pool, task, count in self._waiting_steps():
            waiting = found.get(pool)
            if waiting is None:
                waiting = found[pool] = _Waiting()
            waiting.add(task, count)
        return found

    def _waiting_steps(self) -> Iterator[tuple[str, _jobs.Task, int]]:
        """Yield the pool, a task and the number of tasks of each step."""
        ready = self._cell.ready
        for key, _ in ready.occurrences():
            job = self._cell.jobs[key[0]]
            route = self._cell.policy_of(job)
            if route is None:
                continue
            for step, count in ready.counts_of(key):
                spec = job.spec.steps[step]
                if not (spec.is_service or spec.is_gang):
                    yield route.pool, ready.tasks_of(key, step)[0], count

    def _uses_of(
        self, worker: _fleet.Worker, sample: Sequence[_jobs.Task], now_ms: int
    ) -> Iterator[_Part]:
        """Yield the uses of a worker's processors, which add up to its size.

        A worker may be overcommitted until plain tasks have displaced filling
        ones. These count last then, with what is left.
        """
        figures = _figures.Figures()
        worker.capacity.add_to(figures)
        left = figures.size_cpu
        # What is reserved may still be in use. Only what is free counts.
        free = min(figures.reserved_cpu, figures.free_cpu)
        for use, cpu in (
            (CpuUse.SERVICE, figures.busy_service_cpu),
            (CpuUse.PLAIN, figures.plain_cpu),
            (CpuUse.FILLING, figures.paced_filling_cpu),
            (CpuUse.RESERVED, figures.kept_cpu + free),
        ):
            part = max(0, min(left, cpu))
            left -= part
            yield use, part
        if left:
            unclaimed = figures.free_cpu - free
            yield from self._idle_uses(worker, sample, left, unclaimed, now_ms)

    def _idle_uses(
        self,
        worker: _fleet.Worker,
        sample: Sequence[_jobs.Task],
        idle: int,
        unclaimed: int,
        now_ms: int,
    ) -> Iterator[_Part]:
        """Yield why idle processors of a worker are not used.

        Plain tasks may only use those that are ``unclaimed`` by services.
        """
        state = _eligibility.worker_state(worker, now_ms)
        if state is not _eligibility.WorkerState.USABLE:
            yield CpuUse(state.value), idle
            return
        if not sample:
            yield CpuUse.NO_TASK, idle
            return
        has_filling = any(task.spec.is_filling for task in sample)
        if not has_filling and idle > unclaimed:
            yield CpuUse.SERVICE_CLAIM, idle - unclaimed
            idle = unclaimed
        if idle:
            yield self._reason(worker, sample), idle

    def _reason(
        self, worker: _fleet.Worker, tasks: Iterable[_jobs.Task]
    ) -> CpuUse:
        """Return why none of the tasks uses the idle processors."""
        nearest = CpuUse.TOO_SMALL
        free = worker.capacity.free_cpu
        idle = worker.capacity.unkept_cpu()
        is_closed = False
        for task in tasks:
            spec = task.spec
            if spec.cpu > (idle if spec.is_filling else free):
                continue
            if is_closed and spec.is_filling:
                continue
            use = _USE_OF_OBSTACLE[self._placement.obstacle(worker, task)]
            if _NEARNESS[use] > _NEARNESS[nearest]:
                nearest = use
            if use is CpuUse.UNDECIDED:
                break
            is_closed = is_closed or use in _CLOSED
        return nearest
