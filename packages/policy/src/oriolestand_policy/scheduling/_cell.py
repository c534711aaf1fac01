"""State of a cell and the updates that several scheduling steps share."""

from collections.abc import Callable
from collections.abc import Iterable

from oriolestand_policy import fencing
from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _pressure
from oriolestand_policy.scheduling import _ready
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _run_times
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _stored_policies
from oriolestand_policy.scheduling import _unconfirmed_runs

MAX_UNKNOWN_JOBS = 1_000
"""Most jobs for which ends are kept until the job is known. Ends of jobs that
were removed are among them."""

_WorkerGone = Callable[[_fleet.Worker, str, _fleet.WorkerInfo | None], None]


class Cell:
    """State of a cell: its jobs, workers, routes and queued effects.

    Effects are queued until ``take_effects``. ``routes`` holds the last known
    policy of each route by name, also of those that have left the
    configuration. ``stored_policies`` are the last ones that a former owner
    has stored, by route. ``ready`` holds the tasks that wait for a worker, and
    ``timed_job_ids`` the repeated jobs, which may
    have occurrences that are not due yet. ``wall_offset_ms`` is Unix time less
    the driver's clock, None before the first round. ``stopping_worker_ids``
    includes all workers with a run for which a stop order was sent and not
    answered.
    ``former_placements`` are the tasks that a former owner placed on a worker
    and whose run is neither adopted nor known to have ended, and
    ``unplaced_job_ids`` the jobs with unknown placements.
    ``held_worker_ids`` are workers for which no lease may be requested, and
    ``leased_worker_ids`` those for which one was requested. Both outlast
    restarts of the workers.
    ``evacuated_domains`` are the failure domains whose workers get no new
    tasks; whoever adds a worker or changes its attributes calls
    ``mark_evacuated``. ``returned_ms`` is when others were taken back.
    ``ends_of_unknown_jobs`` are ends as done, by job id, of runs of former
    owners that were listed before their job was added.
    ``late_tasks`` are tasks whose start the next incarnation of a worker may
    carry out.
    ``generations`` counts, by worker id, the incarnations that have ended or
    been given up. It outlasts restarts and removals of the workers.
    ``on_worker_gone`` is called with a removed worker, which still has its
    runs, the reason, and the next incarnation if it is known.
    """

    def __init__(self, epoch: int, lease_max_ms: int) -> None:
        self.epoch = epoch
        self.lease_max_ms = lease_max_ms
        self.jobs: dict[str, _jobs.Job] = {}
        self.workers: dict[str, _fleet.Worker] = {}
        self.routes: dict[str, _specs.RoutePolicy] = {}
        self.stored_policies: dict[str, _stored_policies.StoredPolicy] = {}
        self.pressure = _pressure.InterferenceModel()
        self.run_times = _run_times.RunTimeModel()
        self.ready = _ready.ReadyQueue()
        self.wall_offset_ms: int | None = None
        self.timed_job_ids: set[str] = set()
        self.stopping_worker_ids: set[str] = set()
        self.former_placements: dict[_jobs.TaskKey, _jobs.Task] = {}
        self.unplaced_job_ids: set[str] = set()
        self.held_worker_ids: set[str] = set()
        self.leased_worker_ids: set[str] = set()
        self.generations: dict[str, int] = {}
        self.evacuated_domains: frozenset[str] = frozenset()
        self.returned_ms: dict[str, int] = {}
        self.ends_of_unknown_jobs: dict[str, list[_reports.EndReport]] = {}
        self.late_tasks: dict[_jobs.TaskKey, _jobs.Task] = {}
        self.effects: list[_effects.Effect] = []
        self.on_worker_gone: _WorkerGone | None = None

    def mark_evacuated(self, worker: _fleet.Worker) -> None:
        """Mark a worker if its failure domain is evacuated.

        Its starts that were decided before are withdrawn unless they are sent.
        """
        was_evacuated = worker.is_evacuated
        domain = worker.info.failure_domain
        worker.is_evacuated = domain in self.evacuated_domains
        if not worker.is_evacuated or was_evacuated:
            return
        for run in worker.runs.values():
            is_unsent = run.phase is _fleet.RunPhase.STARTING
            if is_unsent and not run.is_sent and run.stop_sent_ms < 0:
                self._withdraw_start(run, worker.info.id)

    def policy_of(self, job: _jobs.Job) -> _specs.RoutePolicy | None:
        """Return the policy of a job, or None if it is not known.

        The configuration goes first, so that a change of a route also applies
        to its accepted jobs. The policy stored with the job is that of its
        acceptance; a former owner may have stored a later one of its route.
        """
        route = self.routes.get(job.spec.route)
        if route is not None:
            return route
        stored = self.stored_policies.get(job.spec.route)
        if (
            stored is not None
            and not job.is_policy_awaited
            and stored.holds_for(job.policy)
        ):
            return stored.policy
        return job.policy

    def keep_end(self, end: _reports.EndReport) -> None:
        """Keep an end as done until its job is added."""
        ends = self.ends_of_unknown_jobs
        if end.key.job not in ends and len(ends) >= MAX_UNKNOWN_JOBS:
            del ends[next(iter(ends))]
        ends.setdefault(end.key.job, []).append(end)

    def new_lease_end(
        self, worker_id: str, now_ms: int, limit_ms: int | None = None
    ) -> int | None:
        """Return the end of the lease to request, on the worker's clock.

        The worker may hold its lease until the latest end requested, so that
        end is recorded. Return None if the worker has not reported its clock
        yet or if its leases are held. ``limit_ms`` is the longest lease that
        may be requested, None for any and 0 for none.
        """
        worker = self.workers.get(worker_id)
        if worker is None or worker.last_report_ms < 0:
            return None
        if worker_id in self.held_worker_ids or worker.is_lapsing:
            return None
        if limit_ms == 0 or worker.is_in_doubt:
            # The clock of another incarnation is not known.
            return None
        self.leased_worker_ids.add(worker_id)
        lease_ms = self.lease_max_ms
        if limit_ms is not None:
            lease_ms = min(lease_ms, limit_ms)
        end = max(
            worker.requested_end_ms, worker.min_clock_ms(now_ms) + lease_ms
        )
        worker.requested_end_ms = end
        worker.lease_end_ms = max(worker.lease_end_ms, end)
        worker.leased_ms = now_ms
        return end

    def lease_end_for_start(
        self, worker_id: str, now_ms: int, limit_ms: int | None = None
    ) -> int | None:
        """Return the end of the lease to request with a start order.

        It is the one that was requested last, as polls extend it in time
        unless the owner is busy. A start that the worker does not receive
        must not prolong the time until its runs have certainly ended.
        """
        worker = self.workers.get(worker_id)
        if limit_ms == 0:
            return None
        if (
            worker is None
            or worker.leased_ms < 0
            or now_ms - worker.leased_ms > _fleet.MAX_REPORT_AGE_MS
            or worker.is_polled_late
            or worker_id in self.held_worker_ids
            or worker.is_lapsing
            or worker.is_in_doubt
        ):
            return self.new_lease_end(worker_id, now_ms, limit_ms)
        return worker.requested_end_ms

    def remove_worker(self, worker_id: str, reason: str) -> None:
        """Remove a worker, all of whose runs have certainly ended."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        self._drop_worker(worker, reason)
        self.release_all(worker, worker.last_report_ms)

    def _raise_generation(self, worker_id: str) -> bool:
        """Let the next orders to a worker outdate all earlier ones.

        Return False if no token is left for that.
        """
        generation = self.generations.get(worker_id, 0) + 1
        self.generations[worker_id] = generation
        if generation == fencing.MAX_GENERATION + 1:
            self.log('tokens_used_up', '', worker=worker_id)
        return generation <= fencing.MAX_GENERATION

    def _drop_worker(
        self,
        worker: _fleet.Worker,
        reason: str,
        successor: _fleet.WorkerInfo | None = None,
    ) -> bool:
        """Remove a worker from the cell; it still has its runs.

        ``successor`` is the next incarnation, if it is known. Return whether
        orders to it outdate those for this one.
        """
        worker_id = worker.info.id
        del self.workers[worker_id]
        is_raised = self._raise_generation(worker_id)
        self.log(
            'worker_gone',
            '',
            worker=worker.info.id,
            reason=reason,
            runs=len(worker.runs),
            reported=sum(run.is_reported for run in worker.runs.values()),
        )
        if self.on_worker_gone is not None:
            self.on_worker_gone(worker, reason, successor)
        return is_raised

    def replace_worker(
        self,
        worker: _fleet.Worker,
        info: _fleet.WorkerInfo,
        *,
        described_ms: int | None,
        is_listed: bool,
        fenced_after_ms: int,
    ) -> _fleet.Worker:
        """Replace a worker that has restarted by its present incarnation.

        Only the runs that the former incarnation has listed have certainly
        ended. Orders name a worker by its id, so the present incarnation may
        have accepted the others; its reports tell. For ``described_ms`` and
        ``fenced_after_ms`` see ``Worker``.
        """
        if not self._drop_worker(worker, _crashes.RESTARTED, info):
            fenced_after_ms = -1
        replacement = _fleet.Worker(
            info=info,
            entry=worker.entry,
            described_ms=described_ms,
            is_listed=is_listed,
            is_recorded=worker.is_recorded,
            fenced_after_ms=fenced_after_ms,
            former=worker,
        )
        worker.former = None
        self.workers[info.id] = replacement
        for run in list(worker.runs.values()):
            worker.drop(run)
            if run.is_reported:
                self.release(run, info.id, worker.last_report_ms)
            else:
                self._carry_over(run, replacement)
        self.mark_evacuated(replacement)
        return replacement

    def _carry_over(self, run: _fleet.Run, worker: _fleet.Worker) -> None:
        """Add a run that a restarted worker may have accepted.

        It knows nothing of the stops that its former incarnation answered.
        """
        run.missed_polls = 0
        worker.add(run)
        self.repeat_orders(worker, run)

    def repeat_orders(self, worker: _fleet.Worker, run: _fleet.Run) -> None:
        """Stop a run again, or withdraw its start, after a restart."""
        if run.stop_sent_ms >= 0:
            if run.phase is _fleet.RunPhase.STOPPING:
                run.phase = _fleet.RunPhase.IN_DOUBT
            run.is_stop_settled = False
            self.stopping_worker_ids.add(worker.info.id)
            self.queue_stop(worker.info.id, run, _effects.REPEATED_STOP)
        elif run.phase is _fleet.RunPhase.STARTING:
            self._withdraw_start(run, worker.info.id)

    def _withdraw_start(self, run: _fleet.Run, worker_id: str) -> None:
        """Queue the withdrawal of a start order, if it is not sent yet."""
        self.effects.append(
            _effects.WithdrawStart(
                worker=worker_id, key=run.key, run=run.number
            )
        )

    def note_late_start(self, run: _fleet.Run, worker_id: str) -> None:
        """Note a start without an answer, which may be carried out late.

        The answer to a stop does not bind the next incarnation.
        """
        job = self.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if task is None:
            return
        if task.late_worker != worker_id:
            task.late_runs.clear()
        task.late_worker = worker_id
        task.late_runs.add(run.number)
        task.late_until_ms = run.doubt_ms + _unconfirmed_runs.late_ms(
            self.lease_max_ms
        )
        self.late_tasks[task.key] = task

    def restore_late_starts(self, job: _jobs.Job, now_ms: int) -> None:
        """Note the starts of former owners that may be carried out late.

        If it is not known until when, they count as given up just now.
        """
        latest_ms = now_ms + _unconfirmed_runs.late_ms(self.lease_max_ms)
        for task in job.all_tasks():
            if not task.late_worker:
                continue
            if task.late_until_ms <= 0:
                task.late_until_ms = latest_ms
            task.late_until_ms = min(task.late_until_ms, latest_ms)
            self.late_tasks[task.key] = task

    def settle_late_start(self, key: _jobs.TaskKey, number: int) -> None:
        """Note that the start of a run cannot be carried out late any more."""
        job = self.jobs.get(key.job)
        task = job.find(key) if job is not None else None
        if task is None or number not in task.late_runs:
            return
        task.late_runs.discard(number)
        if not task.late_runs:
            task.late_worker = ''
            self.late_tasks.pop(task.key, None)

    def forget_late_starts(self, now_ms: int) -> None:
        """Forget starts whose runs are over, if they were carried out."""
        for key, task in list(self.late_tasks.items()):
            if now_ms > task.late_until_ms:
                task.late_worker = ''
                task.late_runs.clear()
                del self.late_tasks[key]

    def release_all(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Drop all runs of a worker and queue their tasks again."""
        self.release_runs(worker, list(worker.runs.values()), now_ms)

    def release_runs(
        self,
        worker: _fleet.Worker,
        runs: Iterable[_fleet.Run],
        now_ms: int,
    ) -> None:
        """Drop runs of a worker and queue their tasks again."""
        for run in runs:
            if run.phase is _fleet.RunPhase.STARTING:
                self._withdraw_start(run, worker.info.id)
            worker.drop(run)
            self.release(run, worker.info.id, now_ms)

    def release(
        self,
        run: _fleet.Run,
        worker_id: str,
        now_ms: int,
        *,
        has_run: bool = True,
    ) -> None:
        """Queue the task of an ended run again.

        Does nothing if the task is done or has a newer run. If the worker
        refused the run, the wait of the task goes on.
        """
        job = self.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if job is None or task is None or job.outcome is not None:
            return
        if task.is_done or task.run != run.number:
            return
        if task.worker != worker_id:
            return
        task.worker = ''
        if task.spec.is_service:
            self.save(job)
        self.make_ready(job, task, now_ms if has_run else task.ready_ms)

    def queue_ready_steps(
        self, job: _jobs.Job, number: int, now_ms: int
    ) -> None:
        """Queue an occurrence's idle tasks whose dependencies are done."""
        for step, tasks in enumerate(job.occurrence(number)):
            if not job.is_step_ready(number, step):
                continue
            if job.spec.steps[step].after and self.wall_offset_ms is not None:
                job.ready_wall_ms.setdefault(
                    (number, step), now_ms + self.wall_offset_ms
                )
            for task in tasks:
                if task.is_idle:
                    self.make_ready(job, task, now_ms)

    def make_ready(
        self, job: _jobs.Job, task: _jobs.Task, now_ms: int
    ) -> None:
        """Add a task to the queue of ready tasks, once."""
        if task.key not in self.ready:
            task.ready_ms = now_ms
            self.ready.add(task)

    def confirm_start(self, job: _jobs.Job) -> None:
        """Note that a worker has a run of a job, or had one.

        Callers are told so from then on. A start that was decided may be
        refused, withdrawn or lost.
        """
        if job.has_started or job.outcome is not None:
            return
        job.is_start_decided = True
        job.has_started = True
        self.save(job)

    def finish_if_complete(self, job: _jobs.Job) -> None:
        """Mark a job as completed if all its tasks are done."""
        if job.outcome is None and job.is_complete():
            job.outcome = _jobs.Outcome.COMPLETED
            self.log('job_completed', job.spec.id)
            self.save(job)

    def end_job(
        self, job: _jobs.Job, outcome: _jobs.Outcome, now_ms: int
    ) -> None:
        """End a failed or cancelled job and stop its runs."""
        job.outcome = outcome
        self.pressure.remove_job(job.spec.id)
        self.log('job_' + outcome.value, job.spec.id)
        for steps in job.tasks.values():
            for tasks in steps:
                for task in tasks:
                    self.ready.discard(task.key)
                    if task.worker:
                        self.stop_run(
                            task.worker, task.key, task.run, outcome.value
                        )
                        self.mark_task_stop_sent(task, now_ms)
        self.save(job)

    def mark_task_stop_sent(self, task: _jobs.Task, now_ms: int) -> None:
        """Record when the stop order for a task's current run was sent."""
        worker = self.workers.get(task.worker)
        if worker is None:
            return
        run = worker.runs.get((task.key, task.run))
        if run is not None:
            self.mark_stop_sent(run, now_ms)

    def mark_stop_sent(self, run: _fleet.Run, now_ms: int) -> None:
        """Record when a stop order was sent, to resend it if unanswered."""
        run.stop_sent_ms = now_ms

    def stop_run(
        self, worker_id: str, key: _jobs.TaskKey, number: int, reason: str
    ) -> None:
        """Queue a stop order for a run, if the worker is known to have it."""
        worker = self.workers.get(worker_id)
        run = worker.runs.get((key, number)) if worker is not None else None
        if run is None:
            return
        run.stop_sent_ms = max(run.stop_sent_ms, run.since_ms)
        self.stopping_worker_ids.add(worker_id)
        self.queue_stop(worker_id, run, reason)

    def queue_stop(self, worker_id: str, run: _fleet.Run, reason: str) -> None:
        """Queue a stop order for a run."""
        self.effects.append(
            _effects.StopTask(
                worker=worker_id,
                key=run.key,
                run=run.number,
                reason=reason,
            )
        )

    def save(self, job: _jobs.Job) -> None:
        """Queue a write of the record of a job."""
        self.effects.append(_effects.SaveJob(job=job.spec.id))

    def log(self, event: str, job: str, **values: object) -> None:
        """Queue a log event; ``job`` is empty for events of workers."""
        self.effects.append(
            _effects.LogEvent(event=event, job=job, values=values)
        )

    def take_effects(self) -> list[_effects.Effect]:
        """Return the effects queued since the last call."""
        effects, self.effects = self.effects, []
        return effects
