"""Move service tasks off the workers of evacuated failure domains.

Capacity elsewhere comes first: a task is stopped only once another worker has
room that is kept for it. If there is none, it keeps running where it is. Batch
tasks run on to their end.
"""

from collections.abc import Iterator
import dataclasses
import enum

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _room_selection
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _unplaceable

EVACUATED = 'evacuated'
"""Reason of the stop orders."""

PLAN_INTERVAL_MS = 200
"""Time between searches for room; each may examine all workers of a pool."""

ROOM_INTERVAL_MS = 1_000
"""The same while all tasks that are left wait for room. A search for 8,000
tasks takes 40 to 75 ms."""

MAX_MOVES_PER_PLAN = 20
"""Most tasks that are stopped at a time. Their ends and starts share rounds
and records with other work."""

MAX_WAIT_FOR_ROOM_MS = 10_000
"""Time after which another task gets its turn to have a worker make room."""

MAX_STOP_MS = 10_000
"""Time after which room is not kept any more for a task that was stopped. Its
worker answers within a lease, or the lease ends."""


class Remaining(enum.Enum):
    """What a task that runs in an evacuated domain waits for.

    END: it is batch work and runs on. STOP: its stop is under way. START: its
    start was sent and is not confirmed. GANG: members of a gang do not move.
    SUSPECT: it may crash its worker and is not tried elsewhere meanwhile.
    SILENT: its worker does not report. STEP: too many tasks of its step are
    unavailable. ROOM: no other worker has room. TURN: it is due later.
    """

    END = 'end'
    STOP = 'stop'
    START = 'start'
    GANG = 'gang'
    SUSPECT = 'suspect'
    SILENT = 'silent'
    STEP = 'step'
    ROOM = 'room'
    TURN = 'turn'


@dataclasses.dataclass(slots=True, kw_only=True)
class Move:
    """A service task that moves, and the worker that keeps room for it.

    ``since_ms`` is when the worker was selected, or when the run was stopped.
    """

    job: _jobs.Job
    task: _jobs.Task
    run: _fleet.Run
    source: _fleet.Worker
    target: _fleet.Worker
    since_ms: int
    is_stopped: bool = False


class Evacuation:
    """Moves of service tasks off evacuated workers."""

    def __init__(
        self, cell: _cell.Cell, placement: _placement.Placement
    ) -> None:
        self._cell = cell
        self._placement = placement
        self._moves: dict[_jobs.TaskKey, Move] = {}
        self._verdicts: dict[_jobs.TaskKey, Remaining] = {}
        self._waited_ms: dict[_jobs.TaskKey, int] = {}
        self._next_plan_ms = 0
        self._next_search_ms = 0

    def due(self, now_ms: int) -> Iterator[Move]:
        """Drop outdated moves; yield those whose run has ended.

        Their room is returned, and the caller starts them in it at once.
        """
        for move in list(self._moves.values()):
            if move.task.key in self._cell.ready:
                self._drop(move)
                if (
                    self._is_target_valid(move, now_ms)
                    and not move.task.is_suspect
                    and self._placement.can_host(move.target, move.task)
                ):
                    yield move
            elif not self._is_valid(move, now_ms):
                self._drop(move)

    def _is_valid(self, move: Move, now_ms: int) -> bool:
        """Return whether a move of a task that runs may go on."""
        run = move.run
        if (
            self._cell.workers.get(move.source.info.id) is not move.source
            or move.source.runs.get((run.key, run.number)) is not run
            or not self._is_target_valid(move, now_ms)
        ):
            return False
        if move.is_stopped:
            return now_ms - move.since_ms < MAX_STOP_MS
        return (
            move.source.is_evacuated
            and _obstacle(move.source, run, move.task, now_ms) is None
            and now_ms - move.since_ms < MAX_WAIT_FOR_ROOM_MS
        )

    def _is_target_valid(self, move: Move, now_ms: int) -> bool:
        """Return whether the task may start on the selected worker."""
        target = move.target
        return (
            self._cell.workers.get(target.info.id) is target
            and _eligibility.is_usable(target, now_ms)
            and _eligibility.is_allowed(target, move.task)
        )

    def _drop(self, move: Move) -> None:
        """Forget a move and return the room that is kept for it."""
        del self._moves[move.task.key]
        move.target.unreserve(move.task.spec)
        self._placement.mark_changed(move.target)

    def plan(self, now_ms: int) -> None:
        """Stop tasks for which there is room, and let workers make room."""
        if not self._cell.evacuated_domains:
            self._verdicts.clear()
            self._waited_ms.clear()
            return
        if now_ms < self._next_plan_ms:
            return
        self._next_plan_ms = now_ms + PLAN_INTERVAL_MS
        plan = _Plan(self._cell, now_ms)
        for move in self._moves.values():
            if not move.is_stopped:
                self._continue(move, plan, now_ms)
        if now_ms >= self._next_search_ms:
            self._search(plan, now_ms)

    def _search(self, plan: '_Plan', now_ms: int) -> None:
        """Look for room for the tasks that do not move yet."""
        self._verdicts.clear()
        for candidate in self._candidates(now_ms):
            self._verdicts[candidate.task.key] = self._try_to_move(
                candidate, plan, now_ms
            )
        self._waited_ms = {
            key: since_ms
            for key, since_ms in self._waited_ms.items()
            if key in self._verdicts
        }
        if set(self._verdicts.values()) == {Remaining.ROOM}:
            self._next_search_ms = now_ms + ROOM_INTERVAL_MS

    def _continue(self, move: Move, plan: '_Plan', now_ms: int) -> None:
        """Stop a task if the worker that makes room for it has done so."""
        plan.waiting_pools.add(move.target.info.pool)
        if not move.target.capacity.has_room_for_reserved():
            return
        if plan.may_stop(move.job, move.task):
            self._stop(move, plan, now_ms)

    def _candidates(self, now_ms: int) -> list['_Candidate']:
        """Return the tasks that may move, those that come first at first.

        A task that had a worker make room in vain goes behind the others.
        """
        found: list[tuple[tuple[int, int, _jobs.TaskKey], _Candidate]] = []
        for worker in self._cell.workers.values():
            if not worker.is_evacuated:
                continue
            for run in worker.runs.values():
                if not run.spec.is_service or run.key in self._moves:
                    continue
                candidate = self._candidate(worker, run, now_ms)
                if candidate is None:
                    continue
                rank = (
                    candidate.route.priority,
                    self._waited_ms.get(run.key, 0),
                    run.key,
                )
                found.append((rank, candidate))
        return [entry[1] for entry in sorted(found, key=lambda e: e[0])]

    def _candidate(
        self, worker: _fleet.Worker, run: _fleet.Run, now_ms: int
    ) -> '_Candidate | None':
        """Return a run as a candidate for a move, or None if it stays."""
        job = self._cell.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        route = self._cell.policy_of(job) if job else None
        if job is None or task is None or route is None:
            return None
        has_ended = job.outcome is not None or task.run != run.number
        if has_ended or _obstacle(worker, run, task, now_ms) is not None:
            return None
        return _Candidate(
            job=job, task=task, run=run, source=worker, route=route
        )

    def _try_to_move(
        self, candidate: '_Candidate', plan: '_Plan', now_ms: int
    ) -> Remaining:
        """Stop a task if there is room elsewhere; return what it waits for."""
        task = candidate.task
        pool = candidate.route.pool
        if plan.stopped >= MAX_MOVES_PER_PLAN:
            return Remaining.TURN
        if not plan.may_stop(candidate.job, task):
            return Remaining.STEP
        group = _unplaceable.group_of(task, pool)
        amounts = _unplaceable.amounts_of(task.spec)
        if plan.unplaceable.includes(group, amounts):
            return Remaining.ROOM
        target = self._placement.select_worker(task, pool)
        if target is not None:
            self._stop(self._add(candidate, target, now_ms), plan, now_ms)
            return Remaining.STOP
        if pool not in plan.waiting_pools:
            target = self._worker_that_makes_room(task, pool, now_ms)
            if target is not None:
                plan.waiting_pools.add(pool)
                self._waited_ms[task.key] = now_ms
                self._add(candidate, target, now_ms)
                return Remaining.ROOM
        plan.unplaceable.add(group, amounts)
        return Remaining.ROOM

    def _worker_that_makes_room(
        self, task: _jobs.Task, pool: str, now_ms: int
    ) -> _fleet.Worker | None:
        """Return the worker whose batch runs leave room first, or None."""
        workers = [
            worker
            for worker in self._cell.workers.values()
            if worker.info.pool == pool
            and not worker.capacity.is_reserved
            and _eligibility.is_usable(worker, now_ms)
        ]
        found = _room_selection.select_worker(workers, {}, task, now_ms)
        return found[0] if found is not None else None

    def _add(
        self, candidate: '_Candidate', target: _fleet.Worker, now_ms: int
    ) -> Move:
        """Keep room on a worker for a task."""
        move = Move(
            job=candidate.job,
            task=candidate.task,
            run=candidate.run,
            source=candidate.source,
            target=target,
            since_ms=now_ms,
        )
        self._moves[move.task.key] = move
        target.reserve(move.task.spec)
        self._placement.mark_changed(target)
        return move

    def _stop(self, move: Move, plan: '_Plan', now_ms: int) -> None:
        """Stop the run of a task that has room elsewhere."""
        move.is_stopped = True
        move.since_ms = now_ms
        plan.count_stop(move.task)
        key, source = move.run.key, move.source.info.id
        self._cell.log(
            'service_moves',
            key.job,
            task=str(key),
            worker=source,
            target=move.target.info.id,
        )
        self._cell.stop_run(source, key, move.run.number, EVACUATED)
        self._cell.mark_stop_sent(move.run, now_ms)

    def remaining(
        self, now_ms: int
    ) -> dict[tuple[_specs.TaskKind, Remaining], int]:
        """Return the number of runs in evacuated domains, with zeros."""
        counts = {
            (kind, reason): 0
            for kind in _specs.TaskKind
            for reason in Remaining
            if reason is Remaining.STOP
            or (reason is Remaining.END) != (kind is _specs.TaskKind.SERVICE)
        }
        for (_, kind, reason), count in self.by_domain(now_ms).items():
            counts[kind, reason] += count
        return counts

    def by_domain(
        self, now_ms: int
    ) -> dict[tuple[str, _specs.TaskKind, Remaining], int]:
        """Return the number of runs in each evacuated domain, by wait."""
        counts: dict[tuple[str, _specs.TaskKind, Remaining], int] = {}
        for worker in self._cell.workers.values():
            if not worker.is_evacuated:
                continue
            for run in worker.runs.values():
                reason = self._reason(worker, run, now_ms)
                key = (worker.info.failure_domain, run.spec.kind, reason)
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _reason(
        self, worker: _fleet.Worker, run: _fleet.Run, now_ms: int
    ) -> Remaining:
        """Return what a run in an evacuated domain waits for."""
        if run.stop_sent_ms >= 0:
            return Remaining.STOP
        if not run.spec.is_service:
            return Remaining.END
        if run.key in self._moves:
            return Remaining.ROOM
        job = self._cell.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if task is not None:
            obstacle = _obstacle(worker, run, task, now_ms)
            if obstacle is not None:
                return obstacle
        return self._verdicts.get(run.key, Remaining.TURN)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """A service task on an evacuated worker that may be moved."""

    job: _jobs.Job
    task: _jobs.Task
    run: _fleet.Run
    source: _fleet.Worker
    route: _specs.RoutePolicy


class _Plan:
    """What a search for room has found so far.

    ``waiting_pools`` are those in which a worker makes room for a task.
    """

    def __init__(self, cell: _cell.Cell, now_ms: int) -> None:
        self._cell = cell
        self._now_ms = now_ms
        self._unavailable: dict[tuple[str, int, int], int] = {}
        self.unplaceable = _unplaceable.UnplaceableDemands()
        self.waiting_pools: set[str] = set()
        self.stopped = 0

    def may_stop(self, job: _jobs.Job, task: _jobs.Task) -> bool:
        """Return whether one more task of a step may be unavailable.

        Without a limit of the step, its tasks move one at a time.
        """
        key = task.key
        if key[:3] not in self._unavailable:
            tasks = job.occurrence(key.occurrence)[key.step]
            count = sum(not self._is_available(other) for other in tasks)
            self._unavailable[key[:3]] = count
        return self._unavailable[key[:3]] < max(1, task.spec.max_unavailable)

    def count_stop(self, task: _jobs.Task) -> None:
        """Count a task that is stopped."""
        self.stopped += 1
        self._unavailable[task.key[:3]] += 1

    def _is_available(self, task: _jobs.Task) -> bool:
        """Return whether a task runs and is not being stopped.

        A task on a silent worker may have ended with it.
        """
        worker = self._cell.workers.get(task.worker)
        run = worker.runs.get((task.key, task.run)) if worker else None
        return (
            worker is not None
            and run is not None
            and not _is_silent(worker, self._now_ms)
            and run.phase is _fleet.RunPhase.RUNNING
            and run.stop_sent_ms < 0
        )


def _obstacle(
    worker: _fleet.Worker, run: _fleet.Run, task: _jobs.Task, now_ms: int
) -> Remaining | None:
    """Return why a run is not moved, whatever room there is."""
    if run.stop_sent_ms >= 0:
        return Remaining.STOP
    if run.phase is not _fleet.RunPhase.RUNNING:
        return Remaining.START
    if run.spec.is_gang:
        return Remaining.GANG
    if task.is_suspect:
        return Remaining.SUSPECT
    if _is_silent(worker, now_ms):
        return Remaining.SILENT
    return None


def _is_silent(worker: _fleet.Worker, now_ms: int) -> bool:
    """Return whether the last report of a worker is too old."""
    return now_ms - worker.last_report_ms > worker.max_report_age_ms
