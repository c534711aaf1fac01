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
from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _overdue
from oriolestand_policy.scheduling import _ready

WINDOW_MS = 10_000
"""Time over which the mean number of tasks at once is what a pool can run.
Jobs are overdue only after this time, and the pool has been full since."""

MAX_WAIT_MS = 3_000
"""Time that the work of jobs that are not overdue may need in a full pool.
With more, new jobs would wait behind them and become overdue."""

MAX_JOB_SHARE = 0.1
"""Share of that work that one job counts for at most, so that a huge job does
not decide about the others."""

MAX_RETRY_AFTER_S = 5
MAX_POOLS = 16
"""Limits the size of the row that the owner publishes them in."""

MILLIS_PER_SECOND = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Use:
    """Filling tasks that run in a pool, and their thousandths of a core."""

    now_ms: int
    tasks: int
    cpu: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Waiting:
    """Jobs that wait in a pool.

    ``overdue`` is the number of overdue ones. ``work`` holds the work that is
    left to start of each of the others, in thousandths of a core times
    milliseconds.
    """

    overdue: int = 0
    work: list[int] = dataclasses.field(default_factory=list)


class Backlog:
    """Track how many filling jobs each pool can run."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._uses: dict[str, collections.deque[_Use]] = {}

    def update(
        self, now_ms: int, overdue: Iterable[_overdue.OverdueStep]
    ) -> Mapping[str, int]:
        """Return the pools that accept no filling jobs at present.

        The values are after how many seconds to try again. Call this about
        once a second with the ``overdue`` steps of the last round.
        """
        self._note_uses(now_ms)
        full: dict[str, int] = {}
        for pool, waiting in sorted(self._waiting(overdue).items()):
            retry_after_s = self._retry_after_s(pool, waiting)
            if retry_after_s and len(full) < MAX_POOLS:
                full[pool] = retry_after_s
        return full

    def _note_uses(self, now_ms: int) -> None:
        """Note what runs in each pool, and forget what is too old."""
        tasks: collections.Counter[str] = collections.Counter()
        cpu: collections.Counter[str] = collections.Counter()
        for worker in self._cell.workers.values():
            pool = worker.info.pool
            tasks[pool] += len(worker.filling)
            cpu[pool] += worker.capacity.filling_cpu
        for pool in tasks.keys() | self._uses.keys():
            uses = self._uses.setdefault(pool, collections.deque())
            uses.append(_Use(now_ms=now_ms, tasks=tasks[pool], cpu=cpu[pool]))
            while uses[0].now_ms < now_ms - WINDOW_MS:
                uses.popleft()
            if not any(use.tasks for use in uses):
                del self._uses[pool]

    def _waiting(
        self, overdue: Iterable[_overdue.OverdueStep]
    ) -> dict[str, _Waiting]:
        """Return the filling jobs that wait in each pool."""
        overdue_keys: set[_ready.OccurrenceKey] = set()
        found: dict[str, _Waiting] = collections.defaultdict(_Waiting)
        for step in overdue:
            if step.occurrence in overdue_keys:
                continue
            if self._may_run(step):
                found[step.pool].overdue += 1
            overdue_keys.add(step.occurrence)
        for key, _ in self._cell.ready.occurrences():
            if key in overdue_keys:
                continue
            job = self._cell.jobs[key[0]]
            route = self._cell.policy_of(job)
            work = self._work_left(key)
            if route is not None and work:
                found[route.pool].work.append(work)
        return found

    def _may_run(self, step: _overdue.OverdueStep) -> bool:
        """Return whether a worker of the pool is large enough for a step.

        Jobs that none can run do not keep others from being accepted.
        """
        spec = step.tasks[0].spec
        return any(
            worker.info.pool == step.pool
            and (not spec.label or spec.label in worker.info.labels)
            and _amounts.amounts_of(spec).is_within(worker.capacity.size)
            for worker in self._cell.workers.values()
        )

    def _work_left(self, key: _ready.OccurrenceKey) -> int:
        """Return the work of filling tasks that is left to start."""
        job = self._cell.jobs[key[0]]
        counts = dict(self._cell.ready.counts_of(key))
        work = 0
        for number, spec in enumerate(job.spec.steps):
            if not spec.is_filling:
                continue
            count = counts.get(number, 0)
            if not job.is_step_ready(key[1], number):
                count = spec.count
            expected_ms = self._cell.run_times.expected_ms(
                job.spec.route, spec
            )
            work += count * max(1, spec.cpu) * max(1, expected_ms)
        return work

    def _retry_after_s(self, pool: str, waiting: _Waiting) -> int:
        """Return after how many seconds to try again, 0 if not full."""
        uses = self._uses.get(pool)
        if uses is None:
            # Nothing has run, so nothing is known about what could.
            return 0
        room = max(1, sum(use.cpu for use in uses) // len(uses))
        most = int(MAX_JOB_SHARE * MAX_WAIT_MS * room)
        wait_ms = sum(min(work, most) for work in waiting.work) // room
        if wait_ms < MAX_WAIT_MS:
            return 0
        # Jobs behind this much work will be overdue before they start.
        beyond_ms = max(0, wait_ms - _overdue.MAX_TASK_WAIT_MS)
        expected = waiting.overdue + len(waiting.work) * beyond_ms / wait_ms
        if expected < sum(use.tasks for use in uses) / len(uses):
            return 0
        return min(max(1, wait_ms // MILLIS_PER_SECOND), MAX_RETRY_AFTER_S)
