"""Hold the state of a cell and the changes that several decisions share."""

from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _pressure
from oriolestand_policy.scheduling import _specs


class Cell:
    """Own the jobs and workers of a cell.

    Effects gather until ``take_effects``. ``ready`` has the tasks that wait
    for a worker, ``timed`` the jobs whose occurrences are not all open.
    """

    def __init__(self, epoch: int, lease_max_ms: int) -> None:
        self.epoch = epoch
        self.lease_max_ms = lease_max_ms
        self.jobs: dict[str, _jobs.Job] = {}
        self.workers: dict[str, _fleet.Worker] = {}
        self.routes: dict[str, _specs.RoutePolicy] = {}
        self.pressure = _pressure.Pressure()
        self.ready: dict[_jobs.TaskKey, _jobs.Task] = {}
        self.timed: set[str] = set()
        self.effects: list[_effects.Effect] = []

    def new_lease_end(self, worker_id: str, now_ms: int) -> int | None:
        """Return the longest lease to ask for, on the worker's clock.

        None means that the worker's clock is not known yet.
        """
        worker = self.workers.get(worker_id)
        if worker is None or worker.seen_ms < 0:
            return None
        end = worker.clock_at_least(now_ms) + self.lease_max_ms
        worker.lease_end_ms = max(worker.lease_end_ms, end)
        return end

    def drop_worker(self, worker_id: str, reason: str) -> None:
        """Forget a worker that has certainly ended all that it ran."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self.log(
            'worker_gone',
            '',
            worker=worker_id,
            reason=reason,
            runs=len(worker.runs),
        )
        self.release_all(worker, worker.seen_ms)

    def release_all(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Make everything that ran on a worker ready to run again."""
        for run in list(worker.runs.values()):
            worker.drop(run)
            self.release(run, worker.info.id, now_ms)

    def release(self, run: _fleet.Run, worker_id: str, now_ms: int) -> None:
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
        self.make_ready(job, task, now_ms)

    def open_steps(self, job: _jobs.Job, number: int, now_ms: int) -> None:
        """Make the idle tasks of open steps of an occurrence ready."""
        for step, tasks in enumerate(job.occurrence(number)):
            if not job.is_step_open(number, step):
                continue
            for task in tasks:
                if task.is_idle:
                    self.make_ready(job, task, now_ms)

    def make_ready(
        self, job: _jobs.Job, task: _jobs.Task, now_ms: int
    ) -> None:
        """Queue a task."""
        if task.key not in self.ready:
            task.ready_ms = now_ms
            self.ready[task.key] = task

    def finish_if_complete(self, job: _jobs.Job) -> None:
        """Note a job as completed once all its tasks are done."""
        if job.outcome is None and job.is_complete():
            job.outcome = _jobs.Outcome.COMPLETED
            self.log('job_completed', job.spec.id)
            self.save(job)

    def end_job(
        self, job: _jobs.Job, outcome: _jobs.Outcome, now_ms: int
    ) -> None:
        """End a job early and stop its runs."""
        job.outcome = outcome
        self.pressure.forget_job(job.spec.id)
        self.log('job_' + outcome.value, job.spec.id)
        for steps in job.tasks.values():
            for tasks in steps:
                for task in tasks:
                    self.ready.pop(task.key, None)
                    if task.worker:
                        self.stop_run(
                            task.worker, task.key, task.run, outcome.value
                        )
                        self._mark_stop_of(task, now_ms)
        self.save(job)

    def _mark_stop_of(self, task: _jobs.Task, now_ms: int) -> None:
        """Note when the stop of a task's run was sent."""
        worker = self.workers.get(task.worker)
        if worker is None:
            return
        run = worker.runs.get((task.key, task.run))
        if run is not None:
            self.mark_stop(run, now_ms)

    def mark_stop(self, run: _fleet.Run, now_ms: int) -> None:
        """Note when a stop was sent, for its repetition."""
        run.stop_sent_ms = now_ms

    def stop_run(
        self, worker_id: str, key: _jobs.TaskKey, number: int, reason: str
    ) -> None:
        """Order a worker to stop a run."""
        worker = self.workers.get(worker_id)
        run = worker.runs.get((key, number)) if worker is not None else None
        if run is None:
            return
        run.stop_sent_ms = max(run.stop_sent_ms, run.since_ms)
        self.order_stop(worker_id, run, reason)

    def order_stop(self, worker_id: str, run: _fleet.Run, reason: str) -> None:
        """Add the order to stop a run."""
        self.effects.append(
            _effects.StopTask(
                worker=worker_id,
                key=run.key,
                run=run.number,
                reason=reason,
            )
        )

    def save(self, job: _jobs.Job) -> None:
        """Ask for the record of a job to be written."""
        self.effects.append(_effects.SaveJob(job=job.spec.id))

    def log(self, what: str, job: str, **values: object) -> None:
        """Report a change of what is believed."""
        self.effects.append(
            _effects.Decision(what=what, job=job, values=values)
        )

    def take_effects(self) -> list[_effects.Effect]:
        """Return the effects since the last call."""
        effects, self.effects = self.effects, []
        return effects
