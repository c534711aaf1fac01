"""Reserve capacity for tasks that no worker has room for.

A task that ends leaves room of its own size, and a waiting task of that size
takes it at once. A larger task would never start, so the capacity that becomes
free on one worker is kept for it until the worker has room.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _room_selection
from oriolestand_policy.scheduling import _unplaceable

MAX_RESERVED_SHARE = 0.25
"""Share of a pool's workers that may hold reservations at the same time; one
worker always may. Capacity is idle while a worker makes room."""

MAX_WIDE_GANG_TIME_MS = 5_000
"""Estimated time until there is room for it up to which a gang may exceed
``MAX_RESERVED_SHARE``."""

RESELECTION_INTERVAL_MS = 10_000
"""Time after which the worker of a reservation is selected again, as the runs
on the first one may take longer than expected."""

MAX_RESERVATION_MS = 30_000
"""Time after which a reservation ends, so that other tasks can have one."""

RETRY_INTERVAL_MS = 1_000
"""Shortest time between two attempts to reserve capacity for a task."""

ATTEMPT_INTERVAL_MS = 100
MAX_ATTEMPTS = 2
"""Maximum number of attempts for ended services in ``ATTEMPT_INTERVAL_MS``,
and for other tasks at a time. Each examines the runs of all workers of the
pool."""

MAX_REMEMBERED_ATTEMPTS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Capacity kept for a task, or for all members of a gang.

    ``tasks`` and ``workers`` are parallel; ``distinct_workers`` has each
    worker once. ``first_ms`` is when capacity was
    first reserved for the tasks, ``since_ms`` when these workers were
    selected.
    """

    pool: str
    tasks: tuple[_jobs.Task, ...]
    workers: tuple[_fleet.Worker, ...]
    first_ms: int
    since_ms: int
    is_ended_service: bool
    distinct_workers: tuple[_fleet.Worker, ...]

    @property
    def key(self) -> _jobs.TaskKey:
        """Return the key of the first task."""
        return self.tasks[0].key

    def demands(self) -> list[tuple[_fleet.Worker, _room_selection.Demand]]:
        """Return the capacity that is kept on each worker."""
        return _room_selection.demands_by_worker(self.tasks, self.workers)

    def worker_of(self) -> Mapping[_jobs.TaskKey, _fleet.Worker]:
        """Return the worker of each task."""
        pairs = zip(self.tasks, self.workers, strict=True)
        return {task.key: worker for task, worker in pairs}

    def is_fulfilled(self) -> bool:
        """Return whether all workers have room for their tasks."""
        return all(
            worker.capacity.has_room_for_reserved()
            for worker in self.distinct_workers
        )


class Reservations:
    """Reservations of a cell, the oldest first.

    A worker holds the reservation of one task, or of members of one gang, so
    that reservations are fulfilled independently of each other.
    """

    def __init__(
        self, cell: _cell.Cell, placement: _placement.Placement
    ) -> None:
        self._cell = cell
        self._placement = placement
        self._by_key: dict[_jobs.TaskKey, Reservation] = {}
        self._reserved_ids: set[str] = set()
        self._usable: dict[str, list[_fleet.Worker]] = {}
        self._attempted_ms: dict[_jobs.TaskKey, int] = {}
        self._attempts_left = 0
        self._next_attempts_ms = 0
        self._unplaceable = _unplaceable.UnplaceableDemands()
        self._forget_unplaceable_ms = 0

    def __contains__(self, key: _jobs.TaskKey) -> bool:
        """Return whether capacity is reserved for a task and its gang."""
        return key in self._by_key

    def __iter__(self) -> Iterator[Reservation]:
        """Yield the reservations; they may be released meanwhile."""
        yield from list(self._by_key.values())

    def of_gang(self, key: _jobs.TaskKey) -> Reservation | None:
        """Return the reservation for members of the gang of a task."""
        found = (r for r in self._by_key.values() if r.key[:3] == key[:3])
        return next(found, None)

    def pools_of_other_tasks(self) -> set[str]:
        """Return the pools with a reservation that is for no ended service."""
        return {r.pool for r in self if not r.is_ended_service}

    def begin_round(self, now_ms: int) -> None:
        """Release or renew reservations, and allow further attempts if due."""
        self._usable.clear()
        if now_ms >= self._next_attempts_ms:
            self.allow_attempts()
            self._next_attempts_ms = now_ms + ATTEMPT_INTERVAL_MS
        if now_ms >= self._forget_unplaceable_ms:
            self._forget_unplaceable_ms = now_ms + RETRY_INTERVAL_MS
            self._unplaceable = _unplaceable.UnplaceableDemands()
        if len(self._attempted_ms) > MAX_REMEMBERED_ATTEMPTS:
            self._attempted_ms = {
                key: attempted_ms
                for key, attempted_ms in self._attempted_ms.items()
                if key in self._cell.ready
            }
        for reservation in self:
            if not self._is_valid(reservation, now_ms):
                self.release(reservation)
            elif now_ms - reservation.first_ms >= MAX_RESERVATION_MS:
                self._attempted_ms[reservation.key] = now_ms
                self.release(reservation)
            elif now_ms - reservation.since_ms >= RESELECTION_INTERVAL_MS:
                self._reselect(reservation, now_ms)

    def allow_attempts(self) -> None:
        """Allow the maximum number of attempts again."""
        self._attempts_left = MAX_ATTEMPTS

    def _reselect(self, reservation: Reservation, now_ms: int) -> None:
        """Select the workers again; they may be the same."""
        self.release(reservation)
        self._add(
            reservation.tasks,
            reservation.pool,
            now_ms,
            first_ms=reservation.first_ms,
            is_ended_service=reservation.is_ended_service,
        )

    def attempted_ms(self, key: _jobs.TaskKey) -> int:
        """Return when an attempt for a task last failed or ended; 0 if never.

        Tasks with earlier attempts go behind the others, so that one that no
        worker makes room for does not hold up the rest.
        """
        return self._attempted_ms.get(key, 0)

    def _is_valid(self, reservation: Reservation, now_ms: int) -> bool:
        """Return whether a reservation is needed and can be fulfilled."""
        job = self._cell.jobs.get(reservation.key.job)
        route = self._cell.policy_of(job) if job else None
        if job is None or route is None or route.pool != reservation.pool:
            return False
        # The tasks are members of one gang, so that what one is allowed, all
        # are.
        first = reservation.tasks[0]
        return all(
            self._cell.workers.get(worker.info.id) is worker
            and worker.info.pool == reservation.pool
            and _eligibility.is_usable(worker, now_ms)
            and _eligibility.is_allowed(worker, first)
            for worker in reservation.distinct_workers
        ) and all(
            task.key in self._cell.ready and job.find(task.key) is task
            for task in reservation.tasks
        )

    def release(self, reservation: Reservation) -> None:
        """Return the capacity of a reservation."""
        del self._by_key[reservation.key]
        for task, worker in zip(
            reservation.tasks, reservation.workers, strict=True
        ):
            worker.unreserve(task.spec)
            self._reserved_ids.discard(worker.info.id)
            self._placement.mark_changed(worker)

    def add(
        self,
        tasks: Sequence[_jobs.Task],
        pool: str,
        now_ms: int,
        *,
        is_ended_service: bool,
    ) -> Reservation | None:
        """Reserve capacity for a task or the members of a gang.

        Return None if no worker of the pool can make room for one of them, if
        enough workers hold reservations already, or if no attempt is due. A
        task that needs at least as much as one that found no worker since the
        last retry uses up no attempt.
        """
        key = tasks[0].key
        last_ms = self._attempted_ms.get(key)
        is_due = last_ms is None or now_ms - last_ms >= RETRY_INTERVAL_MS
        if not is_due or self._attempts_left <= 0:
            return None
        if self._unplaceable.includes(
            _unplaceable.group_of(tasks[0], pool),
            _unplaceable.amounts_of(tasks[0].spec),
        ):
            return None
        self._attempts_left -= 1
        reservation = self._add(
            tasks,
            pool,
            now_ms,
            first_ms=now_ms,
            is_ended_service=is_ended_service,
        )
        if reservation is None:
            self._attempted_ms[key] = now_ms
        return reservation

    def _add(
        self,
        tasks: Sequence[_jobs.Task],
        pool: str,
        now_ms: int,
        *,
        first_ms: int,
        is_ended_service: bool,
    ) -> Reservation | None:
        """Select workers and reserve their capacity, if possible."""
        candidates, allowed_count = self._candidates(pool, now_ms)
        if allowed_count <= 0 and is_ended_service:
            self._displace(pool, now_ms)
            candidates, allowed_count = self._candidates(pool, now_ms)
        if allowed_count <= 0:
            return None
        if not is_ended_service:
            candidates = [w for w in candidates if w.kept_for is None]
        selection = _room_selection.RoomSelection(
            candidates, tasks[0], len(tasks), now_ms
        )
        if not selection.has_room:
            self._unplaceable.add(
                _unplaceable.group_of(tasks[0], pool),
                _unplaceable.amounts_of(tasks[0].spec),
            )
            return None
        workers: list[_fleet.Worker] = []
        for task in tasks:
            workers.append(selection.select(task.avoid))
            if (
                selection.worker_count > allowed_count
                and selection.longest_ms > MAX_WIDE_GANG_TIME_MS
            ):
                return None
        reservation = Reservation(
            pool=pool,
            tasks=tuple(tasks),
            workers=tuple(workers),
            first_ms=first_ms,
            since_ms=now_ms,
            is_ended_service=is_ended_service,
            distinct_workers=tuple({w.info.id: w for w in workers}.values()),
        )
        self._by_key[reservation.key] = reservation
        for task, worker in zip(tasks, workers, strict=True):
            worker.reserve(task.spec)
            self._reserved_ids.add(worker.info.id)
            self._placement.mark_changed(worker)
        return reservation

    def _displace(self, pool: str, now_ms: int) -> None:
        """Release the newest reservation of a pool for no ended service."""
        others = [r for r in self if r.pool == pool and not r.is_ended_service]
        if others:
            self._attempted_ms[others[-1].key] = now_ms
            self.release(others[-1])

    def _candidates(
        self, pool: str, now_ms: int
    ) -> tuple[list[_fleet.Worker], int]:
        """Return workers without a reservation, and how many may get one."""
        usable = self._usable.get(pool)
        if usable is None:
            usable = self._usable[pool] = [
                worker
                for worker in self._cell.workers.values()
                if worker.info.pool == pool
                and _eligibility.is_usable(worker, now_ms)
            ]
        free = [w for w in usable if w.info.id not in self._reserved_ids]
        reserved_count = len(usable) - len(free)
        limit = max(1, int(len(usable) * MAX_RESERVED_SHARE))
        return free, limit - reserved_count
