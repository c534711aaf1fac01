"""Count crashes of workers against the tasks that may have caused them."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _losses
from oriolestand_policy.scheduling import _lost_workers

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
        self._lost = _lost_workers.LostWorkers()
        self._confirmed: list[_jobs.Task] = []
        self._round_ms = 0
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
                or not task.all_crashes
            ):
                del self._marked[key]
            else:
                yield task

    def on_restored(self, tasks: Iterable[_jobs.Task]) -> None:
        """Add tasks that a former owner suspected or watched.

        A former owner that has removed the worker of a watched run has lost
        it, or ended before it has stored that the worker crashed.
        """
        for task in tasks:
            watch = task.watch
            if watch is not None:
                self._watched.setdefault(watch.worker, {})[task.key] = task
                if watch.worker in self._cell.workers:
                    self._complete_info(watch)
                else:
                    self._lost.add(_lost_by(watch, task.key))
            if task.all_crashes:
                self._marked[task.key] = task
                self._check_cause(task)

    def _complete_info(self, watch: _jobs.Watch) -> None:
        """Add what a watch tells of a former worker, whose row does not.

        Another incarnation under the same id then counts as a restart.
        """
        worker = self._cell.workers[watch.worker]
        if worker.is_probed or worker.info.process_start_ms:
            return
        worker.update_info(
            dataclasses.replace(
                worker.info,
                process_start_ms=watch.process_start_ms,
                rack=worker.info.rack or watch.rack,
            )
        )

    def watch(self, task: _jobs.Task, worker: _fleet.Worker) -> None:
        """Watch the run of a suspect that is started alone."""
        self._watch(task, worker, _jobs.CrashKind.ALONE)

    def on_start_without_effect(self, run: _fleet.Run) -> None:
        """Stop watching a run whose start order was refused or not sent."""
        job = self._cell.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if task is None or task.watch is None:
            return
        if task.watch.run == run.number:
            self._unwatch(task)

    def on_begun(self, run: _fleet.Run) -> None:
        """Note that a worker has answered the start of a watched run."""
        job = self._cell.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if task is not None:
            self._mark_begun(task, run)

    def on_unreachable(self, worker: _fleet.Worker) -> None:
        """Watch the newest runs of a worker whose poll failed."""
        self._losses.on_unreachable(worker)
        if not worker.is_probed or worker.info.is_leaving:
            return
        runs = _crashes.suspect_runs(worker)
        kind = _kind_of(worker, runs)
        for task in self._tasks_of(worker, runs):
            self._watch(task, worker, kind)

    def on_lease_over(
        self, worker: _fleet.Worker, runs: Iterable[_fleet.Run]
    ) -> None:
        """Keep the watches of a worker whose tasks start elsewhere.

        These are the tasks of ``runs``, which are over.
        """
        for run in runs:
            self.count_pending_crash(run, worker.info.id)
        watched = self._watched.get(worker.info.id, {})
        released = {
            key: task.watch
            for key, task in watched.items()
            if task.watch is not None
        }
        if released:
            self._released.setdefault(worker.info.id, {}).update(released)

    def on_registered(self, info: _fleet.WorkerInfo) -> None:
        """Count the crashes of lost workers that a new worker tells of."""
        for lost in self._lost.take(info):
            has_ended = lost.has_ended_before(info)
            for task in list(self._watched.get(lost.id, {}).values()):
                self._unwatch(task)
            if not has_ended:
                continue
            gone_ms = self._gone_ms(info)
            for key, suspect in lost.suspects.items():
                if _crashes.may_have_crashed(suspect.began_ms, gone_ms):
                    crash = _jobs.Crash(lost.address, suspect.kind)
                    self._add_crash(
                        key, crash, lost.id, has_begun=suspect.has_begun
                    )

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
            else:
                self._mark_begun(task, run)

    def on_worker_gone(
        self,
        worker: _fleet.Worker,
        reason: str,
        successor: _fleet.WorkerInfo | None,
    ) -> None:
        """Count the crash of a worker against the tasks that may be at fault.

        Nothing counts if the worker left, nor yet if it was lost. If it has
        restarted, its present incarnation may have the runs that the former
        one did not list, so the crash counts against these once they are
        missing in its reports. Nothing counts against tasks that had started
        long before that incarnation did.
        """
        successor = successor or self._registered_successor(worker)
        is_crash = _is_crash(worker, reason)
        is_lost = not is_crash and _is_lost(worker, reason)
        if is_lost and successor is not None:
            is_crash, is_lost = True, False
        suspects = self._suspects_by_task(worker)
        if is_crash:
            gone_ms = self._gone_ms(successor)
            possible = {
                key: suspect
                for key, suspect in suspects.items()
                if _crashes.may_have_crashed(suspect.began_ms, gone_ms)
            }
            if successor is None and len(possible) < len(suspects):
                # Its entry will tell when the next incarnation started.
                is_crash, is_lost = False, True
            else:
                suspects = possible
        watched = list(self._watched.get(worker.info.id, {}).values())
        if not (is_crash or is_lost):
            for task in watched:
                self._unwatch(task)
            return
        has_common_cause = self._losses.add(worker)
        if worker.runs or suspects:
            self._log_gone(
                worker,
                reason,
                is_lost=is_lost,
                has_common_cause=has_common_cause,
            )
        if has_common_cause:
            suspects = {
                key: suspect._replace(kind=_jobs.CrashKind.COMMON)
                for key, suspect in suspects.items()
            }
        if is_lost:
            self._keep_lost(worker, suspects)
            return
        for task in watched:
            self._unwatch(task)
        self._count_crashes(worker, suspects, reason)

    def _suspects_by_task(
        self, worker: _fleet.Worker
    ) -> dict[_jobs.TaskKey, _crashes.Suspect]:
        """Return the tasks that may have crashed a worker, and how."""
        released = self._released.pop(worker.info.id, {})
        watched = [
            (task, task.watch)
            for task in self._watched.get(worker.info.id, {}).values()
            if task.watch is not None
        ]
        if not worker.is_probed:
            # Its runs are those that the former owner watched.
            return {
                task.key: _suspect_of(watch)
                for task, watch in watched
                if not task.worker
            }
        runs = _crashes.suspect_runs(worker)
        kind = _kind_of(worker, runs)
        # The others were released when the lease of the worker was over.
        return {
            **{key: _suspect_of(watch) for key, watch in released.items()},
            **{
                task.key: _crashes.Suspect(
                    kind=kind,
                    began_ms=self._began_ms(task, worker),
                    has_begun=worker.runs[task.key, task.run].has_begun,
                )
                for task in self._tasks_of(worker, runs)
            },
            **{
                task.key: _suspect_of(watch)
                for task, watch in watched
                if (task.key, watch.run) not in worker.runs
            },
        }

    def _began_ms(self, task: _jobs.Task, worker: _fleet.Worker) -> int:
        """Return when the current run of a task began, in Unix time."""
        run = worker.runs.get((task.key, task.run))
        return self._unix_ms(run.since_ms if run else task.started_ms)

    def _unix_ms(self, time_ms: int) -> int:
        """Return a time of the owner as Unix time, 0 before a round."""
        offset_ms = self._cell.wall_offset_ms
        return 0 if offset_ms is None else time_ms + offset_ms

    def _gone_ms(self, successor: _fleet.WorkerInfo | None) -> int:
        """Return when a worker was gone at the latest, in Unix time.

        That is the start of the next incarnation, or the latest round if
        nothing tells it.
        """
        if successor is not None and successor.process_start_ms:
            return successor.process_start_ms
        return self._unix_ms(self._round_ms)

    def _registered_successor(
        self, worker: _fleet.Worker
    ) -> _fleet.WorkerInfo | None:
        """Return another worker that is registered at the address."""
        for other in self._cell.workers.values():
            if (
                other.is_listed
                and other.info.address == worker.info.address
                and other is not worker
            ):
                return other.info
        return None

    def _keep_lost(
        self,
        worker: _fleet.Worker,
        suspects: Mapping[_jobs.TaskKey, _crashes.Suspect],
    ) -> None:
        """Remember a lost worker until it is known how it ended.

        The watches of its runs let the next owner do so.
        """
        self._count_pending_crashes(worker, suspects.keys())
        for task in self._tasks_of(worker, worker.runs.values()):
            if task.key in suspects and task.watch is None:
                self._watch(task, worker, suspects[task.key].kind)
        for task in list(self._watched.get(worker.info.id, {}).values()):
            if task.key not in suspects:
                self._unwatch(task)
        self._lost.add(
            _lost_workers.LostWorker(
                id=worker.info.id,
                address=worker.info.address,
                process_start_ms=worker.info.process_start_ms,
                suspects=suspects,
            )
        )

    def _count_crashes(
        self,
        worker: _fleet.Worker,
        suspects: Mapping[_jobs.TaskKey, _crashes.Suspect],
        reason: str,
    ) -> None:
        """Count the crash of a worker against tasks, if need be later."""
        carried: dict[_jobs.TaskKey, _fleet.Run] = {}
        if reason == _crashes.RESTARTED:
            carried = {
                run.key: run
                for run in _crashes.suspect_runs(worker)
                if not run.is_reported
            }
        else:
            self._count_pending_crashes(worker, suspects.keys())
        for key, suspect in suspects.items():
            crash = _jobs.Crash(worker.info.address, suspect.kind)
            if key in carried:
                self._defer_crash(carried[key], worker, crash)
            else:
                self._add_crash(
                    key, crash, worker.info.id, has_begun=suspect.has_begun
                )

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
        self._add_crash(run.key, crash, worker_id, has_begun=run.has_begun)

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
        *,
        has_begun: bool,
    ) -> None:
        """Count a crash of a worker against a task.

        A worker that has not shown that it had begun the run may have been
        dead before it could read the order. Such a crash makes the task a
        suspect, but is no evidence that it is the cause.
        """
        job = self._cell.jobs.get(key.job)
        task = job.find(key) if job is not None else None
        if job is None or task is None or job.outcome is not None:
            return
        if task.is_done or self._is_survived(task):
            return
        counted = task.crashes if has_begun else task.doubtful_crashes
        counted.append(crash)
        job.crashed_keys.add(key)
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
                doubtful=[list(crash) for crash in task.doubtful_crashes],
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
        if _crashes.is_cause(task.crashes, task.doubtful_crashes):
            self._confirmed.append(task)

    def give_up_tasks(self, now_ms: int) -> None:
        """End the jobs of tasks that crash their workers as failed."""
        self._round_ms = now_ms
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
                crashes=len(task.all_crashes),
            )
        task.crashes.clear()
        task.doubtful_crashes.clear()
        self._unwatch(task)
        self._save(task)

    def _watch(
        self,
        task: _jobs.Task,
        worker: _fleet.Worker,
        kind: _jobs.CrashKind,
    ) -> None:
        """Watch the current run of a task, and store that."""
        began_ms = self._began_ms(task, worker)
        run = worker.runs.get((task.key, task.run))
        self._unwatch(task)
        task.watch = _jobs.Watch(
            run=task.run,
            worker=worker.info.id,
            address=worker.info.address,
            kind=kind,
            process_start_ms=worker.info.process_start_ms,
            rack=worker.info.rack,
            began_ms=began_ms,
            has_begun=run is not None and run.has_begun,
        )
        self._watched.setdefault(worker.info.id, {})[task.key] = task
        self._save(task)

    def _mark_begun(self, task: _jobs.Task, run: _fleet.Run) -> None:
        """Store that a worker has begun a watched run."""
        watch = task.watch
        if watch is None or watch.has_begun or watch.run != run.number:
            return
        task.watch = watch._replace(has_begun=True)
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

    def _log_gone(
        self,
        worker: _fleet.Worker,
        reason: str,
        *,
        is_lost: bool,
        has_common_cause: bool,
    ) -> None:
        """Log a crashed or lost worker and its runs, the youngest first.

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
                    len(task.all_crashes) if task is not None else 0,
                ]
            )
        self._cell.log(
            'worker_lost' if is_lost else 'worker_crashed',
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
    """Return whether another incarnation shows that a worker has crashed."""
    return not worker.info.is_leaving and reason in _crashes.CRASH_REASONS


def _is_lost(worker: _fleet.Worker, reason: str) -> bool:
    """Return whether a worker fell silent without having announced it."""
    if worker.info.is_leaving or worker.is_listed:
        return False
    return reason in _crashes.LOSS_REASONS


def _lost_by(
    watch: _jobs.Watch, key: _jobs.TaskKey
) -> _lost_workers.LostWorker:
    """Return the lost worker of a watched run."""
    return _lost_workers.LostWorker(
        id=watch.worker,
        address=watch.address,
        process_start_ms=watch.process_start_ms,
        suspects={key: _suspect_of(watch)},
    )


def _suspect_of(watch: _jobs.Watch) -> _crashes.Suspect:
    """Return how a crash counts by the watch of a run."""
    return _crashes.Suspect(watch.kind, watch.began_ms, watch.has_begun)


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
