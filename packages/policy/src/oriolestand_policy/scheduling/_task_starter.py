"""Start ready tasks on workers."""

from collections.abc import Iterator

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _ready
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _urgency

RUNS_PER_EPOCH = 1_000_000
"""Run numbers per epoch. The owner of epoch E uses the numbers from E times
this value, so that run numbers of different owners never collide."""

MAX_STARTS_PER_ROUND = 200

MAX_FAILED_FIT_CHECKS_PER_ROUND = 3_000
"""Maximum number of fit checks, one per worker, that a round spends on filling
tasks that fit on no worker. Under overload hundreds of jobs wait, so that
without a limit a round would take too long."""


class TaskStarter:
    """Select workers for ready tasks and queue the effects to start them."""

    def __init__(
        self, cell: _cell.Cell, placement: _placement.Placement
    ) -> None:
        self._cell = cell
        self._placement = placement
        self._urgency_ranks = _urgency.UrgencyRanks()
        self._last_run_offset = 0

    def run(
        self, now_ms: int, wall_ms: int, is_takeover_complete: bool
    ) -> None:
        """Start ready tasks, the most urgent first, where they fit.

        ``is_takeover_complete`` is whether all workers of the former owner
        have reported their runs, or the time to wait for them is over. Until
        then, tasks that the former owner may have started wait.
        """
        self._placement.plan(self._cell.workers.values(), now_ms)
        self._start_ready(now_ms, wall_ms, is_takeover_complete)

    def _start_ready(
        self, now_ms: int, wall_ms: int, is_takeover_complete: bool
    ) -> None:
        """Start ready tasks, within the limits per round."""
        unplaceable_classes: set[tuple[object, ...]] = set()
        started = 0
        # A failed placement checks every worker.
        failed_placements_left = MAX_FAILED_FIT_CHECKS_PER_ROUND // max(
            1, len(self._cell.workers)
        )
        for occurrence_key, step in self._steps_by_urgency(wall_ms):
            job = self._cell.jobs[occurrence_key[0]]
            if job.needs_probe and not is_takeover_complete:
                continue
            route = self._cell.routes.get(job.spec.route)
            if route is None:
                continue
            spec = job.spec.steps[step]
            if spec.is_filling and failed_placements_left < 0:
                continue
            # Once a task of a class cannot be placed, the round skips the rest
            # of the class.
            demand_class = (
                route.pool,
                spec.cpu,
                spec.memory_mb,
                spec.is_filling,
                spec.is_service,
                spec.label,
                (*occurrence_key, step)
                if spec.max_per_worker or spec.is_gang
                else None,
            )
            if demand_class in unplaceable_classes:
                continue
            for task in self._cell.ready.tasks_of(occurrence_key, step):
                if started >= MAX_STARTS_PER_ROUND:
                    return
                if task.key not in self._cell.ready:
                    continue
                if spec.is_gang:
                    newly_started = self._start_gang(job, task, route, now_ms)
                else:
                    newly_started = self._start_task(job, task, route, now_ms)
                started += newly_started
                if not newly_started:
                    unplaceable_classes.add(demand_class)
                    failed_placements_left -= spec.is_filling
                    break

    def _steps_by_urgency(
        self, wall_ms: int
    ) -> Iterator[tuple[_ready.OccurrenceKey, int]]:
        """Yield the steps with ready tasks, the most urgent first."""
        ranks: dict[_ready.OccurrenceKey, tuple[int, ...]] = {}
        self._urgency_ranks.begin_round()
        for key, task in self._cell.ready.occurrences():
            job = self._cell.jobs[key[0]]
            route = self._cell.routes.get(job.spec.route)
            if route is None:
                ranks[key] = (0,)
                continue
            urgency = self._urgency_ranks.rank(job, key[1], route, wall_ms)
            ranks[key] = (route.priority, task.spec.is_service, *urgency)
        for key in sorted(ranks, key=lambda k: (ranks[k], k)):
            for step in self._cell.ready.steps_of(key):
                yield key, step

    def _start_task(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        route: _specs.RoutePolicy,
        now_ms: int,
    ) -> int:
        """Start a task; return 1, or 0 if no worker can run it."""
        worker = self._placement.select_worker(task, route.pool)
        if worker is None:
            return 0
        self._last_run_offset += 1
        number = self._cell.epoch * RUNS_PER_EPOCH + self._last_run_offset
        self._assign(job, task, worker, number, now_ms)
        return 1

    def _start_gang(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        route: _specs.RoutePolicy,
        now_ms: int,
    ) -> int:
        """Start all members of a gang or none; return the number started."""
        members = job.occurrence(task.key.occurrence)[task.key.step]
        if any(m.key not in self._cell.ready for m in members):
            return 0
        self._last_run_offset += 1
        number = self._cell.epoch * RUNS_PER_EPOCH + self._last_run_offset
        placed: list[tuple[_fleet.Worker, _fleet.Run]] = []
        for member in members:
            worker = self._placement.select_worker(member, route.pool)
            if worker is None:
                break
            # Reserve the capacity now, so that the selection for the next
            # member accounts for it. The reservations are undone below.
            run = self._make_run(member, number, now_ms)
            worker.add(run)
            placed.append((worker, run))
        all_placed = len(placed) == len(members)
        for worker, run in placed:
            worker.drop(run)
        if not all_placed:
            return 0
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), '')
        for member, (worker, _) in zip(members, placed, strict=True):
            member.checkpoint = checkpoint
            self._assign(job, member, worker, number, now_ms)
        return len(members)

    def _make_run(
        self, task: _jobs.Task, number: int, now_ms: int
    ) -> _fleet.Run:
        """Return a new run of a task, in its starting phase."""
        return _fleet.Run(
            key=task.key,
            number=number,
            spec=task.spec,
            phase=_fleet.RunPhase.STARTING,
            since_ms=now_ms,
            progress_changed_ms=now_ms,
        )

    def _assign(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        worker: _fleet.Worker,
        number: int,
        now_ms: int,
    ) -> None:
        """Assign a task to a worker and queue the effect to start it."""
        worker.add(self._make_run(task, number, now_ms))
        self._cell.ready.discard(task.key)
        task.worker = worker.info.id
        task.run = number
        task.started_ms = now_ms
        if not job.has_started:
            job.has_started = True
            self._cell.save(job)
        self._cell.effects.append(
            _effects.StartTask(
                worker=worker.info.id,
                key=task.key,
                run=number,
                payload=job.spec.payload,
                checkpoint=task.checkpoint,
            )
        )
