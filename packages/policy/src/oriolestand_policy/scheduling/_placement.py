"""Choose the worker of a task."""

import abc
from collections.abc import Iterable
import dataclasses

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _specs

SILENCE_LIMIT_MS = 2_500
"""A worker that has not answered for this long gets no new task."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementConfig:
    """Hold the weights of placement.

    ``filling_share`` is the share of the workers kept for filling tasks,
    which slow the service tasks beside them.
    """

    filling_share: float = 0.3


class Placement(abc.ABC):
    """Choose workers for tasks."""

    @abc.abstractmethod
    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Prepare for a round of choices."""

    @abc.abstractmethod
    def choose(self, task: _jobs.Task, pool: str) -> _fleet.Worker | None:
        """Return the worker that should run a task, or None."""


def is_usable(worker: _fleet.Worker, now_ms: int) -> bool:
    """Return whether a worker may get new tasks."""
    return (
        worker.is_probed
        and worker.is_recorded
        and worker.is_listed
        and not worker.info.is_leaving
        and now_ms - worker.seen_ms <= SILENCE_LIMIT_MS
        and now_ms >= worker.avoid_until_ms
    )


class SeparatedPlacement(Placement):
    """Keep filling tasks and service tasks on different workers."""

    def __init__(self, cfg: PlacementConfig) -> None:
        self._cfg = cfg
        self._by_pool: dict[str, list[_fleet.Worker]] = {}
        self._for_filling: set[str] = set()

    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Group the usable workers by pool and set some apart."""
        by_pool: dict[str, list[_fleet.Worker]] = {}
        known: dict[str, list[str]] = {}
        for worker in workers:
            pool = worker.info.pool
            known.setdefault(pool, []).append(worker.info.id)
            if is_usable(worker, now_ms):
                by_pool.setdefault(pool, []).append(worker)
        self._by_pool = by_pool
        self._for_filling = set()
        for ids in known.values():
            kept = round(len(ids) * self._cfg.filling_share)
            self._for_filling.update(sorted(ids)[:kept])

    def choose(self, task: _jobs.Task, pool: str) -> _fleet.Worker | None:
        """Return the tightest fit among the workers for this kind."""
        best: _fleet.Worker | None = None
        best_rank: tuple[int, ...] = ()
        for worker in self._by_pool.get(pool, ()):
            if not self._may_run(worker, task):
                continue
            rank = self._rank(worker, task)
            if best is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def _may_run(self, worker: _fleet.Worker, task: _jobs.Task) -> bool:
        """Return whether a worker may run a task now."""
        spec = task.spec
        if not worker.fits(spec):
            return False
        if spec.label and spec.label not in worker.info.labels:
            return False
        if spec.max_per_worker and (
            count_of_step(worker, task.key) >= spec.max_per_worker
        ):
            return False
        is_apart = worker.info.id in self._for_filling
        if spec.is_filling:
            busy = worker.filling_cpu + worker.used_cpu
            return (
                is_apart
                and not worker.service_count
                and busy + spec.cpu <= worker.info.cpu
            )
        return not (spec.is_service and is_apart)

    def _rank(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> tuple[int, ...]:
        """Return the sort key of a worker; the lowest is the best."""
        spec = task.spec
        info = worker.info
        is_apart = info.id in self._for_filling
        free = info.cpu - worker.used_cpu - worker.filling_cpu
        return (
            int(info.id in task.avoid),
            int(bool(spec.rack) and spec.rack != info.rack),
            int(is_apart and not spec.is_filling),
            worker.recent_failures,
            -free if spec.is_filling or spec.is_service else free,
        )


def count_of_step(worker: _fleet.Worker, key: _jobs.TaskKey) -> int:
    """Return how many tasks of a step may run on a worker."""
    prefix = key[:3]
    return sum(1 for other, _ in worker.runs if other[:3] == prefix)


def can_any_run(
    workers: Iterable[_fleet.Worker], spec: _specs.StepSpec, pool: str
) -> bool:
    """Return whether a worker of the pool could run a task when empty."""
    return any(
        worker.can_ever_run(spec)
        for worker in workers
        if worker.info.pool == pool
    )
