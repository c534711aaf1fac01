"""Apply worker reports to the state of a cell."""

import collections
from collections.abc import Iterable

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _crash_handler
from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _exclusions
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _incarnations
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _lapses
from oriolestand_policy.scheduling import _pacing
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _stalls

MISSED_POLLS_LIMIT = 2
"""Consecutive polls whose reports omit a run before it counts as lost."""

HARM_TURN_DELAY_MS = 10_000
"""Time for which a filling task that was stopped for interference does not go
before others. It would be placed beside the next service at once, as long as
the estimate of its harm is too low, and stopped there as well."""

UNCONFIRMED = (_fleet.RunPhase.STARTING, _fleet.RunPhase.IN_DOUBT)
"""Phases of runs that a report shows to run."""

MAX_LOGGED_TASKS = 5
"""Maximum number of task names in one log line."""


class ReportHandler:
    """Update a cell from worker reports."""

    def __init__(
        self,
        cell: _cell.Cell,
        crash_handler: _crash_handler.CrashHandler,
        incarnations: _incarnations.Incarnations,
    ) -> None:
        self._cell = cell
        self._crash_handler = crash_handler
        self._incarnations = incarnations

    def on_worker_report(
        self,
        worker_id: str,
        worker_report: _reports.WorkerReport,
        sent_ms: int,
        now_ms: int,
    ) -> set[str]:
        """Apply a worker report to the state of the cell.

        Return the ids of the jobs whose record must be written before the
        ends in the report are acknowledged to the worker.
        """
        worker = self._cell.workers.get(worker_id)
        if worker is not None:
            worker = self._incarnations.apply_report(
                worker, worker_report, sent_ms, now_ms
            )
        if worker is None:
            return self._apply_done_ends(worker_report.ended, now_ms)
        is_first = not worker.is_probed
        if is_first:
            worker.is_probed = True
            self._cell.log('worker_probed', '', worker=worker_id)
        fenced_ms = -1
        if 0 <= worker.fenced_after_ms < sent_ms:
            fenced_ms, worker.fenced_after_ms = worker.fenced_after_ms, -1
        if is_first or fenced_ms >= 0:
            self._bound_lease(worker, worker_report.clock_ms)
        is_over = _lapses.count_hidden_runs(worker, worker_report, sent_ms)
        worker.last_report_ms = now_ms
        worker.report_sent_ms = sent_ms
        worker.is_report_arriving = False
        worker.has_awaited_report = False
        worker.unreachable_ms = -1
        worker.failed_polls = 0
        worker.clock_ms = worker_report.clock_ms
        _exclusions.forget_old_failures(worker, now_ms)
        self._log_late_ends(worker, worker_report.ended)
        jobs_to_save: set[str] = set()
        for end in worker_report.ended:
            if self._apply_end(worker, end, now_ms):
                jobs_to_save.add(end.key.job)
        listed = set()
        for report in worker_report.running:
            run_key = (report.key, report.number)
            listed.add(run_key)
            run = worker.runs.get(run_key)
            if run is None:
                run = self._adopt(worker, report, now_ms)
            self._apply_run_report(worker, run, report, now_ms)
        if not (worker_report.has_more_ends or worker.hidden_runs):
            # Otherwise a run that is not listed may have ended or go on.
            worker.are_runs_known = True
            # What a worker without a lease does not list has certainly ended.
            limit = 1 if is_over else MISSED_POLLS_LIMIT
            self._drop_missing_runs(
                worker, listed, sent_ms, fenced_ms, now_ms, limit
            )
        self._crash_handler.on_report(worker)
        if self._note_idle_runs(worker, now_ms):
            self._stop_stalled_runs(worker, now_ms)
        self._cell.pressure.observe(worker, now_ms)
        self._mitigate_interference(worker, now_ms)
        return jobs_to_save

    def _bound_lease(self, worker: _fleet.Worker, clock_ms: int) -> None:
        """Allow for the longest lease that may have been requested by now.

        A former owner may have requested it, or an order for the former
        incarnation, whose clock showed another time.
        """
        worker.lease_end_ms = max(
            worker.lease_end_ms, clock_ms + self._cell.lease_max_ms
        )

    def _log_late_ends(
        self,
        worker: _fleet.Worker,
        ends: tuple[_reports.EndReport, ...],
    ) -> None:
        """Log the ends of runs that were released before they were reported.

        How they ended tells whether the lease of the worker has lapsed, and
        whether the tasks that were queued again had been done.
        """
        late_tasks: dict[_jobs.EndKind, list[str]] = collections.defaultdict(
            list
        )
        for end in ends:
            if (end.key, end.number) in worker.runs:
                continue
            job = self._cell.jobs.get(end.key.job)
            task = job.find(end.key) if job is not None else None
            if task is None or task.is_done or task.run < end.number:
                continue
            if task.run == end.number and task.worker:
                continue
            late_tasks[end.kind].append(str(end.key))
        for kind, tasks in late_tasks.items():
            self._cell.log(
                'late_ends',
                '',
                worker=worker.info.id,
                reason=kind.value,
                ends=len(tasks),
                tasks=tasks[:MAX_LOGGED_TASKS],
            )

    def on_late_report(
        self, worker_report: _reports.WorkerReport, now_ms: int
    ) -> set[str]:
        """Apply the ends as done in a report whose poll has failed.

        A later poll may have been answered meanwhile, so the rest of the
        report is ignored. Return the ids of the jobs whose record must be
        written before these ends are acknowledged.
        """
        return self._apply_done_ends(worker_report.ended, now_ms)

    def on_job_added(self, job_id: str, now_ms: int) -> None:
        """Apply the ends that were listed before a job was added."""
        ends = self._cell.ends_of_unknown_jobs.pop(job_id, [])
        self._apply_done_ends(ends, now_ms)

    def _apply_done_ends(
        self, ends: Iterable[_reports.EndReport], now_ms: int
    ) -> set[str]:
        """Apply ends as done that are not from a current report.

        A task that is done stays done. Return the ids of the jobs whose record
        must be written before these ends are acknowledged.
        """
        jobs_to_save: set[str] = set()
        for end in ends:
            if end.kind is not _jobs.EndKind.DONE:
                continue
            job = self._cell.jobs.get(end.key.job)
            if job is None:
                self._cell.keep_end(end)
                continue
            task = job.find(end.key)
            if task is None:
                continue
            self._cell.confirm_start(job)
            if task.spec.is_service:
                continue
            if job.outcome is None and not task.is_done:
                self._apply_completion(job, task, end, now_ms)
            jobs_to_save.add(end.key.job)
        return jobs_to_save

    def _mitigate_interference(
        self, worker: _fleet.Worker, now_ms: int
    ) -> None:
        """Move or pause filling tasks that slow down service tasks."""
        _pacing.track_tail_latency(worker, now_ms)
        mitigations = list(
            _pacing.plan_mitigations(worker, self._cell.pressure, now_ms)
        )
        for mitigation in mitigations:
            run = mitigation.run
            if mitigation.is_move:
                self._cell.stop_run(
                    worker.info.id, run.key, run.number, 'harm'
                )
                self._cell.mark_stop_sent(run, now_ms)
                self._delay_turn(run, now_ms)
                continue
            worker.set_pace(run, mitigation.pace)
            run.paced_ms = now_ms
            self._send_pace(worker, run)

    def _delay_turn(self, run: _fleet.Run, now_ms: int) -> None:
        """Let a task that was stopped for interference wait for its turn."""
        job = self._cell.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if task is not None and task.run == run.number:
            task.is_overdue = False
            task.may_be_slowed = False
            task.turn_after_ms = now_ms + HARM_TURN_DELAY_MS

    def _send_pace(self, worker: _fleet.Worker, run: _fleet.Run) -> None:
        """Order a worker to run a task at its present pace."""
        run.is_pace_in_doubt = False
        self._cell.effects.append(
            _effects.PaceTask(
                worker=worker.info.id,
                key=run.key,
                run=run.number,
                percent=run.pace,
            )
        )

    def _note_idle_runs(self, worker: _fleet.Worker, now_ms: int) -> bool:
        """Store how long runs have shown no progress, for the next owner.

        Return whether there are such runs. Only these can have stalled.
        """
        has_idle_runs = False
        for run, idle_ms in _stalls.idle_runs(worker, now_ms):
            has_idle_runs = True
            job = self._cell.jobs.get(run.key.job)
            task = job.find(run.key) if job is not None else None
            if job is None or task is None or task.run != run.number:
                continue
            idleness = _jobs.Idleness(run.number, run.percent, idle_ms)
            if task.idleness != idleness:
                task.idleness = idleness
                self._cell.save(job)
        return has_idle_runs

    def _stop_stalled_runs(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Stop stalled runs, so that their tasks start on other workers."""
        stalled = _stalls.stalled_runs(worker, now_ms)
        if not stalled:
            for run in _stalls.lone_stalled_runs(worker, now_ms):
                self._stop_stalled_run(worker, run, now_ms)
        if not stalled:
            return
        if worker.avoid_until_ms <= now_ms:
            self._cell.log(
                'worker_stalled', '', worker=worker.info.id, runs=len(stalled)
            )
        _exclusions.record_stall(worker, now_ms)
        for run in stalled:
            self._stop_stalled_run(worker, run, now_ms)

    def _stop_stalled_run(
        self, worker: _fleet.Worker, run: _fleet.Run, now_ms: int
    ) -> None:
        """Stop a stalled run; the next one of its task has more time."""
        self._cell.stop_run(worker.info.id, run.key, run.number, 'stalled')
        self._cell.mark_stop_sent(run, now_ms)
        job = self._cell.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if task is not None:
            # The record that holds the end of the run has it as well.
            task.stalls += 1

    def _apply_end(
        self, worker: _fleet.Worker, end: _reports.EndReport, now_ms: int
    ) -> bool:
        """Apply the end of a run; return whether the record must be saved."""
        run = worker.runs.get((end.key, end.number))
        if run is not None:
            worker.drop(run)
        job = self._cell.jobs.get(end.key.job)
        task = job.find(end.key) if job is not None else None
        if job is None and end.kind is _jobs.EndKind.DONE:
            self._cell.keep_end(end)
        if job is None or task is None:
            return False
        if task.late_worker:
            self._cell.settle_late_start(end.key, end.number)
        if run is not None and end.kind is _jobs.EndKind.DONE:
            self._observe_run_time(job, run, now_ms)
        if job.outcome is not None:
            # The record that holds the outcome may not be written yet.
            return True
        self._cell.confirm_start(job)
        if end.kind is _jobs.EndKind.DONE and not task.spec.is_service:
            if not task.is_done:
                worker.failed_tasks.clear()
                self._apply_completion(job, task, end, now_ms)
            return True
        if task.former_worker == worker.info.id and (
            task.former_run == end.number
        ):
            task.former_worker = ''
            self._cell.save(job)
        if end.number in task.failed_runs:
            return True
        if end.checkpoint and not task.is_done:
            task.checkpoint = end.checkpoint
        if end.kind is _jobs.EndKind.FAILED:
            self._record_failure(worker, job, task, end.number, now_ms)
        elif end.kind is not _jobs.EndKind.STOPPED:
            self._cell.log(
                'run_ended',
                job.spec.id,
                task=str(end.key),
                run=end.number,
                how=end.kind.value,
                worker=worker.info.id,
            )
        if task.run == end.number and task.worker == worker.info.id:
            task.worker = ''
            if job.outcome is None and not task.is_done:
                self._cell.make_ready(job, task, now_ms)
        self._cell.save(job)
        return True

    def _observe_run_time(
        self, job: _jobs.Job, run: _fleet.Run, now_ms: int
    ) -> None:
        """Learn how long a task runs, unless its run was slowed or resumed."""
        is_slowed = run.paced_ms > 0 or run.pace < _pacing.FULL_PACE
        if run.is_whole and not is_slowed:
            self._cell.run_times.observe(
                job.spec.route, run.spec, now_ms - run.since_ms
            )

    def _apply_completion(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        end: _reports.EndReport,
        now_ms: int,
    ) -> None:
        """Mark a task as done and queue the steps that depended on it."""
        members = [task]
        if task.spec.is_gang:
            # The end of one member completes the whole gang.
            members = job.occurrence(task.key.occurrence)[task.key.step]
        for member in members:
            if member.is_done:
                continue
            job.mark_done(member)
            self._cell.ready.discard(member.key)
            if member.worker and member.run != end.number:
                self._cell.stop_run(
                    member.worker, member.key, member.run, 'done'
                )
            member.worker = ''
        self._cell.save(job)
        if job.is_step_done(task.key.occurrence, task.key.step):
            self._cell.queue_ready_steps(job, task.key.occurrence, now_ms)
            self._cell.finish_if_complete(job)

    def _record_failure(
        self,
        worker: _fleet.Worker,
        job: _jobs.Job,
        task: _jobs.Task,
        number: int,
        now_ms: int,
    ) -> None:
        """Count a failed run against its task and its worker."""
        if not task.spec.is_service:
            task.failed_runs.append(number)
        task.avoid.add(worker.info.id)
        route = self._cell.policy_of(job)
        limit = route.max_attempts if route is not None else 1
        self._cell.log(
            'run_failed',
            job.spec.id,
            task=str(task.key),
            failures=len(task.failed_runs),
            limit=limit,
            worker=worker.info.id,
        )
        if _exclusions.record_failure(worker, task.key, now_ms):
            self._cell.log('worker_avoided', '', worker=worker.info.id)
        if not task.spec.is_service and len(task.failed_runs) >= limit:
            self._cell.end_job(job, _jobs.Outcome.FAILED, now_ms)

    def _apply_run_report(
        self,
        worker: _fleet.Worker,
        run: _fleet.Run,
        report: _reports.RunReport,
        now_ms: int,
    ) -> None:
        """Update a run from its entry in a worker report."""
        if run.phase in UNCONFIRMED:
            run.phase = _fleet.RunPhase.RUNNING
            run.since_ms = now_ms
        run.missed_polls = 0
        run.is_sent = run.has_begun = True
        if not run.is_reported or report.percent != run.percent:
            run.progress_clock_ms = worker.clock_ms
        if run.doubt_ms >= 0 and not run.is_reported:
            self._cell.settle_late_start(run.key, run.number)
        run.is_reported = run.is_confirmed = True
        run.pending_crash = None
        if not run.is_proven:
            _crashes.mark_proven(run, worker, now_ms)
        if report.percent == _reports.UNKNOWN_PERCENT:
            run.progress_changed_ms = now_ms
        else:
            _stalls.note_first_percent(run, report.percent)
            if report.percent != run.percent:
                run.percent = report.percent
                run.progress_changed_ms = now_ms
        run.measured = report.measured
        if run.is_pace_in_doubt and run.stop_sent_ms < 0:
            run.paced_ms = now_ms
            self._send_pace(worker, run)
        job = self._cell.jobs.get(report.key.job)
        if job is None or (job.has_started and not report.checkpoint):
            return
        task = job.find(report.key)
        if task is None:
            return
        self._cell.confirm_start(job)
        if report.checkpoint and not task.is_done:
            task.checkpoint = report.checkpoint

    def _adopt(
        self, worker: _fleet.Worker, report: _reports.RunReport, now_ms: int
    ) -> _fleet.Run:
        """Add a run that a former owner started.

        Stop the run unless its task is still waiting for one.
        """
        job = self._cell.jobs.get(report.key.job)
        task = job.find(report.key) if job is not None else None
        run = _fleet.Run(
            key=report.key,
            number=report.number,
            spec=task.spec if task is not None else _specs.StepSpec(count=1),
            phase=_fleet.RunPhase.RUNNING,
            since_ms=now_ms,
            is_proven=task is None or not task.is_suspect,
            stalls=task.stalls if task is not None else 0,
        )
        if run.spec.is_filling:
            # The former owner may have paused or slowed it; nobody else would
            # resume it.
            run.pace = _pacing.apparent_pace(report.measured, run.spec.cpu)
            run.paced_ms = now_ms if run.pace < _pacing.FULL_PACE else 0
        worker.add(run)
        self._cell.settle_late_start(run.key, run.number)
        is_needed = (
            job is not None
            and task is not None
            and job.outcome is None
            and task.is_idle
        )
        if not is_needed or job is None or task is None:
            self._cell.stop_run(
                worker.info.id, report.key, report.number, 'not wanted'
            )
            return run
        task.assign(worker.info.id, report.number, now_ms)
        # Adopted runs are listed, so that the clock of progress is kept.
        run.is_reported = run.is_confirmed = run.has_begun = True
        run.progress_clock_ms = worker.clock_ms
        _stalls.resume(
            run, task.idleness, report.percent, worker.clock_ms, now_ms
        )
        self._cell.ready.discard(task.key)
        self._cell.log(
            'run_adopted',
            job.spec.id,
            task=str(task.key),
            run=report.number,
            worker=worker.info.id,
        )
        return run

    def _drop_missing_runs(
        self,
        worker: _fleet.Worker,
        listed: set[tuple[_jobs.TaskKey, int]],
        sent_ms: int,
        fenced_ms: int,
        now_ms: int,
        limit: int,
    ) -> None:
        """Drop runs that a worker no longer lists and release their tasks.

        The worker refuses orders that were sent before ``fenced_ms``. A run
        has to be omitted ``limit`` times.
        """
        if len(listed) == len(worker.runs):
            # Runs that are listed and unknown have been adopted.
            return
        for run_key, run in list(worker.runs.items()):
            if run_key in listed or run.phase is _fleet.RunPhase.STARTING:
                continue
            if run.since_ms >= sent_ms:
                continue
            is_outdated = run.since_ms < fenced_ms
            if not is_outdated and run.phase is _fleet.RunPhase.IN_DOUBT:
                # A delayed start order may still take effect, unless the
                # worker has since answered a stop order.
                if not run.is_stop_settled or run.stop_sent_ms >= sent_ms:
                    continue
            run.missed_polls += 1
            if not is_outdated and run.missed_polls < limit:
                continue
            worker.drop(run)
            if is_outdated:
                self._cell.settle_late_start(run.key, run.number)
            elif run.phase is _fleet.RunPhase.IN_DOUBT:
                self._cell.note_late_start(run, worker.info.id)
            self._cell.log(
                'run_missing',
                run.key.job,
                task=str(run.key),
                run=run.number,
                phase=run.phase.value,
                worker=worker.info.id,
            )
            self._crash_handler.count_pending_crash(run, worker.info.id)
            self._cell.release(run, worker.info.id, now_ms)
