"""Decide what runs where in one cell of workers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from oriolestand_policy.scheduling import _answers
from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _pressure
from oriolestand_policy.scheduling import _record
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _specs
from oriolestand_policy.scheduling import _starts

LEASE_MARGIN_MS = 500
"""Covers the time that a worker takes to end what its lease no longer holds.
"""

STOP_RETRY_MS = 500
TIMED_START_MARGIN_MS = 100
"""Starts of timed jobs wait a little, as wall clocks differ."""


PlacementMaker = Callable[[_pressure.Pressure], _placement.Placement]


class Scheduler:
    """Take events of a cell and decide; effects gather until they are taken.

    All times are milliseconds of the driver's clock unless a name says
    ``wall``.
    """

    def __init__(
        self,
        epoch: int,
        lease_max_ms: int,
        make_placement: PlacementMaker = _placement.MixedPlacement,
    ) -> None:
        self._cell = _cell.Cell(epoch, lease_max_ms)
        self._answers = _answers.Answers(self._cell)
        self._starts = _starts.Starts(
            self._cell,
            make_placement(self._cell.pressure),
        )

    @property
    def jobs(self) -> Mapping[str, _jobs.Job]:
        """Return the jobs by id."""
        return self._cell.jobs

    @property
    def workers(self) -> Mapping[str, _fleet.Worker]:
        """Return the workers by id."""
        return self._cell.workers

    @property
    def pressure(self) -> _pressure.Pressure:
        """Return what is learned of neighbours."""
        return self._cell.pressure

    # Input: configuration, jobs and workers.

    def set_routes(self, routes: Iterable[_specs.RoutePolicy]) -> None:
        """Take over the routes in force; jobs of dropped ones stay."""
        for route in routes:
            self._cell.routes[route.name] = route

    def add_job(
        self,
        spec: _specs.JobSpec,
        now_ms: int,
        progress: _record.Progress | None = None,
        is_cancelled: bool = False,
        needs_probe: bool = False,
    ) -> None:
        """Take over a job; one that is known is left as it is."""
        if spec.id in self._cell.jobs:
            return
        job = _jobs.Job(spec=spec, needs_probe=needs_probe, seen_ms=now_ms)
        self._cell.jobs[spec.id] = job
        if progress is not None:
            _record.restore(job, progress)
        if job.outcome is not None:
            return
        if is_cancelled:
            self.cancel_job(spec.id, now_ms)
            return
        if spec.is_timed:
            self._cell.timed.add(spec.id)
            for number in job.tasks:
                self._cell.open_steps(job, number, now_ms)
        else:
            self._cell.open_steps(job, 0, now_ms)
        # A crash may have come between the last end and the outcome.
        self._cell.finish_if_complete(job)

    def cancel_job(self, job_id: str, now_ms: int) -> None:
        """End a job at its caller's wish and stop what runs."""
        job = self._cell.jobs.get(job_id)
        if job is None or job.outcome is not None:
            return
        job.is_cancelled = True
        self._cell.end_job(job, _jobs.Outcome.CANCELLED, now_ms)

    def forget_job(self, job_id: str) -> None:
        """Drop a job whose record has been removed."""
        self._cell.jobs.pop(job_id, None)

    def set_workers(self, infos: Mapping[str, _fleet.WorkerInfo]) -> None:
        """Take over the list of workers that are registered now."""
        for worker_id, info in infos.items():
            worker = self._cell.workers.get(worker_id)
            if worker is None:
                self._cell.workers[worker_id] = _fleet.Worker(info=info)
                self._cell.log('worker_added', '', worker=worker_id)
                continue
            if worker.info.born_ms and info.born_ms > worker.info.born_ms:
                self._restart_worker(worker, info)
                continue
            was_leaving = worker.info.is_leaving
            worker.info = info
            worker.is_listed = True
            if info.is_leaving and not was_leaving:
                self._cell.log('worker_leaving', '', worker=worker_id)
        for worker_id, worker in self._cell.workers.items():
            if worker_id not in infos and worker.is_listed:
                worker.is_listed = False
                self._cell.log('worker_unlisted', '', worker=worker_id)

    def _restart_worker(
        self, worker: _fleet.Worker, info: _fleet.WorkerInfo
    ) -> None:
        """Replace a worker by its next life, in which nothing runs yet."""
        self._cell.drop_worker(info.id, 'restarted')
        self._cell.workers[info.id] = _fleet.Worker(
            info=info, is_recorded=worker.is_recorded
        )

    def add_former(self, info: _fleet.WorkerInfo) -> None:
        """Add a worker of the former owner that may no longer be listed."""
        if info.id not in self._cell.workers:
            worker = _fleet.Worker(info=info, is_listed=False)
            self._cell.workers[info.id] = worker

    def mark_recorded(self, worker_ids: Iterable[str]) -> None:
        """Note that the store lists workers for a successor."""
        for worker_id in worker_ids:
            worker = self._cell.workers.get(worker_id)
            if worker is not None:
                worker.is_recorded = True

    def new_lease_end(self, worker_id: str, now_ms: int) -> int | None:
        """Return the longest lease to ask for, on the worker's clock.

        None means that the worker's clock is not known yet.
        """
        return self._cell.new_lease_end(worker_id, now_ms)

    def drop_worker(self, worker_id: str, reason: str) -> None:
        """Forget a worker that has certainly ended all that it ran."""
        self._cell.drop_worker(worker_id, reason)

    # Input: answers of workers.

    def on_look(
        self, worker_id: str, look: _reports.Look, sent_ms: int, now_ms: int
    ) -> set[str]:
        """Take over what a worker lists.

        Return the jobs whose record must be written before the ends are
        acknowledged.
        """
        return self._answers.on_look(worker_id, look, sent_ms, now_ms)

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
        self._answers.on_start_reply(
            worker_id, key, number, outcome, reason, now_ms
        )

    def on_stop_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        is_answered: bool,
        now_ms: int,
    ) -> None:
        """Note whether a stop was answered, which settles a late start."""
        self._answers.on_stop_reply(
            worker_id, key, number, is_answered, now_ms
        )

    # Decisions.

    def decide(
        self, now_ms: int, wall_ms: int, is_probe_complete: bool
    ) -> None:
        """Start what is ready and fits, and repeat what got no answer."""
        self._open_timed(now_ms, wall_ms)
        self._expire_workers(now_ms)
        self._repeat_stops(now_ms)
        self._evacuate(now_ms)
        self._starts.run(now_ms, wall_ms, is_probe_complete)

    def take_effects(self) -> list[_effects.Effect]:
        """Return the effects since the last call."""
        return self._cell.take_effects()

    def waiting_jobs(self) -> int:
        """Return how many jobs have not begun."""
        return sum(
            1
            for job in self._cell.jobs.values()
            if job.outcome is None and not job.has_started
        )

    def ready_by_kind(self) -> dict[_specs.TaskKind, int]:
        """Return how many tasks wait for a worker, by their kind."""
        return _count(task.spec for task in self._cell.ready.values())

    def running_by_kind(self) -> dict[_specs.TaskKind, int]:
        """Return how many runs take capacity of workers, by their kind."""
        return _count(
            run.spec
            for worker in self._cell.workers.values()
            for run in worker.runs.values()
        )

    def harmed_count(self) -> int:
        """Return how many service tasks are over their target."""
        return sum(
            run.over_since_ms >= 0
            for worker in self._cell.workers.values()
            for run in worker.runs.values()
        )

    def _open_timed(self, now_ms: int, wall_ms: int) -> None:
        """Make the tasks of occurrences that have fallen due ready."""
        for job_id in list(self._cell.timed):
            job = self._cell.jobs.get(job_id)
            if job is None or job.outcome is not None:
                self._cell.timed.discard(job_id)
                continue
            number = len(job.tasks)
            while number < job.spec.occurrence_count and (
                wall_ms >= job.spec.due_ms(number) + TIMED_START_MARGIN_MS
            ):
                self._cell.open_steps(job, number, now_ms)
                number += 1

    def _expire_workers(self, now_ms: int) -> None:
        """Release what ran on workers whose leases are over."""
        for worker in list(self._cell.workers.values()):
            if not worker.is_probed:
                continue
            if now_ms - worker.seen_ms <= _placement.SILENCE_LIMIT_MS:
                continue
            if not worker.is_lease_over(now_ms, LEASE_MARGIN_MS):
                continue
            if not worker.is_listed:
                self._cell.drop_worker(worker.info.id, 'lease over')
            elif worker.runs:
                self._cell.log('lease_over', '', worker=worker.info.id)
                self._cell.release_all(worker, now_ms)

    def _repeat_stops(self, now_ms: int) -> None:
        """Send stops again that got no answer."""
        for worker in self._cell.workers.values():
            for run in worker.runs.values():
                if run.stop_sent_ms < 0 or run.is_stop_settled:
                    continue
                if now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                    run.stop_sent_ms = now_ms
                    self._cell.order_stop(worker.info.id, run, 'repeat')

    def _evacuate(self, now_ms: int) -> None:
        """Move service tasks away from workers that leave."""
        for worker in self._cell.workers.values():
            if not worker.info.is_leaving:
                continue
            for run in list(worker.runs.values()):
                if run.spec.is_service and run.stop_sent_ms < 0:
                    self._cell.stop_run(
                        worker.info.id, run.key, run.number, 'worker leaves'
                    )
                    self._cell.mark_stop(run, now_ms)


def _count(specs: Iterable[_specs.StepSpec]) -> dict[_specs.TaskKind, int]:
    """Return how many tasks there are of each kind."""
    counts = dict.fromkeys(_specs.TaskKind, 0)
    for spec in specs:
        counts[spec.kind] += 1
    return counts
