"""Workers that suspects of crashes may get in a round.

Most suspects are harmless. The limits keep those that are not from taking down
a large part of a pool at once.
"""

from collections.abc import Mapping
import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _room_selection

MAX_PROBATION_SHARE = 0.25
"""Share of a pool's workers that may be on probation at the same time. Most
suspects are harmless, as only one of those of a crash caused it."""

MAX_LIKELY_SHARE = 0.125
"""As above, for suspects that were the only ones of a crash."""

MAX_DOWN_SHARE = 0.25
"""Share of a pool's workers that may be down under suspects."""

MIN_PROBATIONS = 2
"""Number of workers to which each of the shares comes at least."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Workers that are kept for a suspect, or for those of one gang.

    ``tasks`` and ``workers`` are parallel. After ``until_ms`` other workers
    are selected.
    """

    tasks: tuple[_jobs.Task, ...]
    workers: tuple[_fleet.Worker, ...]
    until_ms: int

    @property
    def key(self) -> _jobs.TaskKey:
        """Return the key of the first task."""
        return self.tasks[0].key

    def demands(self) -> list[tuple[_fleet.Worker, _room_selection.Demand]]:
        """Return the capacity that the tasks need on each worker."""
        return _room_selection.demands_by_worker(self.tasks, self.workers)

    def worker_of(self) -> Mapping[_jobs.TaskKey, _fleet.Worker]:
        """Return the worker of each task."""
        pairs = zip(self.tasks, self.workers, strict=True)
        return {task.key: worker for task, worker in pairs}


class ProbationRound:
    """Workers that suspects may get in a round.

    ``kept`` are those that other suspects have. The caller adds to it, and
    ``release`` removes from it. ``examined`` counts the workers that were
    examined.
    """

    def __init__(
        self, cell: _cell.Cell, kept: dict[str, _fleet.Worker], now_ms: int
    ) -> None:
        self._cell = cell
        self._kept = kept
        self._candidates_of: dict[str, list[_fleet.Worker]] = {}
        self._kept_count = len(kept)
        self._full: set[tuple[str, bool]] = set()
        self.now_ms = now_ms
        self.examined = 0

    def is_full(self, task: _jobs.Task, pool: str) -> bool:
        """Return whether a pool has no worker left for suspects of a kind.

        This holds until a hold is released.
        """
        key = (pool, is_likely(task))
        if key not in self._full and self.is_limit_reached([task], pool):
            self._full.add(key)
        return key in self._full

    def release(self, hold: Hold) -> None:
        """Return the workers of a hold to the others."""
        for worker in hold.workers:
            self._kept.pop(worker.info.id, None)
        self._full.clear()
        self._candidates_of.clear()

    def is_limit_reached(self, tasks: list[_jobs.Task], pool: str) -> bool:
        """Return whether tasks must wait for other suspects of their pool."""
        active = [w for w in self._kept.values() if w.info.pool == pool]
        return _is_limit_reached(tasks, active, len(self._candidates(pool)))

    def examine(self, pool: str) -> list[_fleet.Worker]:
        """Return the workers that may be kept, and count them."""
        candidates = self._candidates(pool)
        self.examined += len(candidates)
        return candidates

    def _candidates(self, pool: str) -> list[_fleet.Worker]:
        """Return the usable workers of a pool that are not kept."""
        if len(self._kept) != self._kept_count:
            self._kept_count = len(self._kept)
            self._candidates_of.clear()
        candidates = self._candidates_of.get(pool)
        if candidates is None:
            candidates = [
                worker
                for worker in self._cell.workers.values()
                if worker.info.pool == pool
                and worker.info.id not in self._kept
                and _eligibility.is_usable(worker, self.now_ms)
            ]
            self._candidates_of[pool] = candidates
        return candidates


def is_likely(task: _jobs.Task) -> bool:
    """Return whether a suspect was the only one of a crash."""
    kinds = {crash.kind for crash in task.all_crashes}
    return bool(kinds & {_jobs.CrashKind.ALONE, _jobs.CrashKind.LATE})


def _is_limit_reached(
    tasks: list[_jobs.Task], active: list[_fleet.Worker], usable: int
) -> bool:
    """Return whether suspects must wait for others of their pool.

    A gang with more suspects than the limit has the pool to itself.
    """
    reached = sum(worker.unreachable_ms < 0 for worker in active)
    down = len(active) - reached
    share = MAX_PROBATION_SHARE
    if any(is_likely(task) for task in tasks):
        share = MAX_LIKELY_SHARE
    return down >= _limit(MAX_DOWN_SHARE, usable) or (
        reached > 0 and reached + len(tasks) > _limit(share, usable)
    )


def _limit(share: float, usable: int) -> int:
    """Return the number of workers that is a share of a pool."""
    return max(MIN_PROBATIONS, int(share * usable))
