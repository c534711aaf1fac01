"""Start ready tasks on workers."""

from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _crash_handler
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _evacuation
from oriolestand_policy.scheduling import _filling_turns
from oriolestand_policy.scheduling import _fit_budget
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _gang_fit
from oriolestand_policy.scheduling import _idle_reservations
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _load
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _overdue
from oriolestand_policy.scheduling import _pacing
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _placement_round
from oriolestand_policy.scheduling import _preemption
from oriolestand_policy.scheduling import _probation_round
from oriolestand_policy.scheduling import _probations
from oriolestand_policy.scheduling import _ready
from oriolestand_policy.scheduling import _reservations
from oriolestand_policy.scheduling import _run_numbers
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _takeover
from oriolestand_policy.scheduling import _unplaceable
from oriolestand_policy.scheduling import _urgency

RESERVATION_INTERVAL_MS = 1_000
"""Time between reservations for tasks other than ended services; each is for
one task or gang of a pool. Under overload hundreds of late jobs are overdue,
and jobs that can still be on time would wait for all of them."""


_StepTasks = tuple[_ready.OccurrenceKey, int, list[_jobs.Task]]
_StepClass = tuple[str, int, int, bool]
_Entry = tuple[tuple[int, ...], _ready.OccurrenceKey, bool]
"""Rank of an occurrence, its key, and whether only one task of it has it."""


class TaskStarter:
    """Select workers for ready tasks and queue the effects to start them."""

    def __init__(
        self,
        cell: _cell.Cell,
        placement: _placement.Placement,
        crash_handler: _crash_handler.CrashHandler,
    ) -> None:
        self._cell = cell
        self._placement = placement
        self._crash_handler = crash_handler
        self._probations = _probations.Probations(
            cell, placement, crash_handler
        )
        self._reservations = _reservations.Reservations(cell, placement)
        self._idle_reservations = _idle_reservations.IdleReservations(
            cell, placement
        )
        self._preemption = _preemption.Preemption(cell)
        self._evacuation = _evacuation.Evacuation(cell, placement)
        self._next_reservations_ms = 0
        self._filling_turns = _filling_turns.FillingTurns(cell)
        self._fit_budget = _fit_budget.FitBudget()
        self._gang_budget = _gang_fit.GangBudget()
        self._urgency_ranks = _urgency.UrgencyRanks(cell.run_times, cell.ready)
        self.run_numbers = _run_numbers.RunNumbers(cell.epoch)
        # Why the last round passed over steps and single tasks.
        self._held_steps: dict[_StepClass, _obstacles.Hold] = {}
        self._held_tasks: dict[_jobs.TaskKey, _obstacles.Hold] = {}

    @property
    def evacuation(self) -> _evacuation.Evacuation:
        """Return the moves off evacuated workers."""
        return self._evacuation

    @property
    def overdue_steps(self) -> Sequence[_overdue.OverdueStep]:
        """Return the filling steps that the last round has found overdue."""
        return self._filling_turns.overdue_steps

    @property
    def placement(self) -> _placement.Placement:
        """Return the strategy that selects workers."""
        return self._placement

    def hold_of(self, task: _jobs.Task) -> _obstacles.Hold:
        """Return why the last round did not start a ready task."""
        key = task.key
        if _probations.is_needed(self._cell.jobs[key.job], task):
            return _obstacles.Hold.SUSPECT
        hold = self._held_tasks.get(key)
        if hold is None:
            hold = self._held_steps.get(_class_of(task))
        return _obstacles.Hold.NOT_REACHED if hold is None else hold

    def run(
        self,
        now_ms: int,
        wall_ms: int,
        former_runs: _takeover.FormerRuns,
        max_starts: int,
    ) -> None:
        """Start overdue tasks, then others, the most urgent first.

        Tasks that may be among ``former_runs`` wait. ``max_starts`` limits
        the starts of tasks that are not overdue.
        """
        self._placement.plan(self._cell.workers.values(), now_ms)
        self._start_probations(now_ms, former_runs)
        self._start_reserved(now_ms, former_runs)
        self._start_moved(now_ms)
        self._start_kept(now_ms, former_runs)
        self._start_ended_services(now_ms, former_runs)
        self._make_room_for_services(now_ms)
        self._evacuation.plan(now_ms)
        if now_ms >= self._next_reservations_ms:
            self._next_reservations_ms = now_ms + RESERVATION_INTERVAL_MS
            self._reserve_for_overdue(now_ms, wall_ms, former_runs)
        overdue_steps = self._filling_turns.begin_round(
            now_ms, wall_ms, self._idle_reservations
        )
        self._fit_budget.begin_round(len(self._cell.workers))
        self._start_ready(
            overdue_steps, now_ms, wall_ms, former_runs, max_starts
        )
        self._fit_budget.end_round()
        self._keep_idle(overdue_steps, now_ms, former_runs)
        self._filling_turns.end_round(now_ms, self._idle_reservations)

    def _start_probations(
        self, now_ms: int, former_runs: _takeover.FormerRuns
    ) -> None:
        """Start suspects of crashes on workers that are kept for them."""
        self._probations.begin_round(now_ms, former_runs)
        for hold in self._probations.due():
            job = self._cell.jobs[hold.key.job]
            if hold.tasks[0].spec.is_gang:
                if not self._start_suspect_gang(job, hold, now_ms):
                    continue
            else:
                self._assign_all(job, hold.tasks, hold.workers, now_ms)
            for task, worker in zip(hold.tasks, hold.workers, strict=True):
                self._placement.mark_changed(worker)
                self._crash_handler.watch(task, worker)
            self._probations.on_started(hold)

    def _start_suspect_gang(
        self, job: _jobs.Job, hold: _probation_round.Hold, now_ms: int
    ) -> int:
        """Start a gang with suspects; return the number started.

        If capacity is reserved for its other members, it waits for that.
        """
        route = self._cell.policy_of(job)
        if route is None:
            return 0
        workers = dict(hold.worker_of())
        reservation = self._reservations.of_gang(hold.key)
        if reservation is not None:
            if not reservation.is_fulfilled():
                return 0
            self._reservations.release(reservation)
            workers = {**reservation.worker_of(), **workers}
        return self._start_gang(job, hold.tasks[0], route, now_ms, workers)

    def _start_reserved(
        self, now_ms: int, former_runs: _takeover.FormerRuns
    ) -> None:
        """Start the tasks whose reservations are fulfilled."""
        self._reservations.begin_round(now_ms)
        for reservation in self._reservations:
            if not reservation.is_fulfilled():
                continue
            job = self._cell.jobs[reservation.key.job]
            if self._may_run(job, reservation.tasks, former_runs):
                continue
            if _probations.is_needed(job, reservation.tasks[0]):
                # The suspects of the gang start with these members.
                continue
            self._reservations.release(reservation)
            if len(reservation.tasks) < len(job.gang_of(reservation.tasks[0])):
                # The other members are no suspects any more.
                continue
            self._assign_all(
                job, reservation.tasks, reservation.workers, now_ms
            )
            for worker in reservation.workers:
                self._placement.mark_changed(worker)

    def _start_moved(self, now_ms: int) -> None:
        """Start service tasks that were stopped in an evacuated domain."""
        for move in self._evacuation.due(now_ms):
            self._assign_all(move.job, [move.task], [move.target], now_ms)
            self._placement.mark_changed(move.target)

    def _start_kept(
        self, now_ms: int, former_runs: _takeover.FormerRuns
    ) -> None:
        """Start the filling tasks whose workers have become idle enough."""
        self._idle_reservations.begin_round(now_ms)
        for reservation in self._idle_reservations:
            task, worker = reservation.task, reservation.worker
            if self._may_run(
                self._cell.jobs[task.key.job], [task], former_runs
            ):
                continue
            if not self._placement.select_kept(worker, task):
                continue
            self._idle_reservations.release(reservation)
            job = self._cell.jobs[task.key.job]
            self._assign_all(job, [task], [worker], now_ms)
            self._placement.mark_changed(worker)

    def _keep_idle(
        self,
        overdue_steps: Sequence[_overdue.OverdueStep],
        now_ms: int,
        former_runs: _takeover.FormerRuns,
    ) -> None:
        """Keep idle processors for the oldest overdue filling tasks."""
        for overdue in overdue_steps:
            for task in overdue.tasks:
                if not self._idle_reservations.has_attempts:
                    return
                if task.key not in self._cell.ready:
                    continue
                if task.spec.is_gang or task.key in self._idle_reservations:
                    continue
                job = self._cell.jobs[task.key.job]
                if former_runs.may_include(job, task, self._cell.workers):
                    continue
                if _probations.is_needed(job, task):
                    continue
                found = self._idle_reservations.add(task, overdue.pool, now_ms)
                if found is not None:
                    self._log_reserved(job, task, 1, found.worker, now_ms)

    def _start_ended_services(
        self, now_ms: int, former_runs: _takeover.FormerRuns
    ) -> None:
        """Start overdue ended services, or reserve capacity for them.

        Reservations have turns: a task that was tried goes behind those that
        wait by then, so that services that fit nowhere do not hold up others.
        """
        unplaceable: set[_DemandClass] = set()
        waiting: list[_overdue.OverdueTask] = []
        for overdue in _overdue.overdue_ended_services(
            self._cell, now_ms, former_runs
        ):
            task = overdue.task
            job = self._cell.jobs[task.key.job]
            if task.key not in self._cell.ready:
                # It was started with the rest of its gang.
                continue
            if _probations.is_needed(job, task):
                continue
            demand_class = _demand_class(task, overdue.pool)
            if demand_class not in unplaceable:
                route = self._cell.policy_of(job)
                if route is None:
                    continue
                if task.spec.is_gang:
                    is_started = self._start_gang(job, task, route, now_ms)
                else:
                    is_started = self._start_task(job, task, route, now_ms)
                if is_started:
                    continue
                unplaceable.add(demand_class)
            waiting.append(overdue)
        waiting.sort(
            key=lambda overdue: max(
                self._reservations.attempted_ms(overdue.task.key),
                overdue.task.ready_ms,
            )
        )
        for overdue in waiting:
            if overdue.task.key in self._cell.ready:
                job = self._cell.jobs[overdue.task.key.job]
                self._reserve(job, overdue, now_ms)

    def _make_room_for_services(self, now_ms: int) -> None:
        """Stop batch runs where room is kept for ended service tasks."""
        for reservation in self._reservations:
            if reservation.is_ended_service and self._preemption.is_due(
                reservation.tasks, now_ms
            ):
                for worker, demand in reservation.demands():
                    self._preemption.make_room(worker, demand, now_ms)
        for hold in self._probations.holds():
            if self._preemption.is_due(hold.tasks, now_ms):
                for worker, demand in hold.demands():
                    self._preemption.make_room(worker, demand, now_ms)

    def _reserve_for_overdue(
        self, now_ms: int, wall_ms: int, former_runs: _takeover.FormerRuns
    ) -> None:
        """Reserve capacity for the oldest overdue task of each pool.

        Tasks that no worker can make room for are passed over.
        """
        # Ended services may have used up the attempts.
        self._reservations.allow_attempts()
        served_pools = self._reservations.pools_of_other_tasks()
        unplaceable: set[_DemandClass] = set()
        examined_gangs: set[tuple[str, int, int]] = set()
        overdue_tasks = sorted(
            _overdue.overdue_tasks(self._cell, now_ms, wall_ms),
            key=lambda o: self._reservations.attempted_ms(o.task.key),
        )
        for overdue in overdue_tasks:
            job = self._cell.jobs[overdue.task.key.job]
            if overdue.pool in served_pools:
                continue
            if overdue.task.spec.is_gang:
                # What holds for one member holds for all of them.
                gang = overdue.task.key[:3]
                if gang in examined_gangs:
                    continue
                examined_gangs.add(gang)
            if former_runs.may_include(job, overdue.task, self._cell.workers):
                continue
            if _probations.is_needed(job, overdue.task) and (
                self._probations.hold_of_gang(overdue.task) is None
            ):
                continue
            demand_class = _demand_class(overdue.task, overdue.pool)
            if demand_class in unplaceable:
                continue
            if self._reserve(job, overdue, now_ms):
                served_pools.add(overdue.pool)
            else:
                unplaceable.add(demand_class)

    def _reserve(
        self, job: _jobs.Job, overdue: _overdue.OverdueTask, now_ms: int
    ) -> bool:
        """Reserve capacity for a task or its gang.

        Return False if no worker can make room for it.
        """
        tasks = [overdue.task]
        if overdue.task.spec.is_gang:
            tasks = job.gang_of(overdue.task)
            if not self._is_gang_ready(overdue.task):
                return False
            hold = self._probations.hold_of_gang(overdue.task)
            if hold is not None:
                # The workers of the suspects are kept for them already.
                tasks = [member for member in tasks if not member.is_suspect]
                if not tasks:
                    return False
        if tasks[0].key in self._reservations:
            return True
        reservation = self._reservations.add(
            tasks,
            overdue.pool,
            now_ms,
            is_ended_service=overdue.is_ended_service,
        )
        if reservation is None:
            return False
        self._log_reserved(
            job, overdue.task, len(tasks), reservation.workers[0], now_ms
        )
        return True

    def _log_reserved(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        count: int,
        worker: _fleet.Worker,
        now_ms: int,
    ) -> None:
        """Log that capacity is reserved for a task or its gang."""
        self._cell.log(
            'capacity_reserved',
            job.spec.id,
            task=str(task.key),
            kind=task.spec.kind.value,
            waited_ms=now_ms - task.ready_ms,
            worker=worker.info.id,
            tasks=count,
        )

    def _start_ready(
        self,
        overdue_steps: Sequence[_overdue.OverdueStep],
        now_ms: int,
        wall_ms: int,
        former_runs: _takeover.FormerRuns,
        max_starts: int,
    ) -> None:
        """Start ready tasks, within the limits per round."""
        unplaceable = _unplaceable.UnplaceableDemands()
        started = 0
        self._held_steps.clear()
        self._held_tasks.clear()
        # With few starts, a service task would wait behind all others.
        is_busy = max_starts <= _load.MAX_STARTS_WHEN_BUSY
        for occurrence_key, _, tasks in self._in_order(
            overdue_steps, wall_ms, is_busy
        ):
            job = self._cell.jobs[occurrence_key[0]]
            if not former_runs.are_known or self._cell.late_tasks:
                tasks = self._without_former_runs(job, tasks, former_runs)
                if not tasks:
                    continue
            route = self._cell.policy_of(job)
            if route is None:
                for task in tasks:
                    self._held_tasks[task.key] = _obstacles.Hold.NO_ROUTE
                continue
            started += self._start_step(
                job,
                tasks,
                route,
                unplaceable,
                max_starts - started,
                now_ms,
            )
            if started >= max_starts:
                return

    def _start_step(
        self,
        job: _jobs.Job,
        tasks: Sequence[_jobs.Task],
        route: _specs.RoutePolicy,
        unplaceable: _unplaceable.UnplaceableDemands,
        max_starts: int,
        now_ms: int,
    ) -> int:
        """Start ready tasks of a step; return the number started.

        Its filling tasks may differ in what they need, see ``_class_of``.
        """
        started = 0
        groups: dict[bool, Hashable] = {}
        held: set[bool] = set()
        amounts = _unplaceable.amounts_of(tasks[0].spec)
        for task in tasks:
            if started >= max_starts:
                break
            if task.may_be_slowed in held:
                continue
            group = groups.get(task.may_be_slowed)
            if group is None:
                group = _unplaceable.group_of(task, route.pool)
                groups[task.may_be_slowed] = group
                hold = self._hold_before(task, group, amounts, unplaceable)
                if hold is not None:
                    self._held_steps.setdefault(_class_of(task), hold)
                    held.add(task.may_be_slowed)
                    continue
            if task.key not in self._cell.ready:
                continue
            if _probations.is_needed(job, task):
                continue
            if task.spec.is_gang:
                newly_started = self._start_gang(job, task, route, now_ms)
            else:
                newly_started = self._start_task(job, task, route, now_ms)
            started += newly_started
            if not newly_started:
                held.add(task.may_be_slowed)
                self._held_steps[_class_of(task)] = self._reason_of(job, task)
                unplaceable.add(group, amounts)
                if task.spec.is_filling:
                    self._fit_budget.on_failed((group, amounts))
        return started

    def _hold_before(
        self,
        task: _jobs.Task,
        group: Hashable,
        amounts: _unplaceable.Amounts,
        unplaceable: _unplaceable.UnplaceableDemands,
    ) -> _obstacles.Hold | None:
        """Return why tasks of a class are not examined in this round."""
        if unplaceable.includes(group, amounts):
            return _obstacles.Hold.NO_WORKER
        if task.spec.is_filling and (
            not self._fit_budget.allows((group, amounts))
        ):
            return _obstacles.Hold.FIT_BUDGET
        return None

    def _may_run(
        self,
        job: _jobs.Job,
        tasks: Sequence[_jobs.Task],
        former_runs: _takeover.FormerRuns,
    ) -> bool:
        """Return whether one of some tasks may run without being known."""
        return any(
            former_runs.may_include(job, task, self._cell.workers)
            for task in tasks
        )

    def _without_former_runs(
        self,
        job: _jobs.Job,
        tasks: Sequence[_jobs.Task],
        former_runs: _takeover.FormerRuns,
    ) -> list[_jobs.Task]:
        """Return the tasks that cannot run without being known."""
        startable: list[_jobs.Task] = []
        for task in tasks:
            if former_runs.may_include(job, task, self._cell.workers):
                self._held_tasks[task.key] = _obstacles.Hold.FORMER_RUNS
            else:
                startable.append(task)
        return startable

    def _reason_of(self, job: _jobs.Job, task: _jobs.Task) -> _obstacles.Hold:
        """Return why a task or its gang could not be started."""
        if task.spec.is_gang and not self._is_gang_ready(task):
            return _obstacles.Hold.INCOMPLETE
        return _obstacles.Hold.NO_WORKER

    def _in_order(
        self,
        overdue_steps: Sequence[_overdue.OverdueStep],
        wall_ms: int,
        are_services_first: bool,
    ) -> Iterator[_StepTasks]:
        """Yield ready tasks by step, overdue filling tasks first."""
        # Before any start of the round changes the ranks.
        entries = self._by_urgency(wall_ms, are_services_first)
        turns: set[_jobs.TaskKey] = set()
        for overdue in overdue_steps:
            turns.update(task.key for task in overdue.tasks)
            yield overdue.occurrence, overdue.step, overdue.tasks
        for key, step, tasks in self._steps_in_order(entries):
            others = [task for task in tasks if task.key not in turns]
            if others:
                yield key, step, others

    def _by_urgency(
        self, wall_ms: int, are_services_first: bool
    ) -> list[_Entry]:
        """Return the occurrences with ready tasks, the most urgent first.

        Within a priority, services come last unless ``are_services_first``.
        Of overdue occurrences, and of those that can earn nothing any more,
        one task of each without a run comes before the others.
        """
        entries: list[_Entry] = []
        self._urgency_ranks.begin_round()
        for key, task in self._cell.ready.occurrences():
            job = self._cell.jobs[key[0]]
            route = self._cell.policy_of(job)
            if route is None:
                entries.append(((0,), key, False))
                continue
            is_later = task.spec.is_service is not are_services_first
            rank: tuple[int, ...] = (route.priority, is_later)
            urgency = self._urgency_ranks.rank(job, key[1], route, wall_ms)
            if task.spec.is_filling and (
                urgency[0] == _urgency.Tier.LOST
                or (
                    urgency[0] == _urgency.Tier.LATE
                    and self._filling_turns.is_overdue(key)
                )
            ):
                rank += (_urgency.Tier.OVERDUE,)
                first, later = self._filling_turns.rotation_ranks(job, task)
                entries.append(((*rank, 0, *first), key, True))
                rank += (1, *later)
            else:
                rank += urgency
            entries.append((rank, key, False))
        return sorted(entries)

    def _steps_in_order(
        self, entries: Sequence[_Entry]
    ) -> Iterator[_StepTasks]:
        """Yield the ready tasks of occurrences by step."""
        ready = self._cell.ready
        for _, key, is_first_only in entries:
            if is_first_only and self._filling_turns.has_run(key):
                continue
            for step in ready.steps_of(key):
                tasks = ready.tasks_of(key, step)
                if is_first_only:
                    yield key, step, tasks[:1]
                    break
                yield key, step, tasks

    def _start_task(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        route: _specs.RoutePolicy,
        now_ms: int,
    ) -> int:
        """Start a task; return 1, or 0 if no worker can run it."""
        worker = self._worker_of_late_start(task, route.pool, now_ms)
        if worker is None:
            worker = self._placement.select_worker(task, route.pool)
        if worker is None:
            return 0
        self._assign_all(job, [task], [worker], now_ms)
        return 1

    def _worker_of_late_start(
        self, task: _jobs.Task, pool: str, now_ms: int
    ) -> _fleet.Worker | None:
        """Return where a start of a task may be late, if it can run there.

        The present incarnation refuses that start. If the next one carries it
        out, the run that starts now has ended with the present one. Filling
        tasks go by the load of the services beside them instead.
        """
        worker = self._cell.workers.get(task.late_worker)
        if worker is None or worker.info.pool != pool:
            return None
        if task.spec.is_filling:
            return None
        if worker.info.id in task.avoid:
            return None
        if not _eligibility.is_usable(worker, now_ms):
            return None
        if not self._placement.can_host(worker, task):
            return None
        self._placement.mark_changed(worker)
        return worker

    def _start_gang(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        route: _specs.RoutePolicy,
        now_ms: int,
        held: Mapping[_jobs.TaskKey, _fleet.Worker] = _probations.NO_HOLD,
    ) -> int:
        """Start all members of a gang or none; return the number started.

        ``held`` are the workers that are kept for suspect members.
        """
        if not self._is_gang_ready(task):
            return 0
        gang = task.key[:3]
        # Suspects have workers of their own, which the sums do not include,
        # and their gang has given its reservation up for this attempt.
        if not held:
            if not self._gang_budget.allows(gang, now_ms):
                return 0
            fit = self._placement.fit_of_gang(task, route.pool)
            self._gang_budget.spend(gang, fit.checks)
            if not fit.may_fit:
                return 0
        members = job.gang_of(task)
        number = self.run_numbers.next()
        self._placement.begin_gang()
        placed: list[tuple[_fleet.Worker, _fleet.Run]] = []
        for member in members:
            worker = _probations.worker_of_member(
                self._placement, member, route.pool, held
            )
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
            self._placement.mark_changed(worker)
        if not all_placed:
            self._placement.abandon_gang()
            checks = len(placed) * _gang_fit.CHECKS_PER_MEMBER
            self._gang_budget.spend(gang, len(self._cell.workers) + checks)
            return 0
        workers = [worker for worker, _ in placed]
        self._assign_all(job, members, workers, now_ms)
        return len(members)

    def _is_gang_ready(self, task: _jobs.Task) -> bool:
        """Return whether all members of the gang of a task are ready."""
        key = task.key
        return self._cell.ready.count_of(key[:2], key.step) == task.spec.count

    def _assign_all(
        self,
        job: _jobs.Job,
        tasks: Sequence[_jobs.Task],
        workers: Sequence[_fleet.Worker],
        now_ms: int,
    ) -> None:
        """Assign a task, or all members of a gang, with one run number.

        All members of a gang start from the same checkpoint.
        """
        number = self.run_numbers.take()
        checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), '')
        for task, worker in zip(tasks, workers, strict=True):
            task.checkpoint = checkpoint
            self._assign(job, task, worker, number, now_ms)

    def _make_run(
        self, task: _jobs.Task, number: int, now_ms: int
    ) -> _fleet.Run:
        """Return a new run of a task, in its starting phase."""
        pace = self._placement.pace_of(task)
        is_slowed = pace < _pacing.FULL_PACE
        return _fleet.Run(
            key=task.key,
            number=number,
            spec=task.spec,
            phase=_fleet.RunPhase.STARTING,
            since_ms=now_ms,
            progress_changed_ms=now_ms,
            is_whole=not task.checkpoint,
            stalls=task.stalls,
            pace=pace,
            paced_ms=now_ms if is_slowed else 0,
            # The worker learns the pace once it has listed the run.
            is_pace_in_doubt=is_slowed,
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
        worker.count_start()
        self._cell.ready.discard(task.key)
        if task.spec.is_filling:
            self._filling_turns.on_started(task, worker.info.pool, now_ms)
        task.assign(worker.info.id, number, now_ms)
        job.is_start_decided = True
        needs_record = task.spec.is_service
        if needs_record:
            self._cell.save(job)
        self._cell.effects.append(
            _effects.StartTask(
                worker=worker.info.id,
                key=task.key,
                run=number,
                payload=job.spec.payload,
                checkpoint=task.checkpoint,
                needs_record=needs_record,
                is_gang=task.spec.is_gang,
            )
        )


_DemandClass = tuple[
    str, _placement_round.Demands, tuple[str, int, int] | None
]


def _class_of(task: _jobs.Task) -> _StepClass:
    """Return what tasks of a step share if none fits when one does not."""
    key = task.key
    return (*key[:3], task.may_be_slowed)


def _demand_class(task: _jobs.Task, pool: str) -> _DemandClass:
    """Return what tasks share if none of them fits when one does not."""
    gang = task.key[:3] if task.spec.is_gang else None
    return (pool, _placement_round.demands_of(task), gang)
