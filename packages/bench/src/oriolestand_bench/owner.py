"""Measure the processor time of the scheduler of one cell owner.

A simulated fleet replies to the scheduler's orders and polls on a simulated
clock. Only the calls to the scheduler are measured. The digest covers all
effects in their order: two versions of the scheduler that make the same
decisions print the same digest.
"""

from collections.abc import Callable
import cProfile
import dataclasses
import hashlib
import heapq
import itertools
import pstats
import random
import time
from typing import Any

import click

from oriolestand_bench import _results
from oriolestand_bench import _workers
from oriolestand_policy import scheduling

WORKERS = 246
WORKER_MEMORY_MB = 250_000
WORKERS_PER_RACK = 11
SERVICE_JOBS = 170
SERVICE_TASKS = 14
SERVICE_IMAGES = 8
FILLING_IMAGES = 8
QUICK_JOBS_PER_S = 6
BATCH_JOBS_PER_S = 9
QUICK_MS = 400
BATCH_MS = 1_100
OVERLOAD_BATCH_MS = 10_000
"""Run time at which more batch tasks arrive than fit beside the services."""

WARM_UP_MS = 20_000
MEASURED_MS = 10_000
LEASE_MS = 6_000
STRETCH = 2.0
TARGET_MS = 2_000
LATENCY_MS = 3
POLL_WAIT_MS = 1_000
MIXED_POLL_WAIT_MS = 500
RECORD_WAIT_MS = 150
STOP_MS = 100
ROUND_DELAY_MS = 29
TICK_MS = 200
MAX_CORES = 0.25
"""Half of the processor time of the smallest instance, 0.516 of a core."""


class OwnerSimulation:
    """Drive a scheduler with reports of a simulated fleet."""

    def __init__(
        self,
        batch_ms: int,
        seed: int = 1,
        workers: int = WORKERS,
        service_jobs: int = SERVICE_JOBS,
    ) -> None:
        self.now = 10_000
        self._epoch = 1
        self.scheduler = self._new_scheduler()
        self.spent_ns: dict[str, int] = {}
        self.digest = hashlib.sha256()
        self.ends = 0
        self.starts = 0
        self.profile: cProfile.Profile | None = None
        self._batch_ms = batch_ms
        self._random = random.Random(seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._job_numbers = itertools.count()
        self._is_round_due = False
        self._weights = self._make_weights()
        self.workers = {
            f'w{number:03}': self._new_worker(f'w{number:03}')
            for number in range(workers)
        }
        self._set_up(service_jobs)

    def _new_scheduler(self) -> scheduling.Scheduler:
        """Return a scheduler for the present epoch."""
        return scheduling.Scheduler(self._epoch, LEASE_MS)

    def _new_worker(self, worker_id: str) -> _workers.SimulatedWorker:
        """Return a worker of the fleet."""
        return _workers.SimulatedWorker(worker_id)

    def _make_weights(self) -> dict[tuple[str, str], float]:
        """Return the load that filling images add to service images."""
        return {
            (f's{service}', f'f{filling}'): (
                1.2 if self._random.random() < 0.25 else 0.12
            )
            for service in range(SERVICE_IMAGES)
            for filling in range(FILLING_IMAGES)
        }

    def _set_up(self, service_jobs: int) -> None:
        """Add the fleet and its services, and schedule the first events."""
        self._add_fleet()
        for number in range(service_jobs):
            self._submit('service', self._service_step(number))
        for worker in self.workers.values():
            self._at(self._random.randrange(300), self._poll_later(worker))
        self._start_load()
        self._at(0, self._tick)

    def _service_step(self, number: int) -> scheduling.StepSpec:
        """Return the step of a service job."""
        return scheduling.StepSpec(
            count=SERVICE_TASKS,
            cpu=self._random.choice((5_000, 6_000, 7_000)),
            memory_mb=4_000,
            is_service=True,
            image=f's{number % SERVICE_IMAGES}',
            target_ms=100,
            max_per_worker=2,
        )

    def _start_load(self) -> None:
        """Schedule the first jobs that are no services."""
        self._at(0, self._submit_quick)
        self._at(0, self._submit_batch)

    def _add_fleet(self) -> None:
        """Add the routes and the workers to the scheduler."""
        self.scheduler.set_routes(self._routes())
        self._list_workers()

    def _routes(self) -> list[scheduling.RoutePolicy]:
        """Return the policies of all routes."""
        return [
            scheduling.RoutePolicy(
                name=name,
                pool='p',
                priority=priority,
                max_attempts=3,
                stretch=STRETCH,
                target_ms=TARGET_MS,
            )
            for priority, name in enumerate(('service', 'quick', 'batch'))
        ]

    def _list_workers(self) -> None:
        """Pass the list of registered workers to the scheduler."""
        infos = {
            worker.id: scheduling.WorkerInfo(
                id=worker.id,
                pool='p',
                address=f'{worker.id}:1',
                failure_domain='d',
                cpu=_workers.WORKER_CPU,
                memory_mb=WORKER_MEMORY_MB,
                rack=f'r{number // WORKERS_PER_RACK}',
                process_start_ms=worker.process_start_ms,
            )
            for number, worker in enumerate(self.workers.values())
        }
        self.scheduler.set_workers(infos)
        self.scheduler.mark_workers_recorded(infos)

    def _at(self, delay_ms: int, func: Callable[[], None]) -> None:
        """Call a function after a delay."""
        entry = (self.now + delay_ms, next(self._event_numbers), func)
        heapq.heappush(self._events, entry)

    def run(self, duration_ms: int) -> None:
        """Run the events of some simulated time."""
        end_ms = self.now + duration_ms
        while self._events[0][0] <= end_ms:
            self.now, _, func = heapq.heappop(self._events)
            func()
        self.now = end_ms

    def _measure(self, func: Callable[..., Any], *args: Any) -> Any:
        """Call the scheduler and add up the processor time."""
        if self.profile is not None:
            return self.profile.runcall(func, *args)
        began_ns = time.process_time_ns()
        result = func(*args)
        spent_ns = time.process_time_ns() - began_ns
        name = func.__name__
        self.spent_ns[name] = self.spent_ns.get(name, 0) + spent_ns
        return result

    def take_over(self) -> None:
        """Replace the scheduler by that of a new owner of the cell."""
        former = self.scheduler
        self._epoch += 1
        self.scheduler = self._new_scheduler()
        self._restore(former)
        self._add_fleet()
        for job in former.jobs.values():
            if job.outcome is None:
                self.scheduler.add_job(
                    job.spec,
                    self.now,
                    progress=scheduling.progress_of(job),
                    needs_probe=True,
                )
        for worker in self.workers.values():
            worker.poll_number += 1
            self.scheduler.on_worker_report(
                worker.id,
                worker.report(self.now, self._weights),
                self.now,
                self.now,
            )
            self._at(0, self._poll_later(worker))

    def _restore(self, former: scheduling.Scheduler) -> None:
        """Load what a former owner stored besides jobs; by default nothing."""

    # Jobs.

    def _submit(self, route: str, *steps: scheduling.StepSpec) -> str:
        """Submit a job and return its id."""
        spec = scheduling.JobSpec(
            id=f'j{next(self._job_numbers):06}',
            route=route,
            payload='x',
            steps=steps,
            accepted_ms=self.now,
        )
        self._measure(self.scheduler.add_job, spec, self.now)
        self._request_round()
        return spec.id

    def _submit_quick(self) -> None:
        """Submit a quick job of two steps."""
        cpu = self._random.choice((1_000, 2_000))
        first = scheduling.StepSpec(
            count=8, cpu=cpu, memory_mb=500, estimate_ms=QUICK_MS
        )
        second = dataclasses.replace(first, after=(0,))
        self._submit('quick', first, second)
        self._at(1_000 // QUICK_JOBS_PER_S, self._submit_quick)

    def _submit_batch(self) -> None:
        """Submit a batch job of filling tasks."""
        image = f'f{self._random.randrange(FILLING_IMAGES)}'
        self._submit(
            'batch',
            scheduling.StepSpec(
                count=40,
                cpu=self._random.choice((2_000, 4_000)),
                memory_mb=1_000,
                estimate_ms=self._batch_ms,
                is_filling=True,
                has_checkpoints=self._random.random() < 0.5,
                image=image,
            ),
        )
        self._at(1_000 // BATCH_JOBS_PER_S, self._submit_batch)

    # Workers.

    def _poll_later(
        self, worker: _workers.SimulatedWorker
    ) -> Callable[[], None]:
        """Return a function that starts to poll a worker."""
        return lambda: self._start_poll(worker)

    def _start_poll(self, worker: _workers.SimulatedWorker) -> None:
        """Send a poll; the report comes at an end or after the wait."""
        self._measure(self.scheduler.new_lease_end, worker.id, self.now)
        worker.poll_number += 1
        number, sent_ms = worker.poll_number, self.now
        wait_ms = POLL_WAIT_MS
        if any(run.spec.is_filling for run in worker.runs.values()):
            wait_ms = MIXED_POLL_WAIT_MS
        if worker.ended:
            wait_ms = LATENCY_MS
        self._at(wait_ms, lambda: self._end_poll(worker, number, sent_ms))

    def _end_poll(
        self, worker: _workers.SimulatedWorker, number: int, sent_ms: int
    ) -> None:
        """Apply a report, unless an end has completed the poll before."""
        if worker.poll_number != number:
            return
        worker.poll_number += 1
        report = worker.report(self.now, self._weights)
        self.ends += len(report.ended)
        jobs = self._measure(
            self.scheduler.on_worker_report,
            worker.id,
            report,
            sent_ms,
            self.now,
        )
        for job in sorted(jobs):
            self._measure(scheduling.progress_of, self.scheduler.jobs[job])
        delay_ms = RECORD_WAIT_MS if report.ended else LATENCY_MS
        self._at(delay_ms, self._poll_later(worker))
        self._apply_effects()
        self._request_round()

    def _end_run(
        self,
        worker: _workers.SimulatedWorker,
        run: _workers.SimulatedRun,
        kind: scheduling.EndKind,
    ) -> None:
        """End a run and complete the pending poll."""
        if worker.runs.get(run.key) is not run:
            return
        del worker.runs[run.key]
        worker.sequence += 1
        worker.ended.append(
            scheduling.EndReport(
                sequence=worker.sequence,
                key=run.key,
                number=run.number,
                kind=kind,
                checkpoint=worker.checkpoint_of(run),
            )
        )
        number, sent_ms = worker.poll_number, self.now - LATENCY_MS
        self._at(LATENCY_MS, lambda: self._end_poll(worker, number, sent_ms))

    # Scheduling.

    def _tick(self) -> None:
        """Run a round at a fixed interval."""
        self._run_round()
        self._at(TICK_MS, self._tick)

    def _request_round(self) -> None:
        """Run a round after a short delay."""
        if not self._is_round_due:
            self._is_round_due = True
            self._at(ROUND_DELAY_MS, self._on_round_due)

    def _on_round_due(self) -> None:
        """Run a requested round."""
        self._is_round_due = False
        self._run_round()

    def _run_round(self) -> None:
        """Run a scheduling round."""
        self._measure(
            self.scheduler.decide,
            self.now,
            self.now,
            scheduling.FormerRuns(),
        )
        self._apply_effects()

    def _apply_effects(self) -> None:
        """Carry out the orders of the scheduler."""
        for effect in self._measure(self.scheduler.take_effects):
            self.digest.update(repr((self.now, effect)).encode())
            self._carry_out(effect)

    def _carry_out(self, effect: scheduling.Effect) -> None:
        """Carry out one effect of the scheduler."""
        if isinstance(effect, scheduling.StartTask):
            self._start_run(effect)
        elif isinstance(effect, scheduling.StopTask):
            self._stop_run(effect)
        elif isinstance(effect, scheduling.PaceTask):
            self._pace_run(effect)

    def _pace_run(self, effect: scheduling.PaceTask) -> None:
        """Change the pace of a run."""
        run = self.workers[effect.worker].runs.get(effect.key)
        if run is not None:
            run.pace = effect.percent

    def _start_run(self, effect: scheduling.StartTask) -> None:
        """Start a run on a worker and reply to the order."""
        self.starts += 1
        key = effect.key
        spec = self.scheduler.jobs[key.job].spec.steps[key.step]
        duration_ms = self._batch_ms if spec.is_filling else QUICK_MS
        run = _workers.SimulatedRun(
            key=key,
            number=effect.run,
            spec=spec,
            started_ms=self.now,
            duration_ms=int(duration_ms * self._random.uniform(0.7, 1.3)),
        )
        worker = self.workers[effect.worker]
        worker.runs[key] = run
        if not spec.is_service:
            self._at(
                run.duration_ms,
                lambda: self._end_run(worker, run, scheduling.EndKind.DONE),
            )
        self._at(LATENCY_MS, lambda: self._on_started(effect))

    def _on_started(self, effect: scheduling.StartTask) -> None:
        """Apply the reply to a start order."""
        self._measure(
            self.scheduler.on_start_reply,
            effect.worker,
            effect.key,
            effect.run,
            scheduling.StartOutcome.STARTED,
            '',
            self.now,
        )
        self._apply_effects()
        self._request_round()

    def _stop_run(self, effect: scheduling.StopTask) -> None:
        """Stop a run on a worker and reply to the order."""
        worker = self.workers[effect.worker]
        run = worker.runs.get(effect.key)
        if run is not None and run.number == effect.run:
            stopped = run
            self._at(
                STOP_MS,
                lambda: self._end_run(
                    worker, stopped, scheduling.EndKind.STOPPED
                ),
            )
        self._measure(
            self.scheduler.on_stop_reply,
            effect.worker,
            effect.key,
            effect.run,
            True,
            self.now,
        )


SCENARIOS = {'steady': BATCH_MS, 'overload': OVERLOAD_BATCH_MS}


def _measure_scenario(name: str, seed: int) -> _results.Result:
    """Measure a scenario, print its parts and return the total."""
    simulation = OwnerSimulation(SCENARIOS[name], seed)
    simulation.run(WARM_UP_MS)
    simulation.spent_ns.clear()
    simulation.starts = simulation.ends = 0
    simulation.run(MEASURED_MS)
    seconds = MEASURED_MS / 1_000
    for func, spent_ns in simulation.spent_ns.items():
        click.echo(f'{name}/{func}: {spent_ns / 1e9 / seconds:.4f} cores')
    ready = sum(simulation.scheduler.figures.ready_by_kind().values())
    click.echo(
        f'{name}: {simulation.starts / seconds:g} starts/s, '
        f'{simulation.ends / seconds:g} ends/s, {ready} ready tasks, '
        f'digest {simulation.digest.hexdigest()[:16]}'
    )
    return _results.Result(
        name=f'owner/{name}',
        unit='cores',
        value=sum(simulation.spent_ns.values()) / 1e9 / seconds,
        target=MAX_CORES,
    )


def run(seed: int = 1) -> list[_results.Result]:
    """Measure the processor time per simulated second."""
    return [_measure_scenario(name, seed) for name in SCENARIOS]


def _print_profile(name: str, seed: int) -> None:
    """Print the functions that use the most processor time."""
    simulation = OwnerSimulation(SCENARIOS[name], seed)
    simulation.run(WARM_UP_MS)
    simulation.profile = cProfile.Profile()
    simulation.run(MEASURED_MS)
    stats = pstats.Stats(simulation.profile)
    stats.strip_dirs().sort_stats('tottime').print_stats(25)


@click.command()
@click.option('--profile', type=click.Choice(list(SCENARIOS)))
@click.option('--seed', default=1, help='Seed of the random numbers.')
def main(profile: str | None, seed: int) -> None:
    """Print the processor time, or the profile of one scenario."""
    if profile is not None:
        _print_profile(profile, seed)
        return
    click.echo(_results.to_table(run(seed)))


if __name__ == '__main__':
    main()
