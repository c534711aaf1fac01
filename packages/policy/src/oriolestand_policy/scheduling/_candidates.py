"""Find the best worker for tasks without a new pass over all workers."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import heapq

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _pressure

HIGH_TAIL_SHARE = 0.85
"""Share of its target that the tail latency of a service task may reach before
its worker gets no more filling tasks."""

NO_PAIRS: frozenset[tuple[str, str]] = frozenset()

Rank = tuple[float, ...]
StepKey = tuple[str, int, int]
Entry = tuple[Rank, int, int, bool]
"""Rank or bound of a worker, its index, its version in a queue, and whether it
is the rank."""


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerView:
    """Figures of a worker that placement uses, for one version of its state.

    ``free_cpu`` is what no run uses while service tasks are busy, and
    ``unkept_cpu`` the part of it that is not kept for a filling task.
    ``services`` are the service tasks that have a target, for
    ``services_version`` of the worker. ``filling`` are the
    image and share of processors of each filling task. ``tail_limits`` are the
    ``services`` and the tail latency above which each is near its target.
    """

    worker: _fleet.Worker
    info: _fleet.WorkerInfo
    version: int
    services_version: int
    free_cpu: float
    unkept_cpu: float
    service_images: dict[str, int]
    services: tuple[_fleet.Run, ...]
    filling: tuple[tuple[str, float], ...]
    image_pairs: frozenset[tuple[str, str]]
    is_readmitted: bool
    recent_failures: int
    tail_limits: tuple[tuple[_fleet.Run, float], ...]
    step_counts: collections.Counter[StepKey] | None = None

    def is_current(self, worker: _fleet.Worker) -> bool:
        """Return whether the view shows the present state of a worker."""
        return (
            self.version == worker.version
            and self.worker is worker
            and self.info is worker.info
            and self.is_readmitted == worker.is_readmitted
            and self.recent_failures == len(worker.failed_tasks)
        )

    def has_high_tail(self) -> bool:
        """Return whether a service task's tail latency is near its target.

        Reports change it without a new version of the worker.
        """
        for run, limit in self.tail_limits:
            if run.measured > limit:
                return True
        return False

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


def view_of(
    worker: _fleet.Worker, former: WorkerView | None = None
) -> WorkerView:
    """Return the view of a worker's present state.

    ``former`` is an earlier view; what it holds of service tasks is used
    again unless these have changed.
    """
    capacity = worker.capacity
    if (
        former is not None
        and former.worker is worker
        and former.services_version == worker.services_version
    ):
        services = former.services
        service_images = former.service_images
        tail_limits = former.tail_limits
    else:
        service_images = collections.Counter(
            [run.spec.image for run in worker.services.values()]
        )
        services = tuple(
            [run for run in worker.services.values() if run.spec.target_ms]
        )
        tail_limits = tuple(
            [(run, run.spec.target_ms * HIGH_TAIL_SHARE) for run in services]
        )
    filling = tuple(
        [
            (run.spec.image, _pressure.planned_share(run, worker))
            for run in worker.filling.values()
        ]
    )
    image_pairs = NO_PAIRS
    if capacity.filling_cpu and service_images:
        filling_images = {image for image, _ in filling}
        image_pairs = frozenset(
            (image, other)
            for image in service_images
            for other in filling_images
        )
    return WorkerView(
        worker=worker,
        info=worker.info,
        version=worker.version,
        services_version=worker.services_version,
        free_cpu=capacity.idle_cpu(),
        unkept_cpu=capacity.unkept_cpu(),
        service_images=service_images,
        services=services,
        filling=filling,
        image_pairs=image_pairs,
        is_readmitted=worker.is_readmitted,
        recent_failures=worker.recent_failures,
        tail_limits=tail_limits,
    )


class BoundCache:
    """Lower bounds of the ranks of workers, kept from round to round.

    The bound of a worker is calculated again when its view or whether its
    tail latency is high has changed since.

    :param workers: the workers of a pool, in the order of their indices.
    """

    def __init__(self, workers: Sequence[_fleet.Worker]) -> None:
        self.workers = workers
        self._seen: list[WorkerView | None] = [None] * len(workers)
        self._seen_tails: list[bool] = [False] * len(workers)
        self._versions = [0] * len(workers)
        self._heap: list[Entry] = []

    def heap(
        self,
        views: Sequence[WorkerView],
        high_tails: Sequence[bool],
        bound_of: Callable[[int], Rank | None],
    ) -> tuple[list[Entry], list[int]]:
        """Return a heap of the bounds, and their present versions by index.

        :param high_tails: whether a tail latency is high, by index; empty if
            the bounds do not depend on it.
        """
        changed = [
            index
            for index, (view, seen) in enumerate(
                zip(views, self._seen, strict=True)
            )
            if view is not seen
        ]
        if high_tails and high_tails != self._seen_tails:
            changed += [
                index
                for index, (tail, seen) in enumerate(
                    zip(high_tails, self._seen_tails, strict=True)
                )
                if tail != seen
            ]
            self._seen_tails = list(high_tails)
        for index in changed:
            self._seen[index] = views[index]
            self._versions[index] += 1
            bound = bound_of(index)
            if bound is not None:
                entry = (bound, index, self._versions[index], False)
                self._heap.append(entry)
        if changed:
            # Queues that find no worker take out all entries, each round.
            self._heap = [
                entry
                for entry in self._heap
                if entry[2] == self._versions[entry[1]]
            ]
            heapq.heapify(self._heap)
        return list(self._heap), list(self._versions)


class CandidateQueue:
    """Workers for tasks with the same demands, the best first.

    Candidates are queued by a lower bound of their rank, and the rank itself
    is calculated only for those that reach the head of the queue. Both are
    calculated again for workers that have changed since the last call.

    :param heap: a heap of the lower bounds of all workers that can run the
        tasks, which the queue changes.
    :param versions: the present version of each worker's bound, which the
        queue changes.
    :param bound_of: returns a lower bound of the rank of the worker at an
        index, or None if it cannot run the tasks.
    :param rank_of: returns the rank, or None if it cannot run them.
    :param changed: indices of changed workers, appended by the caller.
    """

    def __init__(
        self,
        heap: list[Entry],
        versions: list[int],
        bound_of: Callable[[int], Rank | None],
        rank_of: Callable[[int], Rank | None],
        changed: Sequence[int],
    ) -> None:
        self._bound_of = bound_of
        self._rank_of = rank_of
        self._changed = changed
        self._seen_changes = len(changed)
        self._versions = versions
        self._queue = heap

    def find_best(self, is_avoided: Callable[[int], bool]) -> int | None:
        """Return the index of the best worker, or None.

        Avoided workers come after all others.
        """
        self._apply_changes()
        avoided: list[Entry] = []
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
