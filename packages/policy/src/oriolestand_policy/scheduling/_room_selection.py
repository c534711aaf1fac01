"""Select the workers that are expected to have room first for waiting tasks.

The workers are full at present; their runs end in an estimated time.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import heapq

from oriolestand_policy.scheduling import _amounts
from oriolestand_policy.scheduling import _capacity
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _specs

MIN_PERCENT_FOR_FORECAST = 5
"""Progress from which the remaining time of a run follows from it rather than
from the estimate of its caller."""

TIME_STEP_MS = 1_000
"""Granularity of estimated times in the selection of workers."""


@dataclasses.dataclass(slots=True)
class Demand:
    """Capacity that the tasks of one reservation need on a worker."""

    amounts: _amounts.Amounts = _amounts.NOTHING
    tasks: int = 0

    def add(self, spec: _specs.StepSpec) -> None:
        """Add the demand of a task."""
        self.amounts = self.amounts.plus(_amounts.amounts_of(spec))
        self.tasks += 1

    def plus(self, spec: _specs.StepSpec) -> 'Demand':
        """Return the demand with one more task."""
        total = dataclasses.replace(self)
        total.add(spec)
        return total


def demands_by_worker(
    tasks: Sequence[_jobs.Task], workers: Sequence[_fleet.Worker]
) -> list[tuple[_fleet.Worker, Demand]]:
    """Return what tasks need on each of their workers, which are parallel."""
    found: dict[str, tuple[_fleet.Worker, Demand]] = {}
    for task, worker in zip(tasks, workers, strict=True):
        entry = found.setdefault(worker.info.id, (worker, Demand()))
        entry[1].add(task.spec)
    return list(found.values())


def select_worker(
    workers: Sequence[_fleet.Worker],
    demands: Mapping[str, Demand],
    task: _jobs.Task,
    now_ms: int,
) -> tuple[_fleet.Worker, int] | None:
    """Return the worker that is expected to have room first, and the time.

    ``demands`` are the demands of the other members of the gang, by worker.
    """
    best: tuple[_fleet.Worker, int] | None = None
    best_rank: tuple[object, ...] = ()
    for worker in workers:
        demand = demands.get(worker.info.id, Demand()).plus(task.spec)
        if not _can_make_room(worker, task, demand):
            continue
        time_ms = worker.capacity.time_until_room_ms(
            demand.amounts, ends_of(worker, now_ms)
        )
        rank = (
            time_ms // TIME_STEP_MS,
            worker.info.id in task.avoid,
            worker.is_readmitted,
            bool(task.spec.rack) and task.spec.rack != worker.info.rack,
            time_ms,
            worker.info.id,
        )
        if best is None or rank < best_rank:
            best, best_rank = (worker, time_ms), rank
    return best


def _can_make_room(
    worker: _fleet.Worker, task: _jobs.Task, demand: Demand
) -> bool:
    """Return whether a worker may run a task once its other runs have ended.

    Service tasks do not end, so they are counted as permanent.
    """
    if not _eligibility.is_allowed(worker, task):
        return False
    limit = task.spec.max_per_worker
    if limit:
        count = _eligibility.count_of_step(worker, task.key)
        if count + demand.tasks > limit:
            return False
    return worker.capacity.has_room_beside(_permanent(worker), demand.amounts)


def _permanent(worker: _fleet.Worker) -> list[_specs.StepSpec]:
    """Return the specifications of the permanent runs of a worker."""
    return [run.spec for run in worker.runs.values() if is_permanent(run)]


def is_permanent(run: _fleet.Run) -> bool:
    """Return whether a run will not end by itself."""
    if run.stop_sent_ms >= 0:
        return False
    return run.spec.is_service or not run.pace


def ends_of(worker: _fleet.Worker, now_ms: int) -> list[_capacity.UseUntil]:
    """Return what runs use that will end, the first first, and until when."""
    ends = sorted(
        (_remaining_ms(run, now_ms), number, run)
        for number, run in enumerate(worker.runs.values())
        if not is_permanent(run)
    )
    return [
        _capacity.UseUntil(remaining_ms, _capacity.Use(run.spec, run.pace))
        for remaining_ms, _, run in ends
    ]


def _remaining_ms(run: _fleet.Run, now_ms: int) -> int:
    """Return the estimated time until a run ends."""
    if run.stop_sent_ms >= 0:
        return 0
    elapsed_ms = now_ms - run.since_ms
    if run.percent >= MIN_PERCENT_FOR_FORECAST:
        return elapsed_ms * (100 - run.percent) // run.percent
    return max(0, run.spec.estimate_ms - elapsed_ms)


_Rank = tuple[int, bool, bool, bool, int, str]


class _WorkerRoom:
    """Room that a worker will have for the members of a gang.

    ``left`` is for how many more of them it can make room.
    """

    def __init__(
        self, worker: _fleet.Worker, task: _jobs.Task, count: int, now_ms: int
    ) -> None:
        self.worker = worker
        self.left = _room_after_ends(worker, task, count)
        self.time_ms = 0
        self._spec = task.spec
        self._is_remote = bool(task.spec.rack) and (
            task.spec.rack != worker.info.rack
        )
        self._now_ms = now_ms
        self._missing = worker.capacity.missing(_amounts.NOTHING)
        self._ends: list[_capacity.UseUntil] | None = None
        self._passed_ends = 0
        self._add_demand()

    def _add_demand(self) -> None:
        """Add one member, and the ends of runs that it has to wait for."""
        self._missing = self._missing.plus(_amounts.amounts_of(self._spec))
        while not self._missing.is_within(_amounts.NOTHING):
            if self._ends is None:
                self._ends = ends_of(self.worker, self._now_ms)
            if self._passed_ends >= len(self._ends):
                return
            self.time_ms, use = self._ends[self._passed_ends]
            self._passed_ends += 1
            self._missing = self._missing.minus(_amounts.claim_of(use.spec))

    def take(self) -> None:
        """Give room to a member, and prepare for the next one."""
        self.left -= 1
        if self.left > 0:
            self._add_demand()

    def rank(self, avoid: Set[str] = frozenset()) -> _Rank:
        """Return the rank of the worker for the next member."""
        return (
            self.time_ms // TIME_STEP_MS,
            self.worker.info.id in avoid,
            self.worker.is_readmitted,
            self._is_remote,
            self.time_ms,
            self.worker.info.id,
        )


class RoomSelection:
    """Select the workers for the members of a gang, one after another.

    Only the worker that was selected is ranked again for the next member.
    The result is that of ``select_worker`` for each member.

    :param task: a member; all have the same specification.
    :param count: number of members.
    """

    def __init__(
        self,
        workers: Iterable[_fleet.Worker],
        task: _jobs.Task,
        count: int,
        now_ms: int,
    ) -> None:
        rooms = [_WorkerRoom(w, task, count, now_ms) for w in workers]
        rooms = [room for room in rooms if room.left > 0]
        self._heap = [(room.rank(), room) for room in rooms]
        heapq.heapify(self._heap)
        self._selected_ids: set[str] = set()
        self.has_room = sum(room.left for room in rooms) >= count
        self.longest_ms = 0

    @property
    def worker_count(self) -> int:
        """Return the number of different workers that were selected."""
        return len(self._selected_ids)

    def select(self, avoid: Set[str]) -> _fleet.Worker:
        """Return the worker for the next member.

        There must be room for it. ``avoid`` are workers that come last among
        those that have room at about the same time.
        """
        passed: list[tuple[_Rank, _WorkerRoom]] = []
        best = heapq.heappop(self._heap)
        best_rank = best[1].rank(avoid)
        while self._heap and self._heap[0][0] < best_rank:
            other = heapq.heappop(self._heap)
            other_rank = other[1].rank(avoid)
            if other_rank < best_rank:
                other, best, best_rank = best, other, other_rank
            passed.append(other)
        for entry in passed:
            heapq.heappush(self._heap, entry)
        room = best[1]
        self.longest_ms = max(self.longest_ms, room.time_ms)
        self._selected_ids.add(room.worker.info.id)
        room.take()
        if room.left > 0:
            heapq.heappush(self._heap, (room.rank(), room))
        return room.worker


def _room_after_ends(
    worker: _fleet.Worker, task: _jobs.Task, count: int
) -> int:
    """Return for how many tasks a worker can make room, at most a number.

    Service tasks do not end, so they are counted as permanent.
    """
    spec = task.spec
    if not _eligibility.is_allowed(worker, task):
        return 0
    claims = _amounts.total(map(_amounts.claim_of, _permanent(worker)))
    left = worker.capacity.size.minus(claims)
    room = count
    for amount, demand in zip(left, _amounts.amounts_of(spec), strict=True):
        if demand > amount:
            return 0
        if demand:
            room = min(room, amount // demand)
    if spec.max_per_worker:
        used = _eligibility.count_of_step(worker, task.key)
        room = min(room, spec.max_per_worker - used)
    return room
