"""Count crashes of workers against the tasks that may have caused them."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _losses

MAX_LOGGED_RUNS = 8


class CrashHandler:
    """Keep the crashes of tasks, and give up the tasks that cause them.

    A run is watched if its worker may have crashed while the next owner
    would find no trace of the run: from the start of a suspect, and from the
    first failed poll of a worker for its newest runs. The watch of a run whose
    lease is over is kept until the worker is replaced or reports again, as its
    task may be watched on another worker by then.
    """

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._marked: dict[_jobs.TaskKey, _jobs.Task] = {}
        self._watched: dict[str, dict[_jobs.TaskKey, _jobs.Task]] = {}
        self._released: dict[str, dict[_jobs.TaskKey, _jobs.Watch]] = {}
        self._losses = _losses.LossTracker(cell.workers)
        self._confirmed: list[_jobs.Task] = []
        cell.on_worker_gone = self.on_worker_gone

    def marked(self) -> Iterator[_jobs.Task]:
        """Yield the unfinished tasks with crashes; forget the others."""
        for key, task in list(self._marked.items()):
            job = self._cell.jobs.get(key.job)
            if (
                job is None
                or job.outcome is not None
                or job.find(key) is not task
                or task.is_done
                or not task.crashes
            ):
                del self._marked[key]
            else:
                yield task

    def on_restored(self, tasks: Iterable[_jobs.Task]) -> None:
        """Add tasks that a former owner suspected or watched.

        A former owner that has removed a worker, but has not stored what
        became of a watched run, ended right after the crash.
        """
        for task in tasks:
            watch = task.watch
            if watch is not None and watch.worker in self._cell.workers:
                self._watched.setdefault(watch.worker, {})[task.key] = task
                self._complete_info(watch)
            elif watch is not None:
                task.watch = None
                task.crashes.append(
                    _jobs.Crash(address=watch.address, kind=watch.kind)
                )
            if task.crashes:
                self._marked[task.key] = task
                self._check_cause(task)

    def _complete_info(self, watch: _jobs.Watch) -> None:
        """Add what a watch tells of a former worker, whose row does not.

        Another incarnation under the same id then counts as a restart.
        """
        worker = self._cell.workers[watch.worker]
        if worker.is_probed or worker.info.process_start_ms:
            return
        worker.info = dataclasses.replace(
            worker.info,
            process_start_ms=watch.process_start_ms,
            rack=worker.info.rack or watch.rack,
        )

    def watch(self, task: _jobs.Task, worker: _fleet.Worker) -> None:
        """Watch the run of a suspect that is started alone."""
        self._watch(task, worker, _jobs.CrashKind.ALONE)

    def on_unreachable(self, worker: _fleet.Worker) -> None:
        """Watch the newest runs of a worker whose poll failed."""
        self._losses.on_unreachable(worker)
        if not worker.is_probed or worker.info.is_leaving:
            return
        runs = _crashes.suspect_runs(worker)
        kind = _kind_of(worker, runs)
        for task in self._tasks_of(worker, runs):
            self._watch(task, worker, kind)

    def on_lease_over(self, worker: _fleet.Worker) -> None:
        """Keep the watches of a worker whose tasks start elsewhere."""
        self._count_pending_crashes(worker)
        watched = self._watched.get(worker.info.id, {})
        released = {
            key: task.watch
            for key, task in watched.items()
            if task.watch is not None
        }
        if released:
            self._released.setdefault(worker.info.id, {}).update(released)

    def on_report(self, worker: _fleet.Worker) -> None:
        """Stop watching the runs of a worker that has not crashed."""
        self._losses.on_report(worker)
        self._released.pop(worker.info.id, None)
        watched = self._watched.get(worker.info.id)
        if not watched:
            return
        for task in list(watched.values()):
            run = worker.runs.get((task.key, task.run))
            if run is not None and run.pending_crash is not None:
                continue
            if run is None or run.is_proven or not task.is_suspect:
                self._unwatch(task)
            elif task.watch is not None and _is_of_former(task.watch, worker):
                self._watch(task, worker, task.watch.kind)

    def on_worker_gone(self, worker: _fleet.Worker, reason: str) -> None:
        """Count the crash of a worker against the tasks that may be at fault.

        Nothing counts if the worker left. If it has restarted, its present
        incarnation may have the runs that the former one did not list, so the
        crash counts against these once they are missing in its reports.
        """
        watched = list(self._watched.get(worker.info.id, {}).values())
        released = self._released.pop(worker.info.id, {})
        is_crash = _is_crash(worker, reason)
        runs = _crashes.suspect_runs(worker)
        kind = _kind_of(worker, runs)
        tasks = {task.key: kind for task in self._tasks_of(worker, runs)}
        if not worker.is_probed:
            # Its runs are those that the former owner watched.
            tasks = {
                task.key: task.watch.kind
                for task in watched
                if task.watch is not None and not task.worker
            }
        else:
            # These were released when the lease of the worker was over.
            tasks |= {
                task.key: task.watch.kind
                for task in watched
                if task.watch is not None
                and (task.key, task.watch.run) not in worker.runs
            }
            tasks = {
                key: watch.kind for key, watch in released.items()
            } | tasks
        has_common_cause = is_crash and self._losses.add(worker)
        if is_crash and (worker.runs or tasks):
            self._log_crash(worker, reason, has_common_cause=has_common_cause)
        for task in watched:
            self._unwatch(task)
        if not is_crash:
            return
        carried: dict[_jobs.TaskKey, _fleet.Run] = {}
        if reason == _crashes.RESTARTED:
            carried = {run.key: run for run in runs if not run.is_reported}
        else:
            self._count_pending_crashes(worker, tasks.keys())
        for key, kind in tasks.items():
            if has_common_cause:
                kind = _jobs.CrashKind.COMMON
            crash = _jobs.Crash(address=worker.info.address, kind=kind)
            if key in carried:
                self._defer_crash(carried[key], worker, crash)
            else:
                self._add_crash(key, crash, worker.info.id)

    def _defer_crash(
        self, run: _fleet.Run, worker: _fleet.Worker, crash: _jobs.Crash
    ) -> None:
        """Keep a crash until the next incarnation shows whether it counts.

        The watch lets the next owner count it, if this one ends before.
        """
        run.pending_crash = crash
        for task in self._tasks_of(worker, [run]):
            self._watch(task, worker, crash.kind)

    def _count_pending_crashes(
        self,
        worker: _fleet.Worker,
        counted: Collection[_jobs.TaskKey] = (),
    ) -> None:
        """Count the crash of an earlier incarnation of a lost worker.

        A run was on one incarnation only, so it does not count against the
        tasks in ``counted``, against which the loss of this one counts.
        """
        for run in worker.runs.values():
            if run.key not in counted:
                self.count_pending_crash(run, worker.info.id)

    def count_pending_crash(self, run: _fleet.Run, worker_id: str) -> None:
        """Count the crash of a worker that must have had a run."""
        crash, run.pending_crash = run.pending_crash, None
        if crash is None:
            return
        task = self._watched.get(worker_id, {}).get(run.key)
        if task is not None:
            self._unwatch(task)
        self._add_crash(run.key, crash, worker_id)

    def _tasks_of(
        self, worker: _fleet.Worker, runs: Iterable[_fleet.Run]
    ) -> list[_jobs.Task]:
        """Return the unfinished tasks of which these are the current runs."""
        found: list[_jobs.Task] = []
        for run in runs:
            job = self._cell.jobs.get(run.key.job)
            if job is None or job.outcome is not None:
                continue
            task = job.find(run.key)
            if task is None or task.is_done:
                continue
            if task.run == run.number and task.worker == worker.info.id:
                found.append(task)
        return found

    def _add_crash(
        self,
        key: _jobs.TaskKey,
        crash: _jobs.Crash,
        worker_id: str,
    ) -> None:
        """Count a crash of a worker against a task."""
        job = self._cell.jobs.get(key.job)
        task = job.find(key) if job is not None else None
        if job is None or task is None or job.outcome is not None:
            return
        if task.is_done or self._is_survived(task):
            return
        task.crashes.append(crash)
        self._marked[task.key] = task
        self._check_cause(task)
        self._cell.save(job)
        if task.is_suspect:
            self._cell.log(
                'task_suspected',
                key.job,
                task=str(key),
                run=task.run,
                worker=worker_id,
                crashes=[list(crash) for crash in task.crashes],
            )

    def _is_survived(self, task: _jobs.Task) -> bool:
        """Return whether another worker survives the current run of a task."""
        worker = self._cell.workers.get(task.worker)
        if worker is None:
            return False
        run = worker.runs.get((task.key, task.run))
        return run is not None and run.is_proven

    def _check_cause(self, task: _jobs.Task) -> None:
        """Note a task whose crashes are its own fault."""
        if _crashes.is_cause(task.crashes):
            self._confirmed.append(task)

    def give_up_tasks(self, now_ms: int) -> None:
        """End the jobs of tasks that crash their workers as failed."""
        confirmed, self._confirmed = self._confirmed, []
        for task in confirmed:
            job = self._cell.jobs.get(task.key.job)
            if job is None or job.outcome is not None or task.is_done:
                continue
            self._cell.log(
                'task_given_up',
                job.spec.id,
                task=str(task.key),
                kind=task.spec.kind.value,
                crashes=[list(crash) for crash in task.crashes],
            )
            self._cell.end_job(job, _jobs.Outcome.FAILED, now_ms)

    def clear(self, task: _jobs.Task) -> None:
        """Forget the crashes of a task whose worker survives it."""
        if task.is_suspect:
            self._cell.log(
                'task_cleared',
                task.key.job,
                task=str(task.key),
                run=task.run,
                worker=task.worker,
                crashes=len(task.crashes),
            )
        task.crashes.clear()
        self._unwatch(task)
        self._save(task)

    def _watch(
        self,
        task: _jobs.Task,
        worker: _fleet.Worker,
        kind: _jobs.CrashKind,
    ) -> None:
        """Watch the current run of a task, and store that."""
        self._unwatch(task)
        task.watch = _jobs.Watch(
            run=task.run,
            worker=worker.info.id,
            address=worker.info.address,
            kind=kind,
            process_start_ms=worker.info.process_start_ms,
            rack=worker.info.rack,
        )
        self._watched.setdefault(worker.info.id, {})[task.key] = task
        self._save(task)

    def _unwatch(self, task: _jobs.Task) -> None:
        """Stop watching a run of a task."""
        if task.watch is None:
            return
        watched = self._watched.get(task.watch.worker, {})
        watched.pop(task.key, None)
        if not watched:
            self._watched.pop(task.watch.worker, None)
        task.watch = None
        self._save(task)

    def _save(self, task: _jobs.Task) -> None:
        """Queue a write of the record of a task's job."""
        job = self._cell.jobs.get(task.key.job)
        if job is not None:
            self._cell.save(job)

    def _log_crash(
        self, worker: _fleet.Worker, reason: str, *, has_common_cause: bool
    ) -> None:
        """Log a crashed worker and its runs, the youngest first.

        A row holds the task, the run, its age at the last report and at the
        first failed poll, and the crashes that count against the task so far.
        """
        rows: list[list[object]] = []
        runs = sorted(worker.runs.values(), key=lambda r: -r.since_ms)
        for run in runs[:MAX_LOGGED_RUNS]:
            task = self._marked.get(run.key)
            rows.append(
                [
                    str(run.key),
                    run.number,
                    max(-1, worker.last_report_ms - run.since_ms),
                    max(-1, worker.unreachable_ms - run.since_ms),
                    len(task.crashes) if task is not None else 0,
                ]
            )
        self._cell.log(
            'worker_crashed',
            '',
            worker=worker.info.id,
            reason=reason,
            has_common_cause=has_common_cause,
            last_report_ms=worker.last_report_ms,
            unreachable_ms=worker.unreachable_ms,
            runs=len(runs),
            youngest=rows,
        )


def _is_crash(worker: _fleet.Worker, reason: str) -> bool:
    """Return whether a worker was lost without having announced it."""
    if worker.info.is_leaving:
        return False
    if reason in _crashes.CRASH_REASONS:
        return True
    return reason in _crashes.LOSS_REASONS and not worker.is_listed


def _is_of_former(watch: _jobs.Watch, worker: _fleet.Worker) -> bool:
    """Return whether a watch names a former incarnation of a worker."""
    return watch.process_start_ms < worker.info.process_start_ms


def _kind_of(worker: _fleet.Worker, runs: list[_fleet.Run]) -> _jobs.CrashKind:
    """Return the kind of a crash of a worker with unproven runs."""
    if not _crashes.is_single_suspect(runs):
        return _jobs.CrashKind.SHARED
    if not _crashes.is_prompt(worker, runs):
        return _jobs.CrashKind.LATE
    return _jobs.CrashKind.ALONE
