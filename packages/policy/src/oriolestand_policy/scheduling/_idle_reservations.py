"""Keep idle processors for filling tasks that have waited too long.

Filling tasks reserve no processors, and those that are idle, or the load that
may be added to services, are taken in pieces by younger tasks. What becomes
idle on one worker is kept for an overdue task until the task can start there.
"""

from collections.abc import Iterator
import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _room_selection
from oriolestand_policy.scheduling import _unplaceable

MAX_KEPT_SHARE = 0.25
"""Share of a pool's workers on which idle processors may be kept at the same
time; one worker always may. They are not used while a worker makes room."""

RESELECTION_INTERVAL_MS = 10_000
"""Time after which another worker may be selected, as the runs on the first
one may take longer than expected, and the load of its services may grow."""

MAX_RESERVATION_MS = 30_000
"""Time after which a reservation ends, so that other tasks can have one."""

PAUSE_MS = 5_000
"""Time after the end of an unused reservation until the task gets another."""

RETRY_INTERVAL_MS = 1_000
"""Shortest time between two attempts for tasks with the same demands."""

ATTEMPT_INTERVAL_MS = 100
MAX_ATTEMPTS = 2
"""Maximum number of attempts in ``ATTEMPT_INTERVAL_MS``. Each examines the
runs of all workers of the pool."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IdleReservation:
    """A worker whose idle processors are kept for a filling task.

    ``first_ms`` is when processors were first kept for the task, ``since_ms``
    when this worker was selected.
    """

    pool: str
    task: _jobs.Task
    worker: _fleet.Worker
    first_ms: int
    since_ms: int


class IdleReservations:
    """Workers of a cell that are kept for filling tasks, the oldest first."""

    def __init__(
        self, cell: _cell.Cell, placement: _placement.Placement
    ) -> None:
        self._cell = cell
        self._placement = placement
        self._by_key: dict[_jobs.TaskKey, IdleReservation] = {}
        self._paused_until_ms: dict[_jobs.TaskKey, int] = {}
        self._usable: dict[str, list[_fleet.Worker]] = {}
        self._unplaceable = _unplaceable.UnplaceableDemands()
        self._forget_unplaceable_ms = 0
        self._attempts_left = 0
        self._next_attempts_ms = 0

    def __contains__(self, key: object) -> bool:
        """Return whether idle processors are kept for a task."""
        return key in self._by_key

    def __iter__(self) -> Iterator[IdleReservation]:
        """Yield the reservations; they may be released meanwhile."""
        yield from list(self._by_key.values())

    @property
    def has_attempts(self) -> bool:
        """Return whether processors may be kept for another task now."""
        return self._attempts_left > 0

    def begin_round(self, now_ms: int) -> None:
        """Release reservations that are over, and allow attempts if due."""
        self._usable.clear()
        if now_ms >= self._next_attempts_ms:
            self._attempts_left = MAX_ATTEMPTS
            self._next_attempts_ms = now_ms + ATTEMPT_INTERVAL_MS
        if now_ms >= self._forget_unplaceable_ms:
            self._forget_unplaceable_ms = now_ms + RETRY_INTERVAL_MS
            self._unplaceable = _unplaceable.UnplaceableDemands()
        for key, until_ms in list(self._paused_until_ms.items()):
            if now_ms >= until_ms:
                del self._paused_until_ms[key]
        for reservation in self:
            if not self._is_valid(reservation, now_ms):
                self.release(reservation)
            elif now_ms - reservation.first_ms >= MAX_RESERVATION_MS:
                key = reservation.task.key
                self._paused_until_ms[key] = now_ms + PAUSE_MS
                self.release(reservation)
            elif now_ms - reservation.since_ms >= RESELECTION_INTERVAL_MS:
                self.release(reservation)
                self._add(
                    reservation.task,
                    reservation.pool,
                    now_ms,
                    reservation.first_ms,
                )
            else:
                reservation.worker.keep_for(reservation.task)

    def _is_valid(self, reservation: IdleReservation, now_ms: int) -> bool:
        """Return whether a reservation is needed and its worker usable."""
        task, worker = reservation.task, reservation.worker
        job = self._cell.jobs.get(task.key.job)
        route = self._cell.policy_of(job) if job else None
        if job is None or route is None or route.pool != reservation.pool:
            return False
        return (
            task.key in self._cell.ready
            and job.find(task.key) is task
            and self._cell.workers.get(worker.info.id) is worker
            and worker.info.pool == reservation.pool
            and _eligibility.is_usable(worker, now_ms)
            and _eligibility.is_allowed(worker, task)
        )

    def release(self, reservation: IdleReservation) -> None:
        """Let other tasks use the idle processors of a worker again."""
        del self._by_key[reservation.task.key]
        reservation.worker.keep_for(None)
        self._placement.mark_changed(reservation.worker)

    def add(
        self, task: _jobs.Task, pool: str, now_ms: int
    ) -> IdleReservation | None:
        """Keep the idle processors of a worker for an overdue task.

        Return None if no worker can make room for it, if enough workers are
        kept already, or if no attempt is due.
        """
        if self._attempts_left <= 0 or task.key in self._paused_until_ms:
            return None
        group = _unplaceable.group_of(task, pool)
        amounts = _unplaceable.amounts_of(task.spec)
        if self._unplaceable.includes(group, amounts):
            return None
        if not self._has_workers_left(pool, now_ms):
            return None
        self._attempts_left -= 1
        found = self._add(task, pool, now_ms, now_ms)
        if found is None:
            self._unplaceable.add(group, amounts)
        return found

    def _add(
        self, task: _jobs.Task, pool: str, now_ms: int, first_ms: int
    ) -> IdleReservation | None:
        """Select a worker and keep its idle processors, if possible."""
        worker = self._select(task, pool, now_ms)
        if worker is None:
            return None
        found = IdleReservation(
            pool=pool,
            task=task,
            worker=worker,
            first_ms=first_ms,
            since_ms=now_ms,
        )
        self._by_key[task.key] = found
        worker.keep_for(task)
        self._placement.mark_changed(worker)
        return found

    def _has_workers_left(self, pool: str, now_ms: int) -> bool:
        """Return whether another worker of a pool may be kept."""
        usable = self._usable_workers(pool, now_ms)
        kept = sum(worker.kept_for is not None for worker in usable)
        return kept < max(1, int(len(usable) * MAX_KEPT_SHARE))

    def _usable_workers(self, pool: str, now_ms: int) -> list[_fleet.Worker]:
        """Return the usable workers of a pool."""
        usable = self._usable.get(pool)
        if usable is None:
            usable = self._usable[pool] = [
                worker
                for worker in self._cell.workers.values()
                if worker.info.pool == pool
                and _eligibility.is_usable(worker, now_ms)
            ]
        return usable

    def _select(
        self, task: _jobs.Task, pool: str, now_ms: int
    ) -> _fleet.Worker | None:
        """Return the worker on which a task is expected to start first.

        Whether services leave enough headroom takes longest to find out, so
        the workers are asked for it one by one.
        """
        ranked: list[tuple[tuple[object, ...], _fleet.Worker]] = []
        for worker in self._usable_workers(pool, now_ms):
            if worker.kept_for is not None or worker.capacity.is_reserved:
                continue
            if not _can_make_room(worker, task):
                continue
            time_ms = worker.capacity.time_until_idle_ms(
                task.spec, _room_selection.ends_of(worker, now_ms)
            )
            rank = (
                time_ms // _room_selection.TIME_STEP_MS,
                worker.info.id in task.avoid,
                worker.is_readmitted,
                bool(task.spec.rack) and task.spec.rack != worker.info.rack,
                time_ms,
                worker.info.id,
            )
            ranked.append((rank, worker))
        ranked.sort(key=lambda entry: entry[0])
        for _, worker in ranked:
            if self._placement.pace_without_filling(worker, task):
                return worker
        return None


def _can_make_room(worker: _fleet.Worker, task: _jobs.Task) -> bool:
    """Return whether a worker may run a task once its other runs have ended.

    Service tasks and paused tasks do not end.
    """
    if not _eligibility.is_allowed(worker, task):
        return False
    permanent = [
        run.spec
        for run in worker.runs.values()
        if _room_selection.is_permanent(run)
    ]
    return worker.capacity.has_idle_room_beside(permanent, task.spec)
