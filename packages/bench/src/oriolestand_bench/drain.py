"""Measure how a backlog of filling jobs drains after a burst of traffic.

Filling jobs come at a share of the room that services leave idle. A burst
multiplies the traffic for a while, then the usual traffic goes on, a new owner
may take over, and the traffic ends. ``OwnerSimulation`` has the fleet.
"""

from collections.abc import Mapping
import dataclasses
import random

import click

from oriolestand_bench import _workers
from oriolestand_bench import owner
from oriolestand_policy import ownership
from oriolestand_policy import scheduling

POOL = 'p'
TASK_CPU = 7_000
TASK_MS = 2_200
TASKS_PER_STEP = 8
STEPS = 2
SERVICE_JOBS_PER_WORKER = 0.2
USUAL_LOAD = 0.65
"""Share of the idle processors that the usual traffic needs."""

BURST_FACTOR = 2.5
WARM_UP_MS = 20_000
BURST_MS = 40_000
TRAFFIC_AFTER_BURST_MS = 32_000
QUIET_MS = 14_000
"""Time after the end of the traffic until each open job must have a run."""

CHECK_MS = 3_000
"""Time for which a job must be without a run to count as stuck."""

SAMPLE_MS = 100
CALM_WEIGHT = 0.12
OVERDUE_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Result of a simulated day.

    ``stuck_jobs`` have had no run for ``CHECK_MS`` at the end of the day, ids
    in order. ``longest_wait_ms`` is the longest time without a run of any
    job with a ready task. ``drained_ms`` is the time from the end of the burst
    until no job waits for longer than ``OVERDUE_MS``, -1 if that is never.
    ``jobs`` were accepted, and ``refused`` is the number of submissions that
    the full pool did not accept.
    """

    stuck_jobs: tuple[str, ...]
    longest_wait_ms: int
    drained_ms: int
    jobs: int
    in_time: int
    refused: int


class DrainSimulation(owner.OwnerSimulation):
    """Simulate a burst of filling jobs on a fleet of any size."""

    def __init__(
        self,
        workers: int,
        seed: int = 1,
        *,
        is_taken_over: bool = False,
        are_images_calm: bool = False,
    ) -> None:
        self._traffic = 0.0
        self._jobs_per_s = (
            USUAL_LOAD
            * workers
            * _workers.WORKER_CPU
            * 1_000
            / (STEPS * TASKS_PER_STEP * TASK_CPU * TASK_MS)
        )
        self._accepted_ms: dict[str, int] = {}
        self._busy_ms: dict[str, int] = {}
        self._in_time = 0
        self._refused = 0
        self._full_pools: Mapping[str, int] = {}
        # Apart from run times, so that all codes get the same jobs.
        self._traffic_random = random.Random(seed)
        self._longest_wait_ms = 0
        self._last_wait_ms = 0
        super().__init__(
            TASK_MS,
            seed,
            workers=workers,
            service_jobs=max(1, round(workers * SERVICE_JOBS_PER_WORKER)),
        )
        self._is_taken_over = is_taken_over
        if are_images_calm:
            # No image keeps others from the workers of a service.
            self._weights = dict.fromkeys(self._weights, CALM_WEIGHT)

    def _start_load(self) -> None:
        """Start the traffic of filling jobs."""
        self._at(0, self._submit_batch)
        self._at(0, self._renew)
        self._at(SAMPLE_MS, self._sample)

    def _renew(self) -> None:
        """Publish which pools are full, as an owner does."""
        self._full_pools = self.scheduler.full_pools(self.now)
        self._at(ownership.RENEW_INTERVAL_MS, self._renew)

    def _submit_batch(self) -> None:
        """Submit a filling job of two steps, if there is traffic."""
        if self._traffic:
            self._submit_filling()
        rate = self._jobs_per_s * max(1.0, self._traffic)
        gap_ms = self._traffic_random.expovariate(rate) * 1_000
        self._at(max(1, round(gap_ms)), self._submit_batch)

    def _submit_filling(self) -> None:
        """Submit a filling job."""
        image = self._traffic_random.randrange(owner.FILLING_IMAGES)
        first = scheduling.StepSpec(
            count=TASKS_PER_STEP,
            cpu=TASK_CPU,
            memory_mb=13_000,
            estimate_ms=TASK_MS,
            is_filling=True,
            has_checkpoints=True,
            image=f'f{image}',
        )
        if POOL in self._full_pools:
            self._refused += 1
            return
        second = dataclasses.replace(first, after=(0,))
        job = self._submit('batch', first, second)
        self._accepted_ms[job] = self.now
        self._busy_ms[job] = self.now

    def _sample(self) -> None:
        """Note which jobs have a run."""
        busy = {
            key.job for worker in self.workers.values() for key in worker.runs
        }
        waits = [0]
        for job_id in list(self._busy_ms):
            job = self.scheduler.jobs[job_id]
            if job.outcome is not None:
                self._on_done(job_id)
            elif job_id in busy:
                self._busy_ms[job_id] = self.now
            else:
                waits.append(self.now - self._busy_ms[job_id])
        self._last_wait_ms = max(waits)
        self._longest_wait_ms = max(self._longest_wait_ms, *waits)
        self._at(SAMPLE_MS, self._sample)

    def _on_done(self, job_id: str) -> None:
        """Count a job that has ended."""
        del self._busy_ms[job_id]
        objective_ms = owner.STRETCH * STEPS * TASK_MS + owner.TARGET_MS
        if self.now - self._accepted_ms[job_id] <= objective_ms:
            self._in_time += 1

    def play(self) -> Figures:
        """Play the day and return its figures."""
        self.run(WARM_UP_MS // 4)
        self._traffic = 1.0
        self.run(WARM_UP_MS)
        self._traffic = BURST_FACTOR
        self.run(BURST_MS)
        self._traffic = 1.0
        burst_end_ms = self.now
        drained_ms = -1
        for _ in range(TRAFFIC_AFTER_BURST_MS // SAMPLE_MS):
            self.run(SAMPLE_MS)
            if self._last_wait_ms > OVERDUE_MS:
                drained_ms = -1
            elif drained_ms < 0:
                drained_ms = self.now - burst_end_ms
        if self._is_taken_over:
            self.take_over()
        self._traffic = 0.0
        self.run(QUIET_MS)
        return Figures(
            stuck_jobs=tuple(
                job
                for job, busy_ms in sorted(self._busy_ms.items())
                if self.now - busy_ms > CHECK_MS
            ),
            longest_wait_ms=self._longest_wait_ms,
            drained_ms=drained_ms,
            jobs=len(self._accepted_ms),
            in_time=self._in_time,
            refused=self._refused,
        )


@click.command()
@click.option('--workers', multiple=True, type=int, default=(20, 50, 270))
@click.option('--seed', default=1, help='Seed of the random numbers.')
def main(workers: tuple[int, ...], seed: int) -> None:
    """Print how backlogs drain, with and without a change of owner."""
    for count in workers:
        for is_taken_over in (False, True):
            found = DrainSimulation(
                count, seed, is_taken_over=is_taken_over
            ).play()
            click.echo(
                f'{count} workers, '
                f'{"a" if is_taken_over else "no"} change of owner: '
                f'{found.jobs} jobs, {found.refused} refused, '
                f'{found.in_time} in time, '
                f'longest wait {found.longest_wait_ms} ms, '
                f'drained after {found.drained_ms} ms, '
                f'{len(found.stuck_jobs)} stuck'
            )


if __name__ == '__main__':
    main()
