"""Simulated workers that run tasks and report them."""

import dataclasses
import hashlib
import math

from oriolestand_policy import scheduling

WORKER_CPU = 64_000
LOAD_PERIOD_MS = 10_000


@dataclasses.dataclass(slots=True, kw_only=True)
class SimulatedRun:
    """Run on a simulated worker."""

    key: scheduling.TaskKey
    number: int
    spec: scheduling.StepSpec
    started_ms: int
    duration_ms: int
    pace: int = 100


class SimulatedWorker:
    """Worker that runs tasks and reports them.

    ``mean_load`` is the mean load of a service by its own requests.
    """

    mean_load = 0.45

    def __init__(self, worker_id: str) -> None:
        self.id = worker_id
        self.runs: dict[scheduling.TaskKey, SimulatedRun] = {}
        self.ended: list[scheduling.EndReport] = []
        self.sequence = 0
        self.poll_number = 0
        self.process_start_ms = 1

    def report(
        self, now_ms: int, weights: dict[tuple[str, str], float]
    ) -> scheduling.WorkerReport:
        """Return the report of all runs and of the ends since the last."""
        ended, self.ended = tuple(self.ended), []
        running = tuple(
            scheduling.RunReport(
                key=run.key,
                number=run.number,
                checkpoint=self.checkpoint_of(run),
                percent=self._percent(run, now_ms),
                measured=self._measured(run, now_ms, weights),
            )
            for run in self.runs.values()
        )
        return scheduling.WorkerReport(
            clock_ms=now_ms,
            running=running,
            ended=ended,
            process_start_ms=self.process_start_ms,
        )

    def checkpoint_of(self, run: SimulatedRun) -> str:
        """Return the checkpoint of a run at this moment."""
        return ''

    def _percent(self, run: SimulatedRun, now_ms: int) -> int:
        """Return the progress of a run."""
        if run.spec.is_service:
            return 100
        elapsed_ms = now_ms - run.started_ms
        return min(99, 100 * elapsed_ms // run.duration_ms)

    def _measured(
        self,
        run: SimulatedRun,
        now_ms: int,
        weights: dict[tuple[str, str], float],
    ) -> int:
        """Return the tail latency or the processor use of a run."""
        if not run.spec.is_service:
            return run.spec.cpu * run.pace // 100
        load = self.intrinsic_load(run.key.job, now_ms)
        for other in self.runs.values():
            if other.spec.is_filling:
                weight = weights[(run.spec.image, other.spec.image)]
                share = other.spec.cpu * other.pace / 100 / WORKER_CPU
                load += weight * share
        return round(20 / (1.0 - min(0.95, load)))

    def intrinsic_load(self, job: str, now_ms: int) -> float:
        """Return the load of the tasks of a service by its own requests."""
        angle = 2 * math.pi * (now_ms / LOAD_PERIOD_MS + hash_of(job))
        return self.mean_load + 0.2 * math.sin(angle)


def hash_of(text: str) -> float:
    """Return a number from 0 to 1 that depends on a text only."""
    return int(hashlib.sha256(text.encode()).hexdigest()[:8], 16) / 2**32
