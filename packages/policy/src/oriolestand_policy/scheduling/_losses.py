"""Tell the loss of single workers from that of many at the same moment.

A rack that loses power, or a network that fails, takes many workers at once.
A task crashes only the worker that runs it.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.scheduling import _fleet

COMMON_CAUSE_WINDOW_MS = 200
"""Failed polls show crashes of the same moment within this time, if they fail
at once. Those that time out, and those of a slow owner, fail later."""

MIN_COMMON_LOSSES = 4
COMMON_LOSS_SHARE = 0.1
"""Share of a pool that is lost at the same moment only by a common cause."""

MIN_RACK_LOSSES = 2
RACK_LOSS_SHARE = 0.5
"""Share of a rack that is lost at the same moment only by a common cause."""

LOSSES_KEPT_MS = 10_000
"""Time in which a crashed worker is found to be replaced; the losses of the
same moment are found one after the other."""

SIZES_KEPT_MS = 1_000
"""Time for which the numbers of workers are not counted again, as each count
visits all of them and hundreds may be lost at the same moment."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """A worker that was lost or cannot be reached, and since when.

    The worker was lost after ``alive_ms``, when it last showed that it was up,
    and before ``moment_ms``; without ``alive_ms`` right before that. The
    moment is not known if the worker never reported to this owner.
    ``is_explained`` is whether the worker was tried with a suspect.
    """

    worker: str
    pool: str
    rack: str
    moment_ms: int
    alive_ms: int | None = None
    is_moment_known: bool = True
    is_explained: bool = False


def loss_of(worker: _fleet.Worker, alive_ms: int | None) -> Loss:
    """Return the loss of a worker, at the first failed poll if any.

    ``alive_ms`` is as in ``Loss``.
    """
    moment_ms = worker.unreachable_ms
    return Loss(
        worker=worker.info.id,
        pool=worker.info.pool,
        rack=worker.info.rack,
        moment_ms=moment_ms if moment_ms >= 0 else worker.last_report_ms,
        alive_ms=alive_ms,
        is_moment_known=worker.is_probed,
        is_explained=worker.is_on_probation,
    )


def last_sign_ms(worker: _fleet.Worker) -> int | None:
    """Return when a worker last showed that it was up, None if never.

    That is its last report or its last reply to the start of a run.
    """
    if not worker.is_probed:
        return None
    started_ms = (
        run.since_ms
        for run in worker.runs.values()
        if run.phase is _fleet.RunPhase.RUNNING
    )
    return max([worker.last_report_ms, *started_ms])


def has_common_cause(
    loss: Loss, others: Iterable[Loss], pool_size: int, rack_size: int
) -> bool:
    """Return whether so many workers were lost at once that no task did it."""
    ids = {loss.worker}
    rack_ids = {loss.worker}
    for other in others:
        if not _is_of_same_moment(loss, other):
            continue
        ids.add(other.worker)
        if other.rack == loss.rack:
            rack_ids.add(other.worker)
    # To a new owner all workers that are down seem lost at the same moment.
    if loss.is_moment_known and len(ids) >= max(
        MIN_COMMON_LOSSES, COMMON_LOSS_SHARE * pool_size
    ):
        return True
    return bool(loss.rack) and len(rack_ids) >= max(
        MIN_RACK_LOSSES, RACK_LOSS_SHARE * rack_size
    )


def _is_of_same_moment(loss: Loss, other: Loss) -> bool:
    """Return whether another worker of the pool was lost with a worker."""
    return (
        other.pool == loss.pool
        and not other.is_explained
        and other.is_moment_known is loss.is_moment_known
        and max(_earliest_ms(loss), _earliest_ms(other))
        <= min(loss.moment_ms, other.moment_ms) + COMMON_CAUSE_WINDOW_MS
    )


def _earliest_ms(loss: Loss) -> int:
    """Return when a worker may have been lost at the earliest."""
    if loss.alive_ms is None:
        return loss.moment_ms
    return min(loss.alive_ms, loss.moment_ms)


class LossTracker:
    """Recent losses of workers, and the workers that cannot be reached."""

    def __init__(self, workers: Mapping[str, _fleet.Worker]) -> None:
        self._workers = workers
        self._unreachable: dict[str, tuple[_fleet.Worker, int | None]] = {}
        self._losses: list[Loss] = []
        self._sizes: collections.Counter[tuple[str, str | None]] = (
            collections.Counter()
        )
        self._sizes_ms: int | None = None

    def on_unreachable(self, worker: _fleet.Worker) -> None:
        """Note that a worker cannot be reached."""
        self._unreachable[worker.info.id] = (worker, last_sign_ms(worker))

    def on_report(self, worker: _fleet.Worker) -> None:
        """Note that a worker has been reached."""
        self._unreachable.pop(worker.info.id, None)

    def add(self, worker: _fleet.Worker) -> bool:
        """Record a loss; return whether it has a cause other than a task."""
        # Its runs may have been released since it could not be reached.
        known = self._unreachable.pop(worker.info.id, None)
        alive_ms = known[1] if known is not None else last_sign_ms(worker)
        loss = loss_of(worker, alive_ms)
        self._count_workers(loss.moment_ms)
        self._losses = [
            other
            for other in self._losses
            if loss.moment_ms - other.moment_ms <= LOSSES_KEPT_MS
        ]
        self._losses.append(loss)
        unreachable = [loss_of(*entry) for entry in self._unreachable.values()]
        return has_common_cause(
            loss,
            [*self._losses, *unreachable],
            self._sizes[loss.pool, None],
            self._sizes[loss.pool, loss.rack],
        )

    def _count_workers(self, moment_ms: int) -> None:
        """Count the workers of pools and racks, if that is due."""
        last_ms = self._sizes_ms
        if last_ms is not None and abs(moment_ms - last_ms) <= SIZES_KEPT_MS:
            return
        self._sizes_ms = moment_ms
        self._sizes.clear()
        for info in (worker.info for worker in self._workers.values()):
            self._sizes[info.pool, None] += 1
            self._sizes[info.pool, info.rack] += 1
