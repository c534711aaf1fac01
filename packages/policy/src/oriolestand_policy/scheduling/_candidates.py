"""Find the best worker for tasks without a new pass over all workers."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import heapq

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _pressure

SERVICE_CPU_UTILIZATION = 0.55
"""Share of their requested processors that busy service tasks use."""

HIGH_TAIL_SHARE = 0.85
"""Share of its target that the tail latency of a service task may reach before
its worker gets no more filling tasks."""

Rank = tuple[float, ...]
StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerView:
    """Figures of a worker that placement uses, for one version of its state.

    ``free_cpu`` is in thousandths of a core, when service tasks are busy.
    ``services`` are the service tasks that have a target. ``filling`` are the
    image and share of processors of each filling task.
    """

    worker: _fleet.Worker
    info: _fleet.WorkerInfo
    version: int
    free_cpu: float
    service_count: int
    service_images: collections.Counter[str]
    services: tuple[_fleet.Run, ...]
    filling: tuple[tuple[str, float], ...]
    image_pairs: frozenset[tuple[str, str]]
    step_counts: collections.Counter[StepKey] | None = None

    def is_current(self, worker: _fleet.Worker) -> bool:
        """Return whether the view shows the present state of a worker."""
        return (
            self.worker is worker
            and self.version == worker.version
            and self.info is worker.info
        )

    def has_high_tail(self) -> bool:
        """Return whether a service task's tail latency is near its target."""
        return any(
            run.measured > run.spec.target_ms * HIGH_TAIL_SHARE
            for run in self.services
        )

    def target_images(self) -> set[str]:
        """Return the images of the service tasks that have a target."""
        return {run.spec.image for run in self.services}

    def count_of_step(self, step_key: StepKey) -> int:
        """Return the number of runs of a step on the worker."""
        if self.step_counts is None:
            self.step_counts = collections.Counter(
                key[:3] for key, _ in self.worker.runs
            )
        return self.step_counts[step_key]


def view_of(worker: _fleet.Worker) -> WorkerView:
    """Return the view of a worker's present state."""
    services = [run for run in worker.runs.values() if run.spec.is_service]
    filling = [run for run in worker.runs.values() if run.spec.is_filling]
    service_images = collections.Counter(run.spec.image for run in services)
    image_pairs: frozenset[tuple[str, str]] = frozenset()
    if worker.filling_cpu:
        filling_images = {run.spec.image for run in filling}
        image_pairs = frozenset(
            (image, other)
            for image in service_images
            for other in filling_images
        )
    return WorkerView(
        worker=worker,
        info=worker.info,
        version=worker.version,
        free_cpu=worker.info.cpu - busy_cpu(worker),
        service_count=len(services),
        service_images=service_images,
        services=tuple(run for run in services if run.spec.target_ms),
        filling=tuple(
            (run.spec.image, _pressure.planned_share(run, worker))
            for run in filling
        ),
        image_pairs=image_pairs,
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


class CandidateQueue:
    """Workers for tasks with the same demands, the best first.

    Candidates are queued by a lower bound of their rank, and the rank itself
    is calculated only for those that reach the head of the queue. Both are
    calculated again for workers that have changed since the last call.

    :param bound_of: returns a lower bound of the rank of the worker at an
        index, or None if it cannot run the tasks.
    :param rank_of: returns the rank, or None if it cannot run them.
    :param changed: indices of changed workers, appended by the caller.
    """

    def __init__(
        self,
        size: int,
        bound_of: Callable[[int], Rank | None],
        rank_of: Callable[[int], Rank | None],
        changed: Sequence[int],
    ) -> None:
        self._bound_of = bound_of
        self._rank_of = rank_of
        self._changed = changed
        self._seen_changes = len(changed)
        self._versions = [0] * size
        # Entries: rank or bound, index, version, whether it is the rank.
        self._queue: list[tuple[Rank, int, int, bool]] = []
        for index in range(size):
            bound = bound_of(index)
            if bound is not None:
                self._queue.append((bound, index, 0, False))
        heapq.heapify(self._queue)

    def find_best(self, is_avoided: Callable[[int], bool]) -> int | None:
        """Return the index of the best worker, or None.

        Avoided workers come after all others.
        """
        self._apply_changes()
        avoided: list[tuple[Rank, int, int, bool]] = []
        best: int | None = None
        while best is None and self._queue:
            entry = heapq.heappop(self._queue)
            _, index, version, is_exact = entry
            if version != self._versions[index]:
                continue
            if not is_exact:
                self._push(self._rank_of(index), index, True)
                continue
            if is_avoided(index):
                avoided.append(entry)
                continue
            best = index
            heapq.heappush(self._queue, entry)
        for entry in avoided:
            heapq.heappush(self._queue, entry)
        if best is None and avoided:
            best = avoided[0][1]
        return best

    def _apply_changes(self) -> None:
        """Queue the workers again that have changed."""
        for index in set(self._changed[self._seen_changes :]):
            self._versions[index] += 1
            self._push(self._bound_of(index), index, False)
        self._seen_changes = len(self._changed)

    def _push(self, rank: Rank | None, index: int, is_exact: bool) -> None:
        """Queue a worker unless it cannot run the tasks."""
        if rank is not None:
            entry = (rank, index, self._versions[index], is_exact)
            heapq.heappush(self._queue, entry)
