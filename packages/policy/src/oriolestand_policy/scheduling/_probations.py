"""Start suspects of crashes apart from each other and from other tasks.

A suspect gets a worker on which no other run is new, and nothing else starts
there until a report shows that the worker survives it. If the worker crashes,
the suspect is the only one that can have done it.
"""

from collections.abc import Iterator
from collections.abc import Mapping

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _crash_handler
from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _probation_round
from oriolestand_policy.scheduling import _room_selection
from oriolestand_policy.scheduling import _takeover
from oriolestand_policy.scheduling import _unplaceable

MIN_HOLD_MS = 5_000
MAX_HOLD_MS = 30_000
"""Limits of the time after which another worker is selected. Within them it is
twice the estimated time until there is room, as runs may take longer."""

RETRY_INTERVAL_MS = 200
"""Time after which a worker is looked for again for tasks that found none."""

MAX_EXAMINED_PER_ROUND = 1_000
"""Workers that a round may examine for suspects. Each selection examines the
whole pool; there is always one selection."""


NO_HOLD: Mapping[_jobs.TaskKey, _fleet.Worker] = {}


def worker_of_member(
    placement: _placement.Placement,
    member: _jobs.Task,
    pool: str,
    held: Mapping[_jobs.TaskKey, _fleet.Worker],
) -> _fleet.Worker | None:
    """Return the worker for a member of a gang, or None.

    ``held`` are the workers that are kept for suspect members. Others may
    start there as well, as a gang is tried as a whole.
    """
    candidates = list(held.values())
    if member.key in held:
        candidates = [held[member.key]]
    else:
        worker = placement.select_worker(member, pool)
        if worker is not None:
            return worker
    fitting = (w for w in candidates if _eligibility.can_run(w, member))
    return next(fitting, None)


def is_needed(job: _jobs.Job, task: _jobs.Task) -> bool:
    """Return whether a task, or one of its gang, may only be tried."""
    if not task.spec.is_gang:
        return task.is_suspect
    return job.has_suspect_in_gang_of(task)


class Probations:
    """Workers on which suspects run, or which are kept for them."""

    def __init__(
        self,
        cell: _cell.Cell,
        placement: _placement.Placement,
        crash_handler: _crash_handler.CrashHandler,
    ) -> None:
        self._cell = cell
        self._placement = placement
        self._crash_handler = crash_handler
        self._holds: dict[_jobs.TaskKey, _probation_round.Hold] = {}
        self._on_probation: dict[str, _fleet.Worker] = {}
        self._attempted_ms: dict[_jobs.TaskKey, int] = {}
        self._unplaceable = _unplaceable.UnplaceableDemands()
        self._forget_unplaceable_ms = 0

    def begin_round(
        self, now_ms: int, former_runs: _takeover.FormerRuns
    ) -> None:
        """Clear suspects that passed, and keep workers for others."""
        marked = list(self._crash_handler.marked())
        if not (marked or self._on_probation):
            return
        kept = self._running(marked)
        suspects = [task for task in marked if task.is_suspect]
        self._drop_invalid_holds(now_ms)
        for hold in self._holds.values():
            kept.update((w.info.id, w) for w in hold.workers)
        self._hold_workers(suspects, kept, now_ms, former_runs)
        self._apply(kept, now_ms)

    def _running(self, marked: list[_jobs.Task]) -> dict[str, _fleet.Worker]:
        """Return the workers of running suspects; clear those that passed."""
        kept: dict[str, _fleet.Worker] = {}
        for task in marked:
            worker = self._cell.workers.get(task.worker)
            if worker is None:
                continue
            run = worker.runs.get((task.key, task.run))
            if run is not None and run.is_proven:
                self._crash_handler.clear(task)
            elif run is not None and task.is_suspect:
                kept[worker.info.id] = worker
        return kept

    def _drop_invalid_holds(self, now_ms: int) -> None:
        """Drop holds that are not needed, not possible or too old."""
        for key, hold in list(self._holds.items()):
            if now_ms >= hold.until_ms:
                self._attempted_ms[key] = now_ms
            elif self._is_valid(hold, now_ms):
                continue
            del self._holds[key]

    def _is_valid(self, hold: _probation_round.Hold, now_ms: int) -> bool:
        """Return whether a hold is needed and its workers may be used."""
        return all(
            task.is_suspect and task.key in self._cell.ready
            for task in hold.tasks
        ) and all(
            self._cell.workers.get(worker.info.id) is worker
            and _eligibility.is_sound(worker, now_ms)
            for worker in hold.workers
        )

    def _hold_workers(
        self,
        suspects: list[_jobs.Task],
        kept: dict[str, _fleet.Worker],
        now_ms: int,
        former_runs: _takeover.FormerRuns,
    ) -> None:
        """Keep workers for waiting suspects, within the limits of pools.

        Service tasks come first. The others have turns: a task that was tried
        goes behind those that wait by then, and before those that come later.
        """
        held = {task.key for h in self._holds.values() for task in h.tasks}
        waiting = [
            task
            for task in suspects
            if task.key in self._cell.ready
            and task.key not in held
            and not _is_paused(task, now_ms)
        ]
        self._begin_attempts(waiting, now_ms)
        waiting.sort(
            key=lambda task: (
                not task.spec.is_service,
                self._attempted_ms.get(task.key, task.ready_ms),
                _probation_round.is_likely(task),
                task.key,
            )
        )
        attempts = _probation_round.ProbationRound(self._cell, kept, now_ms)
        for task in waiting:
            if attempts.examined >= MAX_EXAMINED_PER_ROUND:
                break
            job = self._cell.jobs[task.key.job]
            route = self._cell.policy_of(job)
            if route is None or former_runs.may_include(
                job, task, self._cell.workers
            ):
                continue
            if task.key in held or not self._is_attempt_due(task, now_ms):
                continue
            hold = self._try_to_hold(job, task, route.pool, attempts)
            if hold is None:
                continue
            self._holds[hold.key] = hold
            held.update(member.key for member in hold.tasks)
            kept.update((w.info.id, w) for w in hold.workers)

    def _try_to_hold(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        pool: str,
        attempts: _probation_round.ProbationRound,
    ) -> _probation_round.Hold | None:
        """Select workers for a suspect, or for all suspects of its gang.

        Does nothing if the limit of the pool is reached, or if a task that
        needs no more has found no worker since the last retry.
        """
        group = (
            _unplaceable.group_of(task, pool),
            _probation_round.is_likely(task),
        )
        amounts = _unplaceable.amounts_of(task.spec)
        if self._unplaceable.includes(group, amounts):
            return None
        if attempts.is_full(task, pool) and not (
            task.spec.is_service and self._displace(task, pool, attempts)
        ):
            return None
        self._attempted_ms[task.key] = attempts.now_ms
        hold = self._select(job, task, pool, attempts)
        if hold is None:
            self._unplaceable.add(group, amounts)
        return hold

    def _displace(
        self,
        task: _jobs.Task,
        pool: str,
        attempts: _probation_round.ProbationRound,
    ) -> bool:
        """Give up a hold of a pool for a service task; return whether it may.

        A worker may be kept for long until it has room for another task.
        """
        for hold in reversed(self._holds.values()):
            if hold.tasks[0].spec.is_service:
                continue
            if hold.workers[0].info.pool != pool:
                continue
            del self._holds[hold.key]
            self._attempted_ms[hold.key] = attempts.now_ms
            attempts.release(hold)
            return not attempts.is_full(task, pool)
        return False

    def _begin_attempts(self, waiting: list[_jobs.Task], now_ms: int) -> None:
        """Forget the attempts of other tasks, and failures that are old."""
        keys = {task.key for task in waiting}
        self._attempted_ms = {
            key: at_ms
            for key, at_ms in self._attempted_ms.items()
            if key in keys
        }
        if now_ms >= self._forget_unplaceable_ms:
            self._forget_unplaceable_ms = now_ms + RETRY_INTERVAL_MS
            self._unplaceable = _unplaceable.UnplaceableDemands()

    def _is_attempt_due(self, task: _jobs.Task, now_ms: int) -> bool:
        """Return whether to look for a worker for a task."""
        attempted_ms = self._attempted_ms.get(task.key)
        return (
            attempted_ms is None or now_ms - attempted_ms >= RETRY_INTERVAL_MS
        )

    def _select(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        pool: str,
        attempts: _probation_round.ProbationRound,
    ) -> _probation_round.Hold | None:
        """Select workers for a suspect, or for all suspects of its gang."""
        tasks = [task]
        if task.spec.is_gang:
            members = job.gang_of(task)
            if any(member.key not in self._cell.ready for member in members):
                return None
            tasks = [member for member in members if member.is_suspect]
        if attempts.is_limit_reached(tasks, pool):
            return None
        found = self._select_workers(
            tasks, attempts.examine(pool), attempts.now_ms
        )
        if found is None:
            return None
        workers, time_ms = found
        hold_ms = max(MIN_HOLD_MS, min(MAX_HOLD_MS, 2 * time_ms))
        return _probation_round.Hold(
            tasks=tuple(tasks),
            workers=tuple(workers),
            until_ms=attempts.now_ms + hold_ms,
        )

    def _select_workers(
        self,
        tasks: list[_jobs.Task],
        candidates: list[_fleet.Worker],
        now_ms: int,
    ) -> tuple[list[_fleet.Worker], int] | None:
        """Return a worker for each suspect, or None if one finds none.

        The second value is the estimated time until all have room.

        Suspects of a gang share a worker only if there are no others: none
        of them is tried alone, and a crash counts against all of them.
        """
        demands: dict[str, _room_selection.Demand] = {}
        workers: list[_fleet.Worker] = []
        longest_ms = 0
        for task in tasks:
            hosts = [
                worker
                for worker in candidates
                if worker.info.id not in demands
                and self._placement.can_host(worker, task)
            ]
            if hosts:
                best = _cheapest(hosts, task)
            else:
                found = self._find_later(candidates, demands, task, now_ms)
                if found is None:
                    return None
                best, time_ms = found
                longest_ms = max(longest_ms, time_ms)
            demand = demands.setdefault(best.info.id, _room_selection.Demand())
            demand.add(task.spec)
            workers.append(best)
        return workers, longest_ms

    def _find_later(
        self,
        candidates: list[_fleet.Worker],
        demands: dict[str, _room_selection.Demand],
        task: _jobs.Task,
        now_ms: int,
    ) -> tuple[_fleet.Worker, int] | None:
        """Return the worker that has room for a suspect first, and when.

        The idle processors that a filling task uses cannot be kept for it.
        """
        if task.spec.is_filling:
            return None
        return _room_selection.select_worker(candidates, demands, task, now_ms)

    def _apply(self, kept: dict[str, _fleet.Worker], now_ms: int) -> None:
        """Keep exactly these workers from other tasks."""
        if kept.keys() == self._on_probation.keys() and all(
            worker is self._on_probation[worker_id]
            for worker_id, worker in kept.items()
        ):
            return
        for worker in self._on_probation.values():
            worker.is_on_probation = False
        for worker in kept.values():
            worker.is_on_probation = True
        self._on_probation = kept
        # Which workers are usable has changed.
        self._placement.plan(self._cell.workers.values(), now_ms)

    def hold_of_gang(self, task: _jobs.Task) -> _probation_round.Hold | None:
        """Return the hold of the suspects of a task's gang, if any."""
        if not task.spec.is_gang:
            return None
        step_key = task.key[:3]
        holds = self._holds.values()
        return next((h for h in holds if h.key[:3] == step_key), None)

    def holds(self) -> list[_probation_round.Hold]:
        """Return the workers that are kept for suspects."""
        return list(self._holds.values())

    def due(self) -> Iterator[_probation_round.Hold]:
        """Yield the holds whose tasks can start now."""
        for hold in list(self._holds.values()):
            if all(
                not _crashes.unproven_runs(worker)
                and self._placement.can_host(worker, task)
                for task, worker in zip(hold.tasks, hold.workers, strict=True)
            ):
                yield hold

    def on_started(self, hold: _probation_round.Hold) -> None:
        """Drop a hold whose tasks were started."""
        del self._holds[hold.key]


def _is_paused(task: _jobs.Task, now_ms: int) -> bool:
    """Return whether a suspect waits, as its workers died unheard.

    The owner knows no earlier time than that since which the task is ready.
    """
    pause_ms = _crashes.pause_ms(task.doubtful_crashes)
    return now_ms - task.ready_ms < pause_ms


def _cheapest(workers: list[_fleet.Worker], task: _jobs.Task) -> _fleet.Worker:
    """Return the worker whose crash costs least."""
    return min(workers, key=lambda worker: _rank(worker, task))


def _rank(worker: _fleet.Worker, task: _jobs.Task) -> tuple[object, ...]:
    """Rank workers by where a crash costs least, the best first."""
    addresses = {crash.address for crash in task.all_crashes}
    services = sum(run.spec.is_service for run in worker.runs.values())
    return (
        worker.info.address in addresses,
        worker.is_readmitted,
        bool(task.spec.rack) and task.spec.rack != worker.info.rack,
        worker.capacity.is_reserved,
        services,
        bool(_crashes.unproven_runs(worker)),
        len(worker.runs),
        worker.info.id,
    )
