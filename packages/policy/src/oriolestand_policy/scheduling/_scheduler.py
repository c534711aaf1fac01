"""Decide what runs where in one cell of workers."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _pacing
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _pressure
from oriolestand_policy.scheduling import _record
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _urgency

RUNS_PER_EPOCH = 1_000_000
"""Numbers of runs rise with the epoch, so that no owner repeats one."""

LEASE_MARGIN_MS = 500
"""Covers the time that a worker takes to end what its lease no longer holds.
"""

STOP_RETRY_MS = 500
FAILURES_TO_AVOID = 3
AVOID_MS = 8_000
REFUSAL_AVOID_MS = 300
UNHEALTHY_AVOID_MS = 1_000
MISSING_LOOKS = 2
"""Looks that must omit a run before it counts as gone without an end."""

STARTS_PER_ROUND = 200
TIMED_START_MARGIN_MS = 100
"""Starts of timed jobs wait a little, as wall clocks differ."""


class StartOutcome(enum.Enum):
    """Name how a worker answered an order to start a task."""

    STARTED = 'started'
    NO_ROOM = 'no_room'
    REFUSED = 'refused'
    UNHEALTHY = 'unhealthy'
    IN_DOUBT = 'in_doubt'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """Hold what a worker says of a run that is there.

    ``percent`` is the progress. ``measured`` is the tail of the response
    times in milliseconds for a service task, else the cpu in use.
    """

    key: _jobs.TaskKey
    number: int
    checkpoint: str
    percent: int
    measured: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndReport:
    """Hold the end of a run; ``sequence`` counts the ends of a worker."""

    sequence: int
    key: _jobs.TaskKey
    number: int
    kind: _jobs.EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Look:
    """Hold all that a worker lists, its clock and when its life began.

    ``born_ms`` of 0 means that the worker did not say.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    born_ms: int = 0


class Scheduler:
    """Hold the jobs and workers of a cell and decide what to start.

    All times are milliseconds of the driver's clock unless a name says
    ``wall``. Effects gather until ``take_effects``.
    """

    def __init__(
        self,
        epoch: int,
        lease_max_ms: int,
        placement_cfg: _placement.PlacementConfig | None = None,
    ) -> None:
        self.epoch = epoch
        self._lease_max_ms = lease_max_ms
        self.pressure = _pressure.Pressure()
        self.jobs: dict[str, _jobs.Job] = {}
        self.workers: dict[str, _fleet.Worker] = {}
        self.routes: dict[str, _specs.RoutePolicy] = {}
        self._placement: _placement.Placement = _placement.MixedPlacement(
            placement_cfg or _placement.PlacementConfig(), self.pressure
        )
        self._effects: list[_effects.Effect] = []
        self._ready: dict[_jobs.TaskKey, _jobs.Task] = {}
        self._timed: set[str] = set()
        self._run_count = 0

    # Input: configuration, jobs and workers.

    def set_routes(self, routes: Iterable[_specs.RoutePolicy]) -> None:
        """Take over the routes in force; jobs of dropped ones stay."""
        for route in routes:
            self.routes[route.name] = route

    def add_job(
        self,
        spec: _specs.JobSpec,
        now_ms: int,
        progress: _record.Progress | None = None,
        is_cancelled: bool = False,
        needs_probe: bool = False,
    ) -> None:
        """Take over a job; one that is known is left as it is."""
        if spec.id in self.jobs:
            return
        job = _jobs.Job(spec=spec, needs_probe=needs_probe, seen_ms=now_ms)
        self.jobs[spec.id] = job
        if progress is not None:
            _record.restore(job, progress)
        if job.outcome is not None:
            return
        if is_cancelled:
            self.cancel_job(spec.id, now_ms)
            return
        if spec.is_timed:
            self._timed.add(spec.id)
            for number in job.tasks:
                self._open_steps(job, number, now_ms)
        else:
            self._open_steps(job, 0, now_ms)
        # A crash may have come between the last end and the outcome.
        self._finish_if_complete(job)

    def cancel_job(self, job_id: str, now_ms: int) -> None:
        """End a job at its caller's wish and stop what runs."""
        job = self.jobs.get(job_id)
        if job is None or job.outcome is not None:
            return
        job.is_cancelled = True
        self._end_job(job, _jobs.Outcome.CANCELLED, now_ms)

    def forget_job(self, job_id: str) -> None:
        """Drop a job whose record has been removed."""
        self.jobs.pop(job_id, None)

    def set_workers(self, infos: Mapping[str, _fleet.WorkerInfo]) -> None:
        """Take over the list of workers that are registered now."""
        for worker_id, info in infos.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                self.workers[worker_id] = _fleet.Worker(info=info)
                self._log('worker_added', '', worker=worker_id)
                continue
            if worker.info.born_ms and info.born_ms > worker.info.born_ms:
                self._restart_worker(worker, info)
                continue
            was_leaving = worker.info.is_leaving
            worker.info = info
            worker.is_listed = True
            if info.is_leaving and not was_leaving:
                self._log('worker_leaving', '', worker=worker_id)
        for worker_id, worker in self.workers.items():
            if worker_id not in infos and worker.is_listed:
                worker.is_listed = False
                self._log('worker_unlisted', '', worker=worker_id)

    def _restart_worker(
        self, worker: _fleet.Worker, info: _fleet.WorkerInfo
    ) -> None:
        """Replace a worker by its next life, in which nothing runs yet."""
        self.drop_worker(info.id, 'restarted')
        self.workers[info.id] = _fleet.Worker(
            info=info, is_recorded=worker.is_recorded
        )

    def add_former(self, info: _fleet.WorkerInfo) -> None:
        """Add a worker of the former owner that may no longer be listed."""
        if info.id not in self.workers:
            worker = _fleet.Worker(info=info, is_listed=False)
            self.workers[info.id] = worker

    def mark_recorded(self, worker_ids: Iterable[str]) -> None:
        """Note that the store lists workers for a successor."""
        for worker_id in worker_ids:
            worker = self.workers.get(worker_id)
            if worker is not None:
                worker.is_recorded = True

    def new_lease_end(self, worker_id: str, now_ms: int) -> int | None:
        """Return the longest lease to ask for, on the worker's clock.

        None means that the worker's clock is not known yet.
        """
        worker = self.workers.get(worker_id)
        if worker is None or worker.seen_ms < 0:
            return None
        end = worker.clock_at_least(now_ms) + self._lease_max_ms
        worker.lease_end_ms = max(worker.lease_end_ms, end)
        return end

    def drop_worker(self, worker_id: str, reason: str) -> None:
        """Forget a worker that has certainly ended all that it ran."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self._log(
            'worker_gone',
            '',
            worker=worker_id,
            reason=reason,
            runs=len(worker.runs),
        )
        self._release_all(worker, worker.seen_ms)

    def _release_all(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Make everything that ran on a worker ready to run again."""
        for run in list(worker.runs.values()):
            worker.drop(run)
            self._release(run, worker.info.id, now_ms)

    # Input: answers of workers.

    def on_look(
        self, worker_id: str, look: Look, sent_ms: int, now_ms: int
    ) -> set[str]:
        """Take over what a worker lists.

        Return the jobs whose record must be written before the ends are
        acknowledged.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return set()
        if look.born_ms and look.born_ms < worker.info.born_ms:
            return set()
        if look.born_ms > worker.info.born_ms:
            worker = self._note_birth(worker, look, now_ms)
        if not worker.is_probed:
            worker.is_probed = True
            # A former owner may have asked for any lease up to the longest.
            worker.lease_end_ms = look.clock_ms + self._lease_max_ms
            self._log('worker_probed', '', worker=worker_id)
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
        self.pressure.observe(worker, now_ms)
        self._relieve(worker, now_ms)
        return touched

    def _relieve(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Move or slow the filling tasks that harm service tasks."""
        _pacing.note_tails(worker, now_ms)
        reliefs = list(_pacing.plan_relief(worker, self.pressure, now_ms))
        for relief in reliefs:
            run = relief.run
            if relief.is_move:
                self._stop_run(worker.info.id, run.key, run.number, 'harm')
                self._mark_stop(run, now_ms)
                continue
            run.pace = relief.pace
            run.paced_ms = now_ms
            self._effects.append(
                _effects.PaceTask(
                    worker=worker.info.id,
                    key=run.key,
                    run=run.number,
                    percent=relief.pace,
                )
            )

    def _note_birth(
        self, worker: _fleet.Worker, look: Look, now_ms: int
    ) -> _fleet.Worker:
        """Replace a worker that turns out to live a later life."""
        info = dataclasses.replace(worker.info, born_ms=look.born_ms)
        if not worker.info.born_ms:
            worker.info = info
            return worker
        self.drop_worker(info.id, 'restarted')
        fresh = _fleet.Worker(
            info=info,
            is_listed=worker.is_listed,
            is_recorded=worker.is_recorded,
        )
        self.workers[info.id] = fresh
        return fresh

    def _on_end(
        self, worker: _fleet.Worker, end: EndReport, now_ms: int
    ) -> bool:
        """Apply the end of a run; return whether the record changed."""
        run = worker.runs.get((end.key, end.number))
        if run is not None:
            worker.drop(run)
        job = self.jobs.get(end.key.job)
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
            self._log(
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
                self._make_ready(job, task, now_ms)
        self._save(job)
        return True

    def _on_done(
        self,
        worker: _fleet.Worker,
        job: _jobs.Job,
        task: _jobs.Task,
        end: EndReport,
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
            self._ready.pop(peer.key, None)
            if peer.worker and peer.run != end.number:
                self._stop_run(peer.worker, peer.key, peer.run, 'done')
            peer.worker = ''
        self._save(job)
        if job.is_step_done(task.key.occurrence, task.key.step):
            self._open_steps(job, task.key.occurrence, now_ms)
            self._finish_if_complete(job)

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
        route = self.routes.get(job.spec.route)
        limit = route.max_attempts if route is not None else 1
        self._log(
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
            self._log('worker_avoided', '', worker=worker.info.id)
        if not task.spec.is_service and len(task.failed_runs) >= limit:
            self._end_job(job, _jobs.Outcome.FAILED, now_ms)

    def _on_report(
        self, worker: _fleet.Worker, report: RunReport, now_ms: int
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
        job = self.jobs.get(report.key.job)
        task = job.find(report.key) if job is not None else None
        if task is not None and report.checkpoint and not task.is_done:
            task.checkpoint = report.checkpoint

    def _adopt(
        self, worker: _fleet.Worker, report: RunReport, now_ms: int
    ) -> _fleet.Run:
        """Take over a run that another owner started, or stop it."""
        job = self.jobs.get(report.key.job)
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
            self._stop_run(
                worker.info.id, report.key, report.number, 'not wanted'
            )
            return run
        task.worker = worker.info.id
        task.run = report.number
        task.started_ms = now_ms
        job.has_started = True
        self._ready.pop(task.key, None)
        self._log(
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
            self._log(
                'run_missing',
                run.key.job,
                task=str(run.key),
                run=run.number,
                phase=run.phase.value,
                worker=worker.info.id,
            )
            self._release(run, worker.info.id, now_ms)

    def on_start_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        outcome: StartOutcome,
        reason: str,
        now_ms: int,
    ) -> None:
        """Take over the answer to an order to start a task."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        run = worker.runs.get((key, number))
        if run is None:
            return
        if outcome is StartOutcome.STARTED:
            if run.phase is _fleet.RunPhase.STARTING:
                run.phase = _fleet.RunPhase.RUNNING
                run.since_ms = now_ms
            return
        if outcome is StartOutcome.IN_DOUBT:
            if run.phase is _fleet.RunPhase.STARTING:
                run.phase = _fleet.RunPhase.IN_DOUBT
                run.since_ms = now_ms
                self._log(
                    'start_in_doubt',
                    key.job,
                    task=str(key),
                    run=number,
                    worker=worker_id,
                    reason=reason,
                )
                self._stop_run(worker_id, key, number, 'in doubt')
            return
        self._log(
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
        if outcome is StartOutcome.UNHEALTHY:
            pause = UNHEALTHY_AVOID_MS
        worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + pause)
        worker.drop(run)
        self._release(run, worker_id, now_ms)

    def on_stop_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        is_answered: bool,
        now_ms: int,
    ) -> None:
        """Note whether a stop was answered, which settles a late start."""
        worker = self.workers.get(worker_id)
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

    # Decisions.

    def decide(
        self, now_ms: int, wall_ms: int, is_probe_complete: bool
    ) -> None:
        """Start what is ready and fits, and repeat what got no answer."""
        self._open_timed(now_ms, wall_ms)
        self._expire_workers(now_ms)
        self._repeat_stops(now_ms)
        self._evacuate(now_ms)
        self._placement.plan(self.workers.values(), now_ms)
        self._start_ready(now_ms, wall_ms, is_probe_complete)

    def take_effects(self) -> list[_effects.Effect]:
        """Return the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def waiting_jobs(self) -> int:
        """Return how many jobs have not begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.outcome is None and not job.has_started
        )

    @property
    def ready_count(self) -> int:
        """Return how many tasks wait for a worker."""
        return len(self._ready)

    def _start_ready(
        self, now_ms: int, wall_ms: int, is_probe_complete: bool
    ) -> None:
        """Start ready tasks in order of urgency while workers have room."""
        full: set[tuple[object, ...]] = set()
        started = 0
        for task in self._in_order(wall_ms):
            if started >= STARTS_PER_ROUND:
                return
            if task.key not in self._ready:
                continue
            job = self.jobs[task.key.job]
            if job.needs_probe and not is_probe_complete:
                continue
            route = self.routes.get(job.spec.route)
            if route is None:
                continue
            spec = task.spec
            shape = (
                route.pool,
                spec.cpu,
                spec.memory_mb,
                spec.is_filling,
                spec.is_service,
                spec.label,
                task.key[:3] if spec.max_per_worker or spec.is_gang else None,
            )
            if shape in full:
                continue
            if spec.is_gang:
                begun = self._start_gang(job, task, route, now_ms)
            else:
                begun = self._start_one(job, task, route, now_ms)
            started += begun
            if not begun:
                full.add(shape)

    def _in_order(self, wall_ms: int) -> list[_jobs.Task]:
        """Return the ready tasks, the most urgent one first."""
        ranks: dict[tuple[str, int], tuple[int, ...]] = {}
        for key, task in self._ready.items():
            ref = (key.job, key.occurrence)
            if ref in ranks:
                continue
            job = self.jobs[key.job]
            route = self.routes.get(job.spec.route)
            if route is None:
                ranks[ref] = (0,)
                continue
            order = _urgency.rank(job, key.occurrence, route, wall_ms)
            ranks[ref] = (route.priority, task.spec.is_service, *order)
        return sorted(
            self._ready.values(),
            key=lambda t: (ranks[(t.key.job, t.key.occurrence)], t.key),
        )

    def _start_one(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        route: _specs.RoutePolicy,
        now_ms: int,
    ) -> int:
        """Start a task if a worker has room; return how many started."""
        worker = self._placement.choose(task, route.pool)
        if worker is None:
            return 0
        self._run_count += 1
        number = self.epoch * RUNS_PER_EPOCH + self._run_count
        self._start_on(job, task, worker, number, now_ms)
        return 1

    def _start_gang(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        route: _specs.RoutePolicy,
        now_ms: int,
    ) -> int:
        """Start all members of a gang at once, or none."""
        members = job.occurrence(task.key.occurrence)[task.key.step]
        if any(m.key not in self._ready for m in members):
            return 0
        self._run_count += 1
        number = self.epoch * RUNS_PER_EPOCH + self._run_count
        chosen: list[tuple[_fleet.Worker, _fleet.Run]] = []
        for member in members:
            worker = self._placement.choose(member, route.pool)
            if worker is None:
                break
            # Taken at once, so that the next choice sees it.
            run = self._make_run(member, number, now_ms)
            worker.add(run)
            chosen.append((worker, run))
        is_whole = len(chosen) == len(members)
        for worker, run in chosen:
            worker.drop(run)
        if not is_whole:
            return 0
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), '')
        for member, (worker, _) in zip(members, chosen, strict=True):
            member.checkpoint = checkpoint
            self._start_on(job, member, worker, number, now_ms)
        return len(members)

    def _make_run(
        self, task: _jobs.Task, number: int, now_ms: int
    ) -> _fleet.Run:
        """Return a run that is about to be ordered."""
        return _fleet.Run(
            key=task.key,
            number=number,
            spec=task.spec,
            phase=_fleet.RunPhase.STARTING,
            since_ms=now_ms,
            percent_ms=now_ms,
        )

    def _start_on(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        worker: _fleet.Worker,
        number: int,
        now_ms: int,
    ) -> None:
        """Order a worker to start a task."""
        worker.add(self._make_run(task, number, now_ms))
        self._ready.pop(task.key, None)
        task.worker = worker.info.id
        task.run = number
        task.started_ms = now_ms
        if not job.has_started:
            job.has_started = True
            self._save(job)
        self._effects.append(
            _effects.StartTask(
                worker=worker.info.id,
                key=task.key,
                run=number,
                payload=job.spec.payload,
                checkpoint=task.checkpoint,
            )
        )

    def _open_timed(self, now_ms: int, wall_ms: int) -> None:
        """Make the tasks of occurrences that have fallen due ready."""
        for job_id in list(self._timed):
            job = self.jobs.get(job_id)
            if job is None or job.outcome is not None:
                self._timed.discard(job_id)
                continue
            number = len(job.tasks)
            while number < job.spec.occurrence_count and (
                wall_ms >= job.spec.due_ms(number) + TIMED_START_MARGIN_MS
            ):
                self._open_steps(job, number, now_ms)
                number += 1

    def _expire_workers(self, now_ms: int) -> None:
        """Release what ran on workers whose leases are over."""
        for worker in list(self.workers.values()):
            if not worker.is_probed:
                continue
            if now_ms - worker.seen_ms <= _placement.SILENCE_LIMIT_MS:
                continue
            if not worker.is_lease_over(now_ms, LEASE_MARGIN_MS):
                continue
            if not worker.is_listed:
                self.drop_worker(worker.info.id, 'lease over')
            elif worker.runs:
                self._log('lease_over', '', worker=worker.info.id)
                self._release_all(worker, now_ms)

    def _repeat_stops(self, now_ms: int) -> None:
        """Send stops again that got no answer."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.stop_sent_ms < 0 or run.is_stop_settled:
                    continue
                if now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                    run.stop_sent_ms = now_ms
                    self._order_stop(worker.info.id, run, 'repeat')

    def _evacuate(self, now_ms: int) -> None:
        """Move service tasks away from workers that leave."""
        for worker in self.workers.values():
            if not worker.info.is_leaving:
                continue
            for run in list(worker.runs.values()):
                if run.spec.is_service and run.stop_sent_ms < 0:
                    self._stop_run(
                        worker.info.id, run.key, run.number, 'worker leaves'
                    )
                    self._mark_stop(run, now_ms)

    # Effects on jobs and tasks.

    def _open_steps(self, job: _jobs.Job, number: int, now_ms: int) -> None:
        """Make the idle tasks of open steps of an occurrence ready."""
        for step, tasks in enumerate(job.occurrence(number)):
            if not job.is_step_open(number, step):
                continue
            for task in tasks:
                if task.is_idle:
                    self._make_ready(job, task, now_ms)

    def _make_ready(
        self, job: _jobs.Job, task: _jobs.Task, now_ms: int
    ) -> None:
        """Queue a task."""
        if task.key not in self._ready:
            task.ready_ms = now_ms
            self._ready[task.key] = task

    def _release(self, run: _fleet.Run, worker_id: str, now_ms: int) -> None:
        """Make the task of a run that is over ready, unless it moved on."""
        job = self.jobs.get(run.key.job)
        task = job.find(run.key) if job is not None else None
        if job is None or task is None or job.outcome is not None:
            return
        if task.is_done or task.run != run.number:
            return
        if task.worker != worker_id:
            return
        task.worker = ''
        self._make_ready(job, task, now_ms)

    def _finish_if_complete(self, job: _jobs.Job) -> None:
        """Note a job as completed once all its tasks are done."""
        if job.outcome is None and job.is_complete():
            job.outcome = _jobs.Outcome.COMPLETED
            self._log('job_completed', job.spec.id)
            self._save(job)

    def _end_job(
        self, job: _jobs.Job, outcome: _jobs.Outcome, now_ms: int
    ) -> None:
        """End a job early and stop its runs."""
        job.outcome = outcome
        self.pressure.forget_job(job.spec.id)
        self._log('job_' + outcome.value, job.spec.id)
        for steps in job.tasks.values():
            for tasks in steps:
                for task in tasks:
                    self._ready.pop(task.key, None)
                    if task.worker:
                        self._stop_run(
                            task.worker, task.key, task.run, outcome.value
                        )
                        self._mark_stop_of(task, now_ms)
        self._save(job)

    def _mark_stop_of(self, task: _jobs.Task, now_ms: int) -> None:
        """Note when the stop of a task's run was sent."""
        worker = self.workers.get(task.worker)
        if worker is None:
            return
        run = worker.runs.get((task.key, task.run))
        if run is not None:
            self._mark_stop(run, now_ms)

    def _mark_stop(self, run: _fleet.Run, now_ms: int) -> None:
        """Note when a stop was sent, for its repetition."""
        run.stop_sent_ms = now_ms

    def _stop_run(
        self, worker_id: str, key: _jobs.TaskKey, number: int, reason: str
    ) -> None:
        """Order a worker to stop a run."""
        worker = self.workers.get(worker_id)
        run = worker.runs.get((key, number)) if worker is not None else None
        if run is None:
            return
        run.stop_sent_ms = max(run.stop_sent_ms, run.since_ms)
        self._order_stop(worker_id, run, reason)

    def _order_stop(
        self, worker_id: str, run: _fleet.Run, reason: str
    ) -> None:
        """Add the order to stop a run."""
        self._effects.append(
            _effects.StopTask(
                worker=worker_id,
                key=run.key,
                run=run.number,
                reason=reason,
            )
        )

    def _save(self, job: _jobs.Job) -> None:
        """Ask for the record of a job to be written."""
        self._effects.append(_effects.SaveJob(job=job.spec.id))

    def _log(self, what: str, job: str, **values: object) -> None:
        """Report a change of what is believed."""
        self._effects.append(
            _effects.Decision(what=what, job=job, values=values)
        )
