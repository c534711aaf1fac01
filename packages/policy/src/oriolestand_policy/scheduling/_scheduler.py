"""Schedule the tasks of one cell."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from oriolestand_policy.scheduling import _backlog
from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _cell_figures
from oriolestand_policy.scheduling import _crash_handler
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _evacuation
from oriolestand_policy.scheduling import _exclusions
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _idle_account
from oriolestand_policy.scheduling import _incarnations
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _known_routes
from oriolestand_policy.scheduling import _lapses
from oriolestand_policy.scheduling import _load
from oriolestand_policy.scheduling import _mixed_placement
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _pressure
from oriolestand_policy.scheduling import _record
from oriolestand_policy.scheduling import _reply_handler
from oriolestand_policy.scheduling import _report_handler
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _return_ramp
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _stored_policies
from oriolestand_policy.scheduling import _takeover
from oriolestand_policy.scheduling import _task_starter
from oriolestand_policy.scheduling import _unconfirmed_runs
from oriolestand_policy.scheduling import _upkeep
from oriolestand_policy.scheduling import _wait_ages
from oriolestand_policy.scheduling import _waits

TIMED_START_MARGIN_MS = 100
"""Delay of the starts of repeated jobs, as the wall clocks of instances
differ."""

PlacementFactory = Callable[
    [_pressure.InterferenceModel], _placement.Placement
]


class Scheduler:
    """Event-driven scheduler of one cell.

    Events update the state, ``decide`` starts and stops tasks, and the
    resulting effects are queued until ``take_effects``. All times are
    milliseconds of the driver's clock, or Unix time if named ``wall``.
    """

    def __init__(
        self,
        epoch: int,
        lease_max_ms: int,
        make_placement: PlacementFactory = _mixed_placement.MixedPlacement,
    ) -> None:
        self._cell = _cell.Cell(epoch, lease_max_ms)
        self._crash_handler = _crash_handler.CrashHandler(self._cell)
        self._incarnations = _incarnations.Incarnations(self._cell)
        self._reply_handler = _reply_handler.ReplyHandler(
            self._cell, self._crash_handler, self._incarnations
        )
        self._report_handler = _report_handler.ReportHandler(
            self._cell, self._crash_handler, self._incarnations
        )
        self._upkeep = _upkeep.WorkerUpkeep(self._cell, self._crash_handler)
        self._task_starter = _task_starter.TaskStarter(
            self._cell,
            make_placement(self._cell.pressure),
            self._crash_handler,
        )
        self._backlog = _backlog.Backlog(self._cell)
        self._wait_reporter = _waits.WaitReporter(self._cell)
        self._idle_accounts = _idle_account.IdleAccounts(
            self._cell, self._task_starter.placement
        )
        self._return_ramp = _return_ramp.ReturnRamp(self._cell)
        self._lapses = _lapses.Lapses(self._cell)
        self._former_failures = _exclusions.FormerFailures()
        self._accepted = _stored_policies.AcceptedPolicies()
        self.figures = _cell_figures.CellFigures(self._cell)
        self._are_starts_held = False

    @property
    def jobs(self) -> Mapping[str, _jobs.Job]:
        """Return the jobs by id."""
        return self._cell.jobs

    @property
    def workers(self) -> Mapping[str, _fleet.Worker]:
        """Return the workers by id."""
        return self._cell.workers

    @property
    def pressure(self) -> _pressure.InterferenceModel:
        """Return the model of interference between tasks."""
        return self._cell.pressure

    # Input: configuration, jobs and workers.

    def set_routes(self, routes: Iterable[_specs.RoutePolicy]) -> None:
        """Add or update routes.

        Others stay: jobs that were accepted under them use their last known
        policy, or the one that is stored with the job.
        """
        for route in routes:
            self._cell.routes[route.name] = route

    def restore_policies(
        self, stored: Mapping[str, _stored_policies.StoredPolicy]
    ) -> None:
        """Set the last policies of routes that a former owner has stored."""
        self._cell.stored_policies = dict(stored)

    @property
    def loadable_routes(self) -> Iterable[str]:
        """Return the names of the routes of jobs that an owner may load."""
        return self._accepted

    def policies_to_store(
        self,
        known: _known_routes.KnownRoutes,
        stored: Mapping[str, _stored_policies.StoredPolicy],
    ) -> dict[str, _stored_policies.StoredPolicy]:
        """Return the policies by route that are missing in the store."""
        return _stored_policies.policies_to_store(
            self._accepted, known, stored
        )

    def add_job(
        self,
        spec: _specs.JobSpec,
        now_ms: int,
        progress: _record.Progress | None = None,
        is_cancelled: bool = False,
        needs_probe: bool = False,
        policy: _specs.RoutePolicy | None = None,
        is_policy_awaited: bool = False,
    ) -> None:
        """Add a job, unless it is already known.

        ``progress`` is its stored record. For the other values see ``Job``.
        """
        if spec.id in self._cell.jobs:
            return
        job = _jobs.Job(
            spec=spec,
            policy=policy,
            is_policy_awaited=is_policy_awaited,
            needs_probe=needs_probe,
            added_ms=now_ms,
        )
        self._cell.jobs[spec.id] = job
        self._accepted.add(job)
        if progress is not None:
            self._crash_handler.on_restored(_record.restore(job, progress))
        if job.outcome is not None:
            return
        if job.has_unknown_placements:
            self._cell.unplaced_job_ids.add(spec.id)
        for task in job.all_tasks():
            if task.former_worker:
                self._cell.former_placements[task.key] = task
        self._cell.restore_late_starts(job, now_ms)
        if is_cancelled:
            self.cancel_job(spec.id, now_ms)
            return
        if spec.is_timed:
            self._cell.timed_job_ids.add(spec.id)
            for number in job.tasks:
                self._cell.queue_ready_steps(job, number, now_ms)
        else:
            self._cell.queue_ready_steps(job, 0, now_ms)
        self._report_handler.on_job_added(spec.id, now_ms)
        # A former owner may have crashed after it saved the last end of a
        # task and before it saved the outcome.
        self._cell.finish_if_complete(job)

    def set_job_policy(
        self, job_id: str, policy: _specs.RoutePolicy | None
    ) -> bool:
        """Set the policy that a job was accepted under, if it is missing.

        Without one, the row of the job has none. Return whether the job had
        to wait for it.
        """
        job = self._cell.jobs.get(job_id)
        if job is None or job.policy is not None:
            return False
        was_waiting = self._cell.policy_of(job) is None
        if job.is_loadable:
            self._accepted.discard(job)
        job.policy = policy
        job.is_policy_awaited = False
        if job.is_loadable:
            self._accepted.add(job)
        return was_waiting and self._cell.policy_of(job) is not None

    def cancel_job(self, job_id: str, now_ms: int) -> None:
        """Cancel a job and stop its runs."""
        job = self._cell.jobs.get(job_id)
        if job is None or job.outcome is not None:
            return
        job.is_cancelled = True
        self._cell.end_job(job, _jobs.Outcome.CANCELLED, now_ms)

    def mark_unloadable(self, job_ids: Iterable[str]) -> None:
        """Mark ended jobs whose specifications were removed from the store."""
        for job_id in job_ids:
            job = self._cell.jobs.get(job_id)
            if job is not None and job.is_loadable:
                job.is_loadable = False
                self._accepted.discard(job)

    def remove_job(self, job_id: str) -> None:
        """Remove a job whose record has been deleted from the store."""
        self.mark_unloadable([job_id])
        self._cell.jobs.pop(job_id, None)

    def set_workers(self, infos: Mapping[str, _fleet.WorkerInfo]) -> None:
        """Apply the list of registered workers, by id."""
        for worker_id, info in infos.items():
            worker = self._cell.workers.get(worker_id)
            if worker is None:
                worker = _fleet.Worker(info=info)
                self._cell.workers[worker_id] = worker
                self._cell.mark_evacuated(worker)
                self._cell.log('worker_added', '', worker=worker_id)
                self._crash_handler.on_registered(info)
                continue
            was_leaving = worker.info.is_leaving
            worker.is_listed = True
            self._incarnations.apply_entry(worker, info)
            worker = self._cell.workers[worker_id]
            self._cell.mark_evacuated(worker)
            if worker.info.is_leaving and not was_leaving:
                self._cell.log('worker_leaving', '', worker=worker_id)
        for worker_id, worker in self._cell.workers.items():
            if worker_id not in infos and worker.is_listed:
                worker.is_listed = False
                self._cell.log('worker_unlisted', '', worker=worker_id)

    def on_entries_read(self, since_ms: int, sent_ms: int) -> bool:
        """Note that the entries of workers can be read.

        ``since_ms`` and ``sent_ms`` are when the first and the last read were
        sent since one failed. Return whether a worker may get tasks now.
        """
        return self._incarnations.on_entries_read(since_ms, sent_ms)

    def set_evacuated_domains(
        self,
        failure_domains: frozenset[str],
        returned_ms: Mapping[str, int] | None = None,
    ) -> None:
        """Apply the failure domains whose workers get no new tasks.

        ``returned_ms`` is when others were taken back. Their workers fill up
        gradually.
        """
        self._cell.returned_ms = dict(returned_ms or {})
        former = self._cell.evacuated_domains
        if failure_domains == former:
            return
        self._cell.evacuated_domains = failure_domains
        counts = collections.Counter(
            worker.info.failure_domain
            for worker in self._cell.workers.values()
        )
        for domain in sorted(failure_domains ^ former):
            self._cell.log(
                'domain_evacuated'
                if domain in failure_domains
                else 'domain_taken_back',
                '',
                failure_domain=domain,
                workers=counts[domain],
            )
        for worker in self._cell.workers.values():
            self._cell.mark_evacuated(worker)

    def hold_starts(self, are_held: bool) -> None:
        """Start nothing while the evacuated domains are not known."""
        self._are_starts_held = are_held

    def add_former_worker(self, info: _fleet.WorkerInfo) -> None:
        """Add a worker that a former owner used, as it may have runs.

        It counts as unlisted until ``set_workers`` includes it.
        """
        if info.id not in self._cell.workers:
            worker = _fleet.Worker(
                info=info,
                described_ms=_fleet.NOTHING_DESCRIBED,
                is_listed=False,
            )
            self._cell.workers[info.id] = worker
            self._cell.mark_evacuated(worker)

    def restore_failures(
        self, failures: Mapping[str, _exclusions.WorkerFailures]
    ) -> None:
        """Set the failures that the former owner has stored, by worker."""
        self._former_failures.restore(failures)

    def failures_to_store(
        self, now_ms: int
    ) -> dict[str, _exclusions.WorkerFailures]:
        """Return the failures that the next owner must know, by worker."""
        return self._former_failures.to_store(
            self._cell.workers.values(), now_ms
        )

    def mark_workers_recorded(self, worker_ids: Iterable[str]) -> None:
        """Mark workers as stored in the list that the next owner reads."""
        for worker_id in worker_ids:
            worker = self._cell.workers.get(worker_id)
            if worker is not None:
                worker.is_recorded = True

    def mark_workers_unrecorded(self, worker_ids: Iterable[str]) -> None:
        """Mark workers as missing in that list; they get no new tasks."""
        for worker_id in worker_ids:
            worker = self._cell.workers.get(worker_id)
            if worker is not None:
                worker.is_recorded = False

    def new_lease_end(
        self, worker_id: str, now_ms: int, limit_ms: int | None = None
    ) -> int | None:
        """Return the end of the lease to request, on the worker's clock.

        The worker may hold its lease until the latest end requested, so that
        end is recorded. Return None if the worker has not reported its clock
        yet or if its leases are held. ``limit_ms`` is the longest lease that
        may be requested, None for any and 0 for none.
        """
        return self._cell.new_lease_end(worker_id, now_ms, limit_ms)

    def lease_end_for_start(
        self, worker_id: str, now_ms: int, limit_ms: int | None = None
    ) -> int | None:
        """Return the end of the lease to request with a start order.

        As ``new_lease_end``, but a recent lease is not extended.
        """
        return self._cell.lease_end_for_start(worker_id, now_ms, limit_ms)

    def hold_leases(self, worker_id: str) -> bool:
        """Request no leases for a worker until ``allow_leases``.

        Return False, without an effect, if one was requested before.
        """
        if worker_id in self._cell.leased_worker_ids:
            return False
        self._cell.held_worker_ids.add(worker_id)
        return True

    def hold_leases_of_silent(self, worker_id: str) -> int | None:
        """Request no leases for a silent worker until ``allow_leases``.

        Return when those that were requested are certainly over, or None,
        without an effect, if the worker has not reported to this owner.
        """
        worker = self._cell.workers.get(worker_id)
        if worker is None or not worker.is_probed:
            return None
        self._cell.held_worker_ids.add(worker_id)
        return max(
            worker.lease_over_ms(_fleet.LEASE_MARGIN_MS),
            _unconfirmed_runs.unlisted_over_ms(
                worker, self._cell.lease_max_ms
            ),
            _unconfirmed_runs.listed_over_ms(worker, self._cell.lease_max_ms),
        )

    def allow_leases(self, worker_id: str) -> None:
        """Allow requests for leases of a worker again."""
        self._cell.held_worker_ids.discard(worker_id)

    def are_leases_held(self, worker_id: str) -> bool:
        """Return whether no leases of a worker may be requested."""
        worker = self._cell.workers.get(worker_id)
        if worker is not None and (
            worker.is_lapsing or worker.claimed_ms >= 0
        ):
            return True
        return worker_id in self._cell.held_worker_ids

    def generation_of(self, worker_id: str) -> int:
        """Return how many incarnations under an id have ended or are lost."""
        return self._cell.generations.get(worker_id, 0)

    def remove_worker(self, worker_id: str, reason: str) -> None:
        """Remove a worker, all of whose runs have certainly ended."""
        self._cell.remove_worker(worker_id, reason)

    # Input: worker reports and replies to orders.

    def on_worker_report(
        self,
        worker_id: str,
        worker_report: _reports.WorkerReport,
        sent_ms: int,
        now_ms: int,
    ) -> set[str]:
        """Apply a worker report to the state of the cell.

        ``sent_ms`` is when the poll was sent. Return the ids of the jobs
        whose record must be written before the ends in the report are
        acknowledged to the worker.
        """
        worker = self._cell.workers.get(worker_id)
        if worker is not None and not worker.is_probed:
            self._former_failures.apply(worker, worker_report.process_start_ms)
        return self._report_handler.on_worker_report(
            worker_id, worker_report, sent_ms, now_ms
        )

    def on_late_report(
        self, worker_report: _reports.WorkerReport, now_ms: int
    ) -> set[str]:
        """Apply the ends as done in a report whose poll has failed.

        Return the ids of the jobs whose record must be written before these
        ends are acknowledged.
        """
        return self._report_handler.on_late_report(worker_report, now_ms)

    def on_poll_sent(
        self, worker_id: str, now_ms: int, expected_ms: int = 0
    ) -> None:
        """Note when a worker is polled.

        ``expected_ms`` is how much later than usual the next report may come
        because the owner is busy; the worker is not silent until then.
        """
        worker = self._cell.workers.get(worker_id)
        if worker is not None:
            worker.polled_ms = now_ms
            worker.polled_address = worker.poll_address
            worker.max_report_age_ms = _fleet.MAX_REPORT_AGE_MS + expected_ms

    def on_report_begun(self, worker_id: str) -> None:
        """Note that a report has begun to arrive.

        It may list ends, so the lease is not judged before the rest. A worker
        that never sends it is waited for only once.
        """
        worker = self._cell.workers.get(worker_id)
        if worker is not None and not worker.has_awaited_report:
            worker.is_report_arriving = True
            worker.has_awaited_report = True

    def on_poll_failed(self, worker_id: str, now_ms: int) -> None:
        """Apply a poll of a worker that failed."""
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return
        worker.failed_polls += 1
        worker.is_report_arriving = False
        self._incarnations.on_poll_failed(worker)
        if worker.unreachable_ms < 0:
            worker.unreachable_ms = now_ms
            self._crash_handler.on_unreachable(worker)

    def on_start_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        outcome: _reports.StartOutcome,
        reason: str,
        now_ms: int,
        answer: _unconfirmed_runs.Answer | None = None,
    ) -> None:
        """Apply the outcome of a start order, and its answer if any.

        Without the clock of the worker in an answer, another incarnation may
        have given it.
        """
        self._reply_handler.on_start_reply(
            worker_id, key, number, outcome, reason, now_ms, answer
        )

    def is_start_pending(
        self, worker_id: str, key: _jobs.TaskKey, number: int
    ) -> bool:
        """Return whether a start order that was held back is still wanted.

        Then the run has kept its task since it was decided, so that all
        records of the job since then place the task on the worker, and the
        worker still has room for it.
        """
        worker = self._cell.workers.get(worker_id)
        job = self._cell.jobs.get(key.job)
        run = worker.runs.get((key, number)) if worker is not None else None
        task = job.find(key) if job is not None else None
        if worker is None or job is None or task is None or run is None:
            return False
        return (
            job.outcome is None
            and not worker.is_evacuated
            and worker.is_described
            and not worker.capacity.is_over()
            and run.phase is _fleet.RunPhase.STARTING
            and run.stop_sent_ms < 0
            and task.worker == worker_id
            and task.run == number
        )

    def on_start_sent(
        self, worker_id: str, key: _jobs.TaskKey, number: int
    ) -> None:
        """Note that a worker may have received a start order."""
        worker = self._cell.workers.get(worker_id)
        run = worker.runs.get((key, number)) if worker is not None else None
        if run is not None:
            run.is_sent = True

    def withdraw_start(
        self, worker_id: str, key: _jobs.TaskKey, number: int, now_ms: int
    ) -> None:
        """Release a run whose start order was not sent."""
        self._reply_handler.withdraw_start(worker_id, key, number, now_ms)

    def on_stop_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        is_answered: bool,
        now_ms: int,
    ) -> None:
        """Record whether a worker answered a stop order.

        A worker that answered will not act on an earlier start order for
        the same run that arrives late.
        """
        self._reply_handler.on_stop_reply(
            worker_id, key, number, is_answered, now_ms
        )

    def on_pace_failed(
        self, worker_id: str, key: _jobs.TaskKey, number: int
    ) -> None:
        """Note that a worker did not answer an order to pace a run."""
        self._reply_handler.on_pace_failed(worker_id, key, number)

    # Decisions.

    def decide(
        self,
        now_ms: int,
        wall_ms: int,
        former_runs: _takeover.FormerRuns,
        known_until_ms: int | None = None,
        max_starts: int = _load.MAX_STARTS_PER_ROUND,
    ) -> None:
        """Start ready tasks, resend stops, and release runs of lost workers.

        ``former_runs`` tells which runs of former owners may exist although
        no worker has reported them. By ``known_until_ms``, by default
        ``now_ms``, there was no later owner of the cell, and the reports
        received by then are applied. Leases that end later do not count as
        over: they may have been extended, and a report may list ends.
        ``max_starts`` limits the starts of tasks that are not overdue.
        """
        self._cell.wall_offset_ms = wall_ms - now_ms
        self._queue_due_occurrences(now_ms, wall_ms)
        if known_until_ms is None:
            known_until_ms = now_ms
        self._upkeep.expire_workers(now_ms, known_until_ms)
        self._cell.forget_late_starts(now_ms)
        self._crash_handler.give_up_tasks(now_ms)
        self._upkeep.resend_stops(now_ms)
        self._upkeep.drain_leaving_workers(now_ms)
        self._upkeep.limit_exclusions(now_ms)
        self._settle_former_placements(former_runs)
        self._lapses.update(former_runs, now_ms)
        if (
            self._are_starts_held
            or not self._task_starter.run_numbers.may_start
        ):
            return
        self._return_ramp.update(now_ms)
        self._task_starter.run(now_ms, wall_ms, former_runs, max_starts)
        self._wait_reporter.run(now_ms, former_runs, self._task_starter)

    @property
    def may_keep_cell(self) -> bool:
        """Return whether enough run numbers of the epoch are left.

        If not, the owner has to give the cell up; soon it starts nothing.
        """
        return self._task_starter.run_numbers.may_keep_cell

    def take_effects(self) -> list[_effects.Effect]:
        """Return the effects queued since the last call."""
        return self._cell.take_effects()

    def full_pools(self, now_ms: int) -> Mapping[str, int]:
        """Return the pools that accept no filling jobs at present.

        The values are after how many seconds to try again. Call this about
        once a second.
        """
        return self._backlog.update(now_ms, self._task_starter.overdue_steps)

    def idle_account(
        self, now_ms: int
    ) -> Mapping[str, _idle_account.IdleAccount]:
        """Return by pool what uses the processors, and why some are idle.

        Call this after a round. It is calculated every two seconds at most.
        """
        return self._idle_accounts.update(now_ms)

    def oldest_not_run_ms(self, now_ms: int) -> Mapping[tuple[str, str], int]:
        """Return the age of the oldest task that has not run.

        It is told by route and by what holds the task up, from 2 s on.
        """
        return _wait_ages.oldest_not_run_ms(
            self._cell, self._task_starter, now_ms
        )

    def evacuated_tasks(
        self, now_ms: int
    ) -> Mapping[tuple[_specs.TaskKind, _evacuation.Remaining], int]:
        """Return the number of runs in evacuated domains, and their waits."""
        return self._task_starter.evacuation.remaining(now_ms)

    def evacuated_tasks_by_domain(
        self, now_ms: int
    ) -> Mapping[tuple[str, _specs.TaskKind, _evacuation.Remaining], int]:
        """Return the number of runs in each evacuated domain, by wait."""
        return self._task_starter.evacuation.by_domain(now_ms)

    def _settle_former_placements(
        self, former_runs: _takeover.FormerRuns
    ) -> None:
        """Forget placements by former owners whose runs have ended."""
        placements = self._cell.former_placements
        for task in list(placements.values()):
            if former_runs.may_include_placement(task, self._cell.workers):
                continue
            del placements[task.key]
            job = self._cell.jobs.get(task.key.job)
            if task.former_worker and job is not None:
                task.former_worker = ''
                self._cell.save(job)
        if not former_runs.are_known:
            return
        for job_id in sorted(self._cell.unplaced_job_ids):
            job = self._cell.jobs.get(job_id)
            if job is not None:
                job.has_unknown_placements = False
                self._cell.save(job)
        self._cell.unplaced_job_ids.clear()

    def _queue_due_occurrences(self, now_ms: int, wall_ms: int) -> None:
        """Queue the tasks of occurrences that have become due."""
        for job_id in list(self._cell.timed_job_ids):
            job = self._cell.jobs.get(job_id)
            if job is None or job.outcome is not None:
                self._cell.timed_job_ids.discard(job_id)
                continue
            while job.next_occurrence < job.spec.occurrence_count and (
                wall_ms
                >= job.spec.due_ms(job.next_occurrence) + TIMED_START_MARGIN_MS
            ):
                self._cell.queue_ready_steps(job, job.next_occurrence, now_ms)
                job.next_occurrence += 1
