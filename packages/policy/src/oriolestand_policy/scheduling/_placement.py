"""Select workers for tasks."""

import abc
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _pressure

MAX_REPORT_AGE_MS = 2_500
"""A worker whose last report is older than this gets no new tasks."""

FILLING_FORECAST_MS = 1_200
"""How far ahead the load of service tasks is forecast to place a filling task.
Filling tasks run for about this long."""

ADDED_LOAD_STEP = 0.04
"""Granularity of added load in rankings. Workers in the same step are ranked
by free processors."""

HIGH_TAIL_SHARE = 0.85
"""Share of its target that the tail latency of a service task may reach before
its worker gets no more filling tasks."""

SERVICE_CPU_UTILIZATION = 0.55
"""Share of their requested processors that busy service tasks use."""


class Placement(abc.ABC):
    """Strategy that selects workers for tasks."""

    @abc.abstractmethod
    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Prepare for a round of selections at ``now_ms``."""

    @abc.abstractmethod
    def select_worker(
        self, task: _jobs.Task, pool: str
    ) -> _fleet.Worker | None:
        """Return the worker of a pool that should run a task, or None."""


def is_usable(worker: _fleet.Worker, now_ms: int) -> bool:
    """Return whether a worker may get new tasks."""
    return (
        worker.is_probed
        and worker.is_recorded
        and worker.is_listed
        and not worker.info.is_leaving
        and now_ms - worker.last_report_ms <= MAX_REPORT_AGE_MS
        and now_ms >= worker.avoid_until_ms
    )


def can_run(worker: _fleet.Worker, task: _jobs.Task) -> bool:
    """Return whether a worker has capacity for a task and may run it."""
    spec = task.spec
    if not worker.fits(spec):
        return False
    if spec.label and spec.label not in worker.info.labels:
        return False
    return not spec.max_per_worker or (
        count_of_step(worker, task.key) < spec.max_per_worker
    )


_RankFn = Callable[[_fleet.Worker, _jobs.Task], tuple[float, ...] | None]


class FirstFitPlacement(Placement):
    """Select the first worker with capacity; a baseline for comparison."""

    def __init__(self) -> None:
        self._workers: list[_fleet.Worker] = []

    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Sort the usable workers by id."""
        self._workers = sorted(
            (w for w in workers if is_usable(w, now_ms)),
            key=lambda w: w.info.id,
        )

    def select_worker(
        self, task: _jobs.Task, pool: str
    ) -> _fleet.Worker | None:
        """Return the first worker of a pool that can run a task."""
        for worker in self._workers:
            if worker.info.pool == pool and can_run(worker, task):
                return worker
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class _FillingCapacity:
    """Capacity of a worker for filling tasks.

    ``free`` is in thousandths of a core. ``is_tail_high`` is whether a tail
    latency is near its target, so that nothing may be added. ``headrooms``
    is the load that may still be added, by service image.
    """

    free: float
    is_tail_high: bool
    headrooms: dict[str, float]


class MixedPlacement(Placement):
    """Place filling tasks beside the service tasks that they slow least."""

    def __init__(self, pressure: _pressure.InterferenceModel) -> None:
        self._pressure = pressure
        self._by_pool: dict[str, list[_fleet.Worker]] = {}
        self._capacities: dict[str, _FillingCapacity] = {}
        self._pairs_on_trial: set[tuple[str, str]] = set()
        self._now_ms = 0

    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Group the usable workers by pool."""
        self._now_ms = now_ms
        self._capacities.clear()
        self._pairs_on_trial.clear()
        by_pool: dict[str, list[_fleet.Worker]] = {}
        for worker in workers:
            if is_usable(worker, now_ms):
                by_pool.setdefault(worker.info.pool, []).append(worker)
            if worker.filling_cpu:
                self._record_trials(worker)
        self._by_pool = by_pool

    def _record_trials(self, worker: _fleet.Worker) -> None:
        """Record the image pairs on a worker without a converged estimate."""
        services = {
            run.spec.image
            for run in worker.runs.values()
            if run.spec.is_service
        }
        for run in worker.runs.values():
            if not run.spec.is_filling:
                continue
            for image in services:
                if not self._pressure.has_estimate(image, run.spec.image):
                    self._pairs_on_trial.add((image, run.spec.image))

    def select_worker(
        self, task: _jobs.Task, pool: str
    ) -> _fleet.Worker | None:
        """Return the lowest-ranked worker of a pool that can run a task."""
        best: _fleet.Worker | None = None
        best_rank: tuple[float, ...] = ()
        rank_of: _RankFn = self._rank_service
        if task.spec.is_filling:
            rank_of = self._rank_filling
        elif not task.spec.is_service:
            rank_of = self._rank_batch
        for worker in self._by_pool.get(pool, ()):
            if not can_run(worker, task):
                continue
            rank = rank_of(worker, task)
            if rank is not None and (best is None or rank < best_rank):
                best, best_rank = worker, rank
        if best is None:
            return None
        if task.spec.is_filling:
            self._pairs_on_trial.update(
                (image, task.spec.image)
                for image in self._filling_capacity(best).headrooms
                if not self._pressure.has_estimate(image, task.spec.image)
            )
        # The task that is about to be added changes the capacity.
        self._capacities.pop(best.info.id, None)
        return best

    def _rank_filling(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> tuple[float, ...] | None:
        """Rank by load added to service tasks; None if it exceeds headroom."""
        spec = task.spec
        info = worker.info
        capacity = self._filling_capacity(worker)
        if capacity.free < spec.cpu or capacity.is_tail_high:
            return None
        share = spec.cpu / max(1, info.cpu)
        max_added = 0.0
        for image, headroom in capacity.headrooms.items():
            # Only one task at a time runs as a trial of a pair without a
            # converged estimate; others are placed by the upper bound.
            weight_of = self._pressure.weight
            if (image, spec.image) in self._pairs_on_trial:
                weight_of = self._pressure.weight_bound
            added = weight_of(image, spec.image) * share
            if added > headroom:
                return None
            max_added = max(max_added, added)
        return (
            *_common_rank(worker, task),
            int(max_added / ADDED_LOAD_STEP),
            -capacity.free / info.cpu,
        )

    def _filling_capacity(self, worker: _fleet.Worker) -> _FillingCapacity:
        """Return the capacity of a worker for filling tasks, cached."""
        capacity = self._capacities.get(worker.info.id)
        if capacity is None:
            headrooms = self._pressure.headrooms(
                worker, self._now_ms, FILLING_FORECAST_MS
            )
            capacity = _FillingCapacity(
                free=worker.info.cpu - busy_cpu(worker),
                is_tail_high=has_high_tail(worker),
                headrooms={
                    image: headroom
                    - self._pressure.max_added_load(worker, image)
                    for image, headroom in headrooms.items()
                },
            )
            self._capacities[worker.info.id] = capacity
        return capacity

    def _rank_service(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> tuple[float, ...]:
        """Rank by other service images on the worker, then by best fit.

        Workers with filling tasks but no service task come last, as they
        have the most capacity for further filling tasks.
        """
        spec = task.spec
        other_services = sum(
            1
            for run in worker.runs.values()
            if run.spec.is_service and run.spec.image != spec.image
        )
        free = worker.info.cpu - worker.used_cpu
        return (
            *_common_rank(worker, task),
            worker.filling_cpu > 0 and not worker.service_cpu,
            other_services,
            free,
        )

    def _rank_batch(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> tuple[float, ...]:
        """Rank by best fit into the processors that are not in use."""
        free = worker.info.cpu - busy_cpu(worker)
        shortfall = max(0, task.spec.cpu - free)
        return (*_common_rank(worker, task), shortfall, free)


def _common_rank(worker: _fleet.Worker, task: _jobs.Task) -> tuple[float, ...]:
    """Rank workers last where the task failed, data is remote or runs fail."""
    spec = task.spec
    return (
        worker.info.id in task.avoid,
        bool(spec.rack) and spec.rack != worker.info.rack,
        worker.recent_failures,
    )


def busy_cpu(worker: _fleet.Worker) -> float:
    """Return the thousandths of cores in use when service tasks are busy."""
    idle = worker.service_cpu * (1.0 - SERVICE_CPU_UTILIZATION)
    slowed = sum(
        run.spec.cpu * (100 - run.pace) / 100
        for run in worker.runs.values()
        if run.pace < 100
    )
    return worker.used_cpu + worker.filling_cpu - idle - slowed


def has_high_tail(worker: _fleet.Worker) -> bool:
    """Return whether the tail latency of a service task is near its target."""
    return any(
        run.spec.target_ms
        and run.measured > run.spec.target_ms * HIGH_TAIL_SHARE
        for run in worker.runs.values()
        if run.spec.is_service
    )


def count_of_step(worker: _fleet.Worker, key: _jobs.TaskKey) -> int:
    """Return the number of runs on a worker in the same step as a task."""
    step_key = key[:3]
    return sum(1 for run_key, _ in worker.runs if run_key[:3] == step_key)
