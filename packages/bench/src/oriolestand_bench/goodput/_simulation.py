"""Fleet that runs planned jobs and notes what each of them receives."""

import dataclasses
import functools
import math
import random

from oriolestand_bench import _workers
from oriolestand_bench import owner
from oriolestand_bench.goodput import _case
from oriolestand_bench.goodput import _goodput_workers
from oriolestand_bench.goodput import _idle
from oriolestand_bench.goodput import _jobs
from oriolestand_bench.goodput import _obstacles
from oriolestand_bench.goodput import _refusals
from oriolestand_bench.goodput import _traffic
from oriolestand_policy import ownership
from oriolestand_policy import scheduling

SERVICE_MEMORY_MB = 4_000
SERVICE_TARGET_MS = 100
STRONG_SHARE = 0.65
"""Share of filling images that slow service tasks strongly."""

STRONG_WEIGHT = 1.2
CALM_WEIGHT = 0.12
FAILURE_PROBABILITY = 0.05
MAX_ATTEMPTS = 3
SETTLE_MS = 5_000
"""Time until the services run, before there is any other traffic."""

WARM_UP_MS = 20_000
WARM_UP_LOAD = 0.5
START_TIMEOUT_MS = 1_000
FAILED_POLL_WAIT_MS = 500
SAMPLE_MS = 500
STUCK_SAMPLE_MS = 100
QUIET_MS = 14_000
"""Time after the load at which each open job should have had a run in the
last ``RUN_WITHIN_MS``, as in the drain bench."""

RUN_WITHIN_MS = 3_000

HARM = 'harm'
"""Reason of stops for interference."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceRecord:
    """Samples of service tasks: all, at work, and within their target."""

    all_tasks: int = 0
    at_work: int = 0
    within_target: int = 0


class GoodputSimulation(owner.OwnerSimulation):
    """Simulate one case; ``play`` returns the jobs of its load.

    With ``are_jobs_refused`` full pools refuse filling jobs, whose callers
    come back after the stated time, at most ``_refusals.RETURN_MS`` after
    their first try. ``stuck`` is the number of accepted filling jobs that are
    open ``QUIET_MS`` after the load and had no run for ``RUN_WITHIN_MS``.
    """

    def __init__(
        self,
        case: _case.Case,
        *,
        are_waits_explained: bool = True,
        is_cpu_accounted: bool = False,
        are_jobs_refused: bool = False,
    ) -> None:
        self.case = case
        self.refusals = _refusals.RefusalRecord()
        self.stuck = 0
        self._are_jobs_refused = are_jobs_refused
        self._admission = ownership.OwnerAdmission()
        self._is_room_sample_due = False
        self._submitted: list[_jobs.JobRecord] = []
        self.services = ServiceRecord()
        self.cpu_record = _idle.CpuRecord()
        self._is_cpu_accounted = is_cpu_accounted
        self._load_ms = range(0)
        self.records: dict[str, _jobs.JobRecord] = {}
        self._are_waits_explained = are_waits_explained
        self._is_sample_due = False
        self._placement: scheduling.Placement | None = None
        # Starts by task, so that each run of a task has its own fate.
        self._run_counts: dict[scheduling.TaskKey, int] = {}
        super().__init__(
            0, case.seed, workers=case.workers, service_jobs=case.service_jobs
        )

    # The fleet.

    def _new_scheduler(self) -> scheduling.Scheduler:
        """Return a scheduler for the present epoch, and keep its placement."""
        return scheduling.Scheduler(
            self._epoch, owner.LEASE_MS, self._new_placement
        )

    def _new_placement(
        self, model: scheduling.InterferenceModel
    ) -> scheduling.Placement:
        """Return the placement of a scheduler."""
        self._placement = scheduling.MixedPlacement(model)
        return self._placement

    def _new_worker(self, worker_id: str) -> _goodput_workers.Worker:
        """Return a worker of the fleet."""
        return _goodput_workers.Worker(worker_id)

    def _make_weights(self) -> dict[tuple[str, str], float]:
        """Return the load that filling images add to service images."""
        images = list(range(_traffic.FILLING_IMAGES))
        self._random.shuffle(images)
        share = 0.0 if self.case.are_images_calm else STRONG_SHARE
        strong = set(images[: round(share * len(images))])
        self._strong_images = {f'f{image}' for image in strong}
        return {
            (f's{service}', f'f{filling}'): (
                STRONG_WEIGHT if filling in strong else CALM_WEIGHT
            )
            for service in range(owner.SERVICE_IMAGES)
            for filling in images
        }

    def _routes(self) -> list[scheduling.RoutePolicy]:
        """Return the policies of all routes."""
        return [
            scheduling.RoutePolicy(name='service', pool='p', max_attempts=3),
            *(
                scheduling.RoutePolicy(
                    name=kind.value,
                    pool='p',
                    priority=profile.priority,
                    max_attempts=MAX_ATTEMPTS,
                    stretch=profile.stretch,
                    target_ms=profile.target_ms,
                )
                for kind, profile in _traffic.PROFILES.items()
            ),
        ]

    def _service_step(self, number: int) -> scheduling.StepSpec:
        """Return the step of a service job."""
        return scheduling.StepSpec(
            count=_case.SERVICE_TASKS,
            cpu=_case.SERVICE_CPU,
            memory_mb=SERVICE_MEMORY_MB,
            is_service=True,
            image=f's{number % owner.SERVICE_IMAGES}',
            target_ms=SERVICE_TARGET_MS,
            max_per_worker=2 if number % 2 else 0,
        )

    def _start_load(self) -> None:
        """Leave the traffic to ``play``."""

    def _worker(self, worker_id: str) -> _goodput_workers.Worker:
        """Return a worker by its id."""
        worker = self.workers[worker_id]
        assert isinstance(worker, _goodput_workers.Worker)
        return worker

    def _restore(self, former: scheduling.Scheduler) -> None:
        """Load the learned weights, as a daemon does."""
        self.scheduler.pressure.restore(former.pressure.learned())

    # The run.

    def play(self) -> list[_jobs.JobRecord]:
        """Play the case and return the records of the jobs of its load."""
        case = self.case
        self.run(SETTLE_MS)
        self._submit_later(case.plan('warm-up', WARM_UP_LOAD, WARM_UP_MS))
        self.run(WARM_UP_MS)
        before = len(self._submitted)
        self._at(0, self._sample)
        if self._are_jobs_refused:
            self._at(0, self._renew)
        self._submit_later(case.plan('load', case.load, case.load_ms))
        self._load_ms = range(self.now, self.now + case.load_ms)
        self.run(case.load_ms // 2)
        if case.setting is _case.Setting.GONE:
            self._crash_workers()
        elif case.setting is _case.Setting.NEW_OWNER:
            self.take_over()
        self.run(case.load_ms - case.load_ms // 2 + QUIET_MS - RUN_WITHIN_MS)
        self._count_stuck()
        self.run(_case.COUNTED_AFTER_MS - QUIET_MS)
        return self._submitted[before:]

    def _count_stuck(self) -> None:
        """Count the open filling jobs that have no run for a while."""
        waiting = {
            job_id
            for job_id, record in self.records.items()
            if record.planned.kind is _traffic.Kind.FILLING
        }
        for _ in range(RUN_WITHIN_MS // STUCK_SAMPLE_MS):
            waiting -= {
                key.job
                for worker in self.workers.values()
                for key in worker.runs
            }
            self.run(STUCK_SAMPLE_MS)
        self.stuck = sum(
            self.records[job_id].ended_ms < 0 for job_id in waiting
        )

    def _renew(self) -> None:
        """Publish which pools are full, as an owner does."""
        full = self.scheduler.full_pools(self.now)
        self._admission.on_report(0, self.now)
        self._admission.set_full_pools(full)
        if self.now in self._load_ms:
            self.refusals.renewals += 1
            self.refusals.full += bool(full)
        self._at(ownership.RENEW_INTERVAL_MS, self._renew)

    def _submit_later(self, jobs: list[_traffic.PlannedJob]) -> None:
        """Submit jobs at the times of their arrival."""
        for planned in jobs:
            self._at(
                planned.arrival_ms,
                functools.partial(self._submit_planned, planned),
            )

    def _submit_planned(self, planned: _traffic.PlannedJob) -> None:
        """Submit a job."""
        record = _jobs.new_record(planned, self.now)
        self._submitted.append(record)
        self._submit_or_refuse(record)

    def _submit_or_refuse(self, record: _jobs.JobRecord) -> None:
        """Submit a job, unless its pool refuses it."""
        planned = record.planned
        if planned.kind is _traffic.Kind.FILLING:
            self.refusals.submissions += 1
            number = self.refusals.submissions
            retry_s = self._admission.full_pool_retry_s(
                _refusals.POOL, f'r{number:06}', self.now
            )
            if retry_s:
                self._refuse(record, 1_000 * retry_s)
                return
        record.accepted_ms = record.ready_ms[0] = self.now
        job = self._submit(planned.kind.value, *planned.specs())
        self.records[job] = record

    def _refuse(self, record: _jobs.JobRecord, retry_ms: int) -> None:
        """Note a refusal; the caller comes back if it may wait so long."""
        self.refusals.add(
            record.planned,
            is_strong=record.planned.image in self._strong_images,
            first_ms=record.submitted_ms,
        )
        if self.now + retry_ms <= record.submitted_ms + _refusals.RETURN_MS:
            self._at(
                retry_ms, functools.partial(self._submit_or_refuse, record)
            )

    def _sample(self) -> None:
        """Note which services are at work, and why tasks wait."""
        self.services.all_tasks += self.case.service_jobs * _case.SERVICE_TASKS
        for worker_id in self.workers:
            worker = self._worker(worker_id)
            tails = worker.tails(self.now, self._weights)
            self.services.at_work += len(tails)
            self.services.within_target += sum(
                tail <= SERVICE_TARGET_MS for tail in tails
            )
        self._is_sample_due = self._are_waits_explained
        self._is_room_sample_due = True
        self._at(SAMPLE_MS, self._sample)

    def _run_round(self) -> None:
        """Run a scheduling round, and explain what it leaves waiting or idle.

        The state of a placement is that of its last round. Between reports
        and the next round it does not fit the weights that they change.
        """
        super()._run_round()
        if self._is_cpu_accounted and self.now in self._load_ms:
            self.cpu_record.note(self.scheduler.idle_account(self.now))
        if self._are_jobs_refused and self._placement is not None:
            self.refusals.judge(
                self.scheduler,
                self._placement,
                self.now,
                is_sample=self._is_room_sample_due,
            )
            self._is_room_sample_due = False
        if not self._is_sample_due or self._placement is None:
            return
        self._is_sample_due = False
        _obstacles.note_waits(
            self.records,
            self.scheduler,
            self._placement,
            SAMPLE_MS,
            random.Random(self.now),
        )

    # Crashes.

    def _crash_workers(self) -> None:
        """End a share of the workers, and start them again later."""
        count = round(_case.GONE_SHARE * len(self.workers))
        gone = random.Random(self.case.seed).sample(
            sorted(self.workers), count
        )
        for worker_id in gone:
            worker = self._worker(worker_id)
            worker.advance(self.now)
            for run in worker.crash():
                self._note_use(run)
            worker.version += 1
        self._at(_case.GONE_MS, lambda: self._restart_workers(gone))

    def _restart_workers(self, worker_ids: list[str]) -> None:
        """Start workers again, and list them with their new start time."""
        for worker_id in worker_ids:
            self._worker(worker_id).restart(self.now)
        self._list_workers()
        self._request_round()

    def _end_poll(
        self, worker: _workers.SimulatedWorker, number: int, sent_ms: int
    ) -> None:
        """Apply a report, or note that the worker does not answer."""
        if worker.poll_number != number:
            return
        worker = self._worker(worker.id)
        if worker.is_gone:
            worker.poll_number += 1
            self._measure(self.scheduler.on_poll_failed, worker.id, self.now)
            self._at(FAILED_POLL_WAIT_MS, self._poll_later(worker))
            return
        self._refresh(worker)
        super()._end_poll(worker, number, sent_ms)

    # Runs.

    def _start_run(self, effect: scheduling.StartTask) -> None:
        """Start a run on a worker and reply to the order."""
        worker = self._worker(effect.worker)
        key = effect.key
        record = self.records.get(key.job)
        if record is not None:
            record.on_start(key.step, self.now)
        if worker.is_gone:
            self._at(START_TIMEOUT_MS, lambda: self._on_start_lost(effect))
            return
        self.starts += 1
        spec = self.scheduler.jobs[key.job].spec.steps[key.step]
        worker.advance(self.now)
        if record is None:
            worker.runs[key] = _workers.SimulatedRun(
                key=key,
                number=effect.run,
                spec=spec,
                started_ms=self.now,
                duration_ms=0,
            )
        else:
            worker.runs[key] = self._new_run(effect, spec, record)
        self._refresh(worker)
        self._at(owner.LATENCY_MS, lambda: self._on_started(effect))

    def _new_run(
        self,
        effect: scheduling.StartTask,
        spec: scheduling.StepSpec,
        record: _jobs.JobRecord,
    ) -> _goodput_workers.Run:
        """Return a run, which goes on from the last checkpoint."""
        key = effect.key
        count = self._run_counts[key] = self._run_counts.get(key, 0) + 1
        duration_ms = record.planned.steps[key.step].run_ms[key.index]
        done_ms = float(effect.checkpoint or 0)
        run = _goodput_workers.Run(
            key=key,
            number=effect.run,
            spec=spec,
            started_ms=self.now,
            duration_ms=duration_ms,
            done_ms=done_ms,
        )
        fate = random.Random(f'{self.case.seed}/{key}/{count}')
        if fate.random() < FAILURE_PROBABILITY:
            left_ms = duration_ms - done_ms
            run.fails_at_ms = done_ms + left_ms * fate.random()
        return run

    def _on_start_lost(self, effect: scheduling.StartTask) -> None:
        """Note that a worker has not answered a start order."""
        self._measure(
            self.scheduler.on_start_reply,
            effect.worker,
            effect.key,
            effect.run,
            scheduling.StartOutcome.IN_DOUBT,
            'timeout',
            self.now,
        )
        self._apply_effects()
        self._request_round()

    def _refresh(self, worker: _goodput_workers.Worker) -> None:
        """Let a worker advance, and wait for its next end of a run."""
        worker.advance(self.now)
        worker.version += 1
        delay_ms = worker.next_end_ms()
        if delay_ms is not None:
            version = worker.version
            self._at(
                math.ceil(delay_ms), lambda: self._on_end_due(worker, version)
            )

    def _on_end_due(
        self, worker: _goodput_workers.Worker, version: int
    ) -> None:
        """End the runs of a worker that have done their work."""
        if worker.version != version:
            return
        worker.advance(self.now)
        for run in worker.batch_runs():
            if _goodput_workers.is_done(run):
                self._end_run(worker, run, _goodput_workers.end_kind(run))
        self._refresh(worker)

    def _end_run(
        self,
        worker: _workers.SimulatedWorker,
        run: _workers.SimulatedRun,
        kind: scheduling.EndKind,
    ) -> None:
        """End a run and complete the pending poll."""
        if worker.runs.get(run.key) is not run:
            return
        worker = self._worker(worker.id)
        worker.advance(self.now)
        super()._end_run(worker, run, kind)
        if isinstance(run, _goodput_workers.Run):
            self._note_use(run)
            if kind is scheduling.EndKind.DONE:
                self.records[run.key.job].on_task_done(
                    run.key.step, run.key.index, self.now
                )
        self._refresh(worker)

    def _note_use(self, run: _goodput_workers.Run) -> None:
        """Add the processor time of a run to its job."""
        used = run.used_ms * run.spec.cpu / 1e6
        self.records[run.key.job].used += used

    def _pace_run(self, effect: scheduling.PaceTask) -> None:
        """Change the pace of a run."""
        worker = self._worker(effect.worker)
        worker.advance(self.now)
        super()._pace_run(effect)
        self._refresh(worker)

    def _stop_run(self, effect: scheduling.StopTask) -> None:
        """Stop a run on a worker and reply to the order."""
        record = self.records.get(effect.key.job)
        if record is not None and effect.reason == HARM:
            record.harm_stops += 1
        if not self._worker(effect.worker).is_gone:
            super()._stop_run(effect)
            return
        self._measure(
            self.scheduler.on_stop_reply,
            effect.worker,
            effect.key,
            effect.run,
            False,
            self.now,
        )

    def _carry_out(self, effect: scheduling.Effect) -> None:
        """Carry out an effect, and note the ends of jobs."""
        if isinstance(effect, scheduling.SaveJob):
            self._note_end(effect.job)
        super()._carry_out(effect)

    def _note_end(self, job_id: str) -> None:
        """Note the end of a job whose record is written."""
        record = self.records.get(job_id)
        outcome = self.scheduler.jobs[job_id].outcome
        if record is None or outcome is None or record.ended_ms >= 0:
            return
        record.ended_ms = self.now
        record.is_completed = outcome is scheduling.Outcome.COMPLETED
