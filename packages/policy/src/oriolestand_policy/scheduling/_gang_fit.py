"""Find out whether a gang can fit before its members are placed.

Members are equal, so that a gang fits if and only if as many of them fit on
the workers one by one. For filling gangs this is an upper bound only, as the
load of services limits them too.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from oriolestand_policy.scheduling import _candidates
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _specs

CHECKS_PER_S = 20_000
"""Checks of workers that may be made for waiting gangs in a second."""

CHECKS_PER_MEMBER = 10
"""What a member that was placed in vain counts as. It takes 40 to 80 us, so
that such members use 0.08 to 0.16 of a core."""

LOOKUPS_PER_CHECK = 20
"""Workers that have not changed are passed over this much faster."""

MAX_SAVED_CHECKS = 4_000
"""Checks that may be saved up for one round: about 20 ms."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sums:
    """Free capacity of some workers, and the largest piece on one of them.

    ``stamp`` is the number of changes in the round that are included.
    """

    cpu: int
    memory_mb: int
    accelerators: int
    largest_cpu: int
    largest_memory_mb: int
    largest_accelerators: int
    stamp: int

    def allow(self, spec: _specs.StepSpec, count: int) -> bool:
        """Return whether a number of tasks is within the sums.

        Filling tasks need no processors of their own.
        """
        cpu = 0 if spec.is_filling else spec.cpu
        return (
            cpu <= self.largest_cpu
            and spec.memory_mb <= self.largest_memory_mb
            and spec.accelerators <= self.largest_accelerators
            and cpu * count <= self.cpu
            and spec.memory_mb * count <= self.memory_mb
            and spec.accelerators * count <= self.accelerators
        )


def sums_of(workers: Iterable[_fleet.Worker], stamp: int) -> Sums:
    """Return the free capacity of workers; what is kept counts as free."""
    free = [
        [max(0, amount) for amount in worker.capacity.unreserved()]
        for worker in workers
    ]
    cpu, memory, accelerators = zip(*free, strict=True) if free else ((),) * 3
    return Sums(
        cpu=sum(cpu),
        memory_mb=sum(memory),
        accelerators=sum(accelerators),
        largest_cpu=max(cpu, default=0),
        largest_memory_mb=max(memory, default=0),
        largest_accelerators=max(accelerators, default=0),
        stamp=stamp,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GangFit:
    """Whether all members of a gang may fit, and the checks that it took.

    If they may not, they certainly do not fit.
    """

    may_fit: bool
    checks: int


class RoomCache:
    """Number of tasks with the same demands that fit on each worker.

    It is kept from round to round, and calculated again for workers whose
    view has changed.
    """

    def __init__(self, workers: Sequence[_fleet.Worker]) -> None:
        self.workers = workers
        self._seen: list[_candidates.WorkerView | None] = [None] * len(workers)
        self._rooms = [0] * len(workers)
        self._total = 0

    def total(
        self,
        views: Sequence[_candidates.WorkerView],
        room_of: Callable[[int], int],
    ) -> tuple[int, int]:
        """Return how many tasks fit on all workers, and the checks for it.

        :param room_of: returns how many fit on the worker at an index.
        """
        checks = len(self.workers) // LOOKUPS_PER_CHECK
        for index, (view, seen) in enumerate(
            zip(views, self._seen, strict=True)
        ):
            if view is seen:
                continue
            self._seen[index] = view
            room = room_of(index)
            self._total += room - self._rooms[index]
            self._rooms[index] = room
            checks += 1
        return self._total, checks


class GangBudget:
    """Limit the work on waiting gangs, whatever their number and size.

    Work that exceeds the limit is done all the same, as a gang is placed at
    once, and the next rounds make up for it. In a round that has reached the
    limit others are passed over; until all of these had their turn, those
    that were examined before are not examined again. So a gang that fits is
    found after the checks for all waiting gangs at ``CHECKS_PER_S`` at most.
    """

    def __init__(self) -> None:
        self._checks_left = MAX_SAVED_CHECKS
        self._round_ms: int | None = None
        self._examined: set[Hashable] = set()
        self._examined_before: set[Hashable] = set()
        self._passed_over: set[Hashable] = set()

    def allows(self, gang: Hashable, now_ms: int) -> bool:
        """Return whether to examine a gang in the round at a time."""
        if now_ms != self._round_ms:
            self._begin_round(now_ms)
        if self._checks_left <= 0:
            self._passed_over.add(gang)
            return False
        return gang not in self._examined_before

    def _begin_round(self, now_ms: int) -> None:
        """Allow more checks; begin a new turn if nothing was passed over."""
        if self._passed_over:
            self._examined_before |= self._examined
        else:
            self._examined_before.clear()
        self._examined.clear()
        self._passed_over.clear()
        if self._round_ms is not None:
            passed_ms = max(0, now_ms - self._round_ms)
            self._checks_left = min(
                MAX_SAVED_CHECKS,
                self._checks_left + passed_ms * CHECKS_PER_S // 1_000,
            )
        self._round_ms = now_ms

    def spend(self, gang: Hashable, checks: int) -> None:
        """Count the checks for a gang."""
        self._checks_left -= checks
        self._examined.add(gang)
