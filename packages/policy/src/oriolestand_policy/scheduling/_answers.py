"""Take over what workers answer."""

import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _pacing
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _stalls

FAILURES_TO_AVOID = 3
AVOID_MS = 8_000
REFUSAL_AVOID_MS = 300
UNHEALTHY_AVOID_MS = 1_000
STALL_AVOID_MS = 4_000
"""Workers have been seen to stand still for five to seven seconds."""

MISSING_LOOKS = 2
"""Looks that must omit a run before it counts as gone without an end."""


class Answers:
    """Apply looks and answers to orders to a cell."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell

    def on_look(
        self, worker_id: str, look: _reports.Look, sent_ms: int, now_ms: int
    ) -> set[str]:
        """Take over what a worker lists.

        Return the jobs whose record must be written before the ends are
        acknowledged.
        """
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return set()
        if look.born_ms and look.born_ms < worker.info.born_ms:
            return set()
        if look.born_ms > worker.info.born_ms:
            worker = self._note_birth(worker, look, now_ms)
        if not worker.is_probed:
            worker.is_probed = True
            # A former owner may have asked for any lease up to the longest.
            worker.lease_end_ms = look.clock_ms + self._cell.lease_max_ms
            self._cell.log('worker_probed', '', worker=worker_id)
        worker.seen_ms = now_ms
        worker.clock_ms = look.clock_ms
        touched: set[str] = set()
        for end in look.ended:
            if self._on_end(worker, end, now_ms):
                touched.add(end.key.job)
        listed = set()
        for report in look.running:
            listed.add((report.key, report.number))
            self._on_report(worker, report, now_ms)
        self._drop_missing(worker, listed, sent_ms, now_ms)
        self._restart_stalled(worker, now_ms)
        self._cell.pressure.observe(worker, now_ms)
        self._relieve(worker, now_ms)
        return touched

    def _relieve(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Move or slow the filling tasks that harm service tasks."""
        _pacing.note_tails(worker, now_ms)
        reliefs = list(
            _pacing.plan_relief(worker, self._cell.pressure, now_ms)
        )
        for relief in reliefs:
            run = relief.run
            if relief.is_move:
                self._cell.stop_run(
                    worker.info.id, run.key, run.number, 'harm'
                )
                self._cell.mark_stop(run, now_ms)
                continue
            run.pace = relief.pace
            run.paced_ms = now_ms
            self._cell.effects.append(
                _effects.PaceTask(
                    worker=worker.info.id,
                    key=run.key,
                    run=run.number,
                    percent=relief.pace,
                )
            )

    def _restart_stalled(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Stop runs that stand still, so that they run elsewhere."""
        stalled = _stalls.stalled_runs(worker, now_ms)
        if not stalled:
            return
        if worker.avoid_until_ms <= now_ms:
            self._cell.log(
                'worker_stalled', '', worker=worker.info.id, runs=len(stalled)
            )
        worker.avoid_until_ms = max(
            worker.avoid_until_ms, now_ms + STALL_AVOID_MS
        )
        for run in stalled:
            self._cell.stop_run(worker.info.id, run.key, run.number, 'stalled')
            self._cell.mark_stop(run, now_ms)

    def _note_birth(
        self, worker: _fleet.Worker, look: _reports.Look, now_ms: int
    ) -> _fleet.Worker:
        """Replace a worker that turns out to live a later life."""
        info = dataclasses.replace(worker.info, born_ms=look.born_ms)
        if not worker.info.born_ms:
            worker.info = info
            return worker
        self._cell.drop_worker(info.id, 'restarted')
        fresh = _fleet.Worker(
            info=info,
            is_listed=worker.is_listed,
            is_recorded=worker.is_recorded,
        )
        self._cell.workers[info.id] = fresh
        return fresh

    def _on_end(
        self, worker: _fleet.Worker, end: _reports.EndReport, now_ms: int
    ) -> bool:
        """Apply the end of a run; return whether the record changed."""
        run = worker.runs.get((end.key, end.number))
        if run is not None:
            worker.drop(run)
        job = self._cell.jobs.get(end.key.job)
        task = job.find(end.key) if job is not None else None
        if job is None or task is None:
            return False
        if job.outcome is not None:
            # The record with the outcome may not be written yet.
            return True
        if end.kind is _jobs.EndKind.DONE and not task.spec.is_service:
            if not task.is_done:
                self._on_done(worker, job, task, end, now_ms)
            return True
        if end.number in task.failed_runs:
            return True
        if end.checkpoint and not task.is_done:
            task.checkpoint = end.checkpoint
        if end.kind is _jobs.EndKind.FAILED:
            self._on_failed(worker, job, task, end.number, now_ms)
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

    def _on_done(
        self,
        worker: _fleet.Worker,
        job: _jobs.Job,
        task: _jobs.Task,
        end: _reports.EndReport,
        now_ms: int,
    ) -> None:
        """Note a task as done and open the steps that waited for it."""
        worker.recent_failures = 0
        peers = [task]
        if task.spec.is_gang:
            # One end of a gang stands for all its members.
            peers = job.occurrence(task.key.occurrence)[task.key.step]
        for peer in peers:
            if peer.is_done:
                continue
            peer.is_done = True
            self._cell.ready.pop(peer.key, None)
            if peer.worker and peer.run != end.number:
                self._cell.stop_run(peer.worker, peer.key, peer.run, 'done')
            peer.worker = ''
        self._cell.save(job)
        if job.is_step_done(task.key.occurrence, task.key.step):
            self._cell.open_steps(job, task.key.occurrence, now_ms)
            self._cell.finish_if_complete(job)

    def _on_failed(
        self,
        worker: _fleet.Worker,
        job: _jobs.Job,
        task: _jobs.Task,
        number: int,
        now_ms: int,
    ) -> None:
        """Count a failure of a task and of its worker."""
        if not task.spec.is_service:
            task.failed_runs.append(number)
        task.avoid.add(worker.info.id)
        worker.recent_failures += 1
        route = self._cell.routes.get(job.spec.route)
        limit = route.max_attempts if route is not None else 1
        self._cell.log(
            'run_failed',
            job.spec.id,
            task=str(task.key),
            failures=len(task.failed_runs),
            limit=limit,
            worker=worker.info.id,
        )
        if worker.recent_failures >= FAILURES_TO_AVOID:
            worker.avoid_until_ms = now_ms + AVOID_MS
            # One more failure after the pause is enough to avoid it again.
            worker.recent_failures = FAILURES_TO_AVOID - 1
            self._cell.log('worker_avoided', '', worker=worker.info.id)
        if not task.spec.is_service and len(task.failed_runs) >= limit:
            self._cell.end_job(job, _jobs.Outcome.FAILED, now_ms)

    def _on_report(
        self, worker: _fleet.Worker, report: _reports.RunReport, now_ms: int
    ) -> None:
        """Take over the state of a run that is there."""
        run = worker.runs.get((report.key, report.number))
        if run is None:
            run = self._adopt(worker, report, now_ms)
        if run.phase in (_fleet.RunPhase.STARTING, _fleet.RunPhase.IN_DOUBT):
            run.phase = _fleet.RunPhase.RUNNING
            run.since_ms = now_ms
        run.missing_looks = 0
        if report.percent != run.percent:
            run.percent = report.percent
            run.percent_ms = now_ms
        run.measured = report.measured
        job = self._cell.jobs.get(report.key.job)
        task = job.find(report.key) if job is not None else None
        if task is not None and report.checkpoint and not task.is_done:
            task.checkpoint = report.checkpoint

    def _adopt(
        self, worker: _fleet.Worker, report: _reports.RunReport, now_ms: int
    ) -> _fleet.Run:
        """Take over a run that another owner started, or stop it."""
        job = self._cell.jobs.get(report.key.job)
        task = job.find(report.key) if job is not None else None
        run = _fleet.Run(
            key=report.key,
            number=report.number,
            spec=task.spec if task is not None else _specs.StepSpec(count=1),
            phase=_fleet.RunPhase.RUNNING,
            since_ms=now_ms,
        )
        worker.add(run)
        is_wanted = (
            job is not None
            and task is not None
            and job.outcome is None
            and task.is_idle
        )
        if not is_wanted or job is None or task is None:
            self._cell.stop_run(
                worker.info.id, report.key, report.number, 'not wanted'
            )
            return run
        task.worker = worker.info.id
        task.run = report.number
        task.started_ms = now_ms
        job.has_started = True
        self._cell.ready.pop(task.key, None)
        self._cell.log(
            'run_adopted',
            job.spec.id,
            task=str(task.key),
            run=report.number,
            worker=worker.info.id,
        )
        return run

    def _drop_missing(
        self,
        worker: _fleet.Worker,
        listed: set[tuple[_jobs.TaskKey, int]],
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Give up runs that a worker no longer lists."""
        for ref, run in list(worker.runs.items()):
            if ref in listed or run.phase is _fleet.RunPhase.STARTING:
                continue
            if run.since_ms >= sent_ms:
                continue
            if run.phase is _fleet.RunPhase.IN_DOUBT:
                # A late start may still come unless a stop was answered.
                if not run.is_stop_settled or run.stop_sent_ms >= sent_ms:
                    continue
            run.missing_looks += 1
            if run.missing_looks < MISSING_LOOKS:
                continue
            worker.drop(run)
            self._cell.log(
                'run_missing',
                run.key.job,
                task=str(run.key),
                run=run.number,
                phase=run.phase.value,
                worker=worker.info.id,
            )
            self._cell.release(run, worker.info.id, now_ms)

    def on_start_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        outcome: _reports.StartOutcome,
        reason: str,
        now_ms: int,
    ) -> None:
        """Take over the answer to an order to start a task."""
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return
        run = worker.runs.get((key, number))
        if run is None:
            return
        if outcome is _reports.StartOutcome.STARTED:
            if run.phase is _fleet.RunPhase.STARTING:
                run.phase = _fleet.RunPhase.RUNNING
                run.since_ms = now_ms
            return
        if outcome is _reports.StartOutcome.IN_DOUBT:
            if run.phase is _fleet.RunPhase.STARTING:
                run.phase = _fleet.RunPhase.IN_DOUBT
                run.since_ms = now_ms
                self._cell.log(
                    'start_in_doubt',
                    key.job,
                    task=str(key),
                    run=number,
                    worker=worker_id,
                    reason=reason,
                )
                self._cell.stop_run(worker_id, key, number, 'in doubt')
            return
        self._cell.log(
            'start_refused',
            key.job,
            task=str(key),
            run=number,
            worker=worker_id,
            reason=reason,
        )
        if run.phase is _fleet.RunPhase.RUNNING:
            return
        pause = REFUSAL_AVOID_MS
        if outcome is _reports.StartOutcome.UNHEALTHY:
            pause = UNHEALTHY_AVOID_MS
        worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + pause)
        worker.drop(run)
        self._cell.release(run, worker_id, now_ms)

    def on_stop_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        is_answered: bool,
        now_ms: int,
    ) -> None:
        """Note whether a stop was answered, which settles a late start."""
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return
        run = worker.runs.get((key, number))
        if run is None:
            return
        if is_answered:
            run.is_stop_settled = True
            run.stop_sent_ms = now_ms
            if run.phase is not _fleet.RunPhase.IN_DOUBT:
                run.phase = _fleet.RunPhase.STOPPING
            run.since_ms = now_ms
