"""Choose the worker of a task."""

import abc
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _pressure

SILENCE_LIMIT_MS = 2_500
"""A worker that has not answered for this long gets no new task."""


FILLING_AHEAD_MS = 1_200
"""How far ahead the load of service tasks counts for a filling task, which
runs for about that long."""

HARM_STEP = 0.04
"""Added loads that differ by less than this count as equal, so that room
decides."""

HIGH_TAIL_SHARE = 0.85
"""Share of a target above which no filling task is added to a worker."""

SERVICE_USE = 0.55
"""Share of the processors of service tasks that they use when busy."""


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


def may_run(worker: _fleet.Worker, task: _jobs.Task) -> bool:
    """Return whether a worker has room for a task and is allowed it."""
    spec = task.spec
    if not worker.fits(spec):
        return False
    if spec.label and spec.label not in worker.info.labels:
        return False
    return not spec.max_per_worker or (
        count_of_step(worker, task.key) < spec.max_per_worker
    )


_Ranking = Callable[[_fleet.Worker, _jobs.Task], tuple[float, ...] | None]


class FirstFitPlacement(Placement):
    """Take the first worker with room; the naive policy for comparison."""

    def __init__(self) -> None:
        self._workers: list[_fleet.Worker] = []

    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Keep the usable workers in order of their ids."""
        self._workers = sorted(
            (w for w in workers if is_usable(w, now_ms)),
            key=lambda w: w.info.id,
        )

    def choose(self, task: _jobs.Task, pool: str) -> _fleet.Worker | None:
        """Return the first worker with room."""
        for worker in self._workers:
            if worker.info.pool == pool and may_run(worker, task):
                return worker
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    """Hold what a worker has for filling tasks.

    ``free`` is in thousandths of a core; ``rooms`` is the load that may still
    be added, by service image.
    """

    free: float
    is_closed: bool
    rooms: dict[str, float]


class MixedPlacement(Placement):
    """Put filling tasks beside the service tasks that they harm least."""

    def __init__(self, pressure: _pressure.Pressure) -> None:
        self._pressure = pressure
        self._by_pool: dict[str, list[_fleet.Worker]] = {}
        self._offers: dict[str, _Offer] = {}
        self._trials: set[tuple[str, str]] = set()
        self._now_ms = 0

    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Group the usable workers by pool."""
        self._now_ms = now_ms
        self._offers.clear()
        self._trials.clear()
        by_pool: dict[str, list[_fleet.Worker]] = {}
        for worker in workers:
            if is_usable(worker, now_ms):
                by_pool.setdefault(worker.info.pool, []).append(worker)
            if worker.filling_cpu:
                self._note_trials(worker)
        self._by_pool = by_pool

    def _note_trials(self, worker: _fleet.Worker) -> None:
        """Note the pairs on a worker of which little is known."""
        services = {
            run.spec.image
            for run in worker.runs.values()
            if run.spec.is_service
        }
        for run in worker.runs.values():
            if not run.spec.is_filling:
                continue
            for image in services:
                if not self._pressure.is_known(image, run.spec.image):
                    self._trials.add((image, run.spec.image))

    def choose(self, task: _jobs.Task, pool: str) -> _fleet.Worker | None:
        """Return the worker with the lowest rank that may run a task."""
        best: _fleet.Worker | None = None
        best_rank: tuple[float, ...] = ()
        rank_of: _Ranking = self._rank_service
        if task.spec.is_filling:
            rank_of = self._rank_filling
        elif not task.spec.is_service:
            rank_of = self._rank_other
        for worker in self._by_pool.get(pool, ()):
            if not may_run(worker, task):
                continue
            rank = rank_of(worker, task)
            if rank is not None and (best is None or rank < best_rank):
                best, best_rank = worker, rank
        if best is None:
            return None
        if task.spec.is_filling:
            self._trials.update(
                (image, task.spec.image)
                for image in self._offer_of(best).rooms
                if not self._pressure.is_known(image, task.spec.image)
            )
        # The task that is about to be added changes the offer.
        self._offers.pop(best.info.id, None)
        return best

    def _rank_filling(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> tuple[float, ...] | None:
        """Rank by harm to service tasks; None where it would be too much."""
        spec = task.spec
        info = worker.info
        offer = self._offer_of(worker)
        if offer.free < spec.cpu or offer.is_closed:
            return None
        share = spec.cpu / max(1, info.cpu)
        harm = 0.0
        for image, room in offer.rooms.items():
            # A pair of which little is known is tried by one task first.
            weigh = self._pressure.weight
            if (image, spec.image) in self._trials:
                weigh = self._pressure.weight_bound
            added = weigh(image, spec.image) * share
            if added > room:
                return None
            harm = max(harm, added)
        return (
            *_common_rank(worker, task),
            int(harm / HARM_STEP),
            -offer.free / info.cpu,
        )

    def _offer_of(self, worker: _fleet.Worker) -> _Offer:
        """Return what a worker has for filling tasks in this round."""
        offer = self._offers.get(worker.info.id)
        if offer is None:
            rooms = self._pressure.rooms(
                worker, self._now_ms, FILLING_AHEAD_MS
            )
            offer = _Offer(
                free=worker.info.cpu - busy_cpu(worker),
                is_closed=has_high_tail(worker),
                rooms={
                    image: room - self._pressure.bound_beside(worker, image)
                    for image, room in rooms.items()
                },
            )
            self._offers[worker.info.id] = offer
        return offer

    def _rank_service(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> tuple[float, ...]:
        """Rank by other images on the worker, then by the tightest fit.

        Workers without service tasks have the most room for filling tasks.
        """
        spec = task.spec
        others = sum(
            1
            for run in worker.runs.values()
            if run.spec.is_service and run.spec.image != spec.image
        )
        free = worker.info.cpu - worker.used_cpu
        return (
            *_common_rank(worker, task),
            worker.filling_cpu > 0 and not worker.service_cpu,
            others,
            free,
        )

    def _rank_other(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> tuple[float, ...]:
        """Rank by the tightest fit in what is not in use."""
        free = worker.info.cpu - busy_cpu(worker)
        lack = max(0, task.spec.cpu - free)
        return (*_common_rank(worker, task), lack, free)


def _common_rank(worker: _fleet.Worker, task: _jobs.Task) -> tuple[float, ...]:
    """Rank workers on which a task failed, far data and failures last."""
    spec = task.spec
    return (
        worker.info.id in task.avoid,
        bool(spec.rack) and spec.rack != worker.info.rack,
        worker.recent_failures,
    )


def busy_cpu(worker: _fleet.Worker) -> float:
    """Return the processors in use when service tasks are busy."""
    idle = worker.service_cpu * (1.0 - SERVICE_USE)
    slowed = sum(
        run.spec.cpu * (100 - run.pace) / 100
        for run in worker.runs.values()
        if run.pace < 100
    )
    return worker.used_cpu + worker.filling_cpu - idle - slowed


def has_high_tail(worker: _fleet.Worker) -> bool:
    """Return whether the tail of a service task is near its target."""
    return any(
        run.spec.target_ms
        and run.measured > run.spec.target_ms * HIGH_TAIL_SHARE
        for run in worker.runs.values()
        if run.spec.is_service
    )


def count_of_step(worker: _fleet.Worker, key: _jobs.TaskKey) -> int:
    """Return how many tasks of a step may run on a worker."""
    prefix = key[:3]
    return sum(1 for other, _ in worker.runs if other[:3] == prefix)
