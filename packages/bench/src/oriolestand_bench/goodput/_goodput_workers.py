"""Simulated workers on which runs take as long as their work needs."""

from collections.abc import Mapping
import dataclasses

from oriolestand_bench import _workers
from oriolestand_policy import scheduling

MEAN_SERVICE_LOAD = 0.5625
"""Services that request 0.8 of a worker use 0.45 of it."""

END_TOLERANCE_MS = 0.5
"""Ends are at whole milliseconds of the simulated clock."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Run(_workers.SimulatedRun):
    """Run that works at a rate that its worker sets.

    ``duration_ms`` is its work, as run time at full pace, and ``done_ms`` how
    much of it is done. ``fails_at_ms`` is the work at which the run fails, -1
    if it does not. ``used_ms`` is the work of this run alone.
    """

    done_ms: float = 0.0
    used_ms: float = 0.0
    rate: float = 1.0
    fails_at_ms: float = -1.0

    @property
    def left_ms(self) -> float:
        """Return the work until the run ends."""
        if self.fails_at_ms >= 0:
            return self.fails_at_ms - self.done_ms
        return self.duration_ms - self.done_ms


class Worker(_workers.SimulatedWorker):
    """Worker whose filling tasks share the processors that are idle.

    Services and plain tasks go first. A checkpoint is the work done at the
    time of a report. ``version`` changes with the next end of a run.
    """

    mean_load = MEAN_SERVICE_LOAD

    def __init__(self, worker_id: str) -> None:
        super().__init__(worker_id)
        self.is_gone = False
        self.version = 0
        self._advanced_ms = 0

    def batch_runs(self) -> list[Run]:
        """Return the runs that are no services."""
        return [run for run in self.runs.values() if isinstance(run, Run)]

    def advance(self, now_ms: int) -> None:
        """Add the work since the last call, and set the rates from now on."""
        elapsed_ms = now_ms - self._advanced_ms
        self._advanced_ms = now_ms
        runs = self.batch_runs()
        for run in runs:
            run.done_ms += elapsed_ms * run.rate
            run.used_ms += elapsed_ms * run.rate
        self._set_rates(runs, now_ms)

    def _set_rates(self, runs: list[Run], now_ms: int) -> None:
        """Divide the idle processors among the filling runs."""
        idle = float(_workers.WORKER_CPU)
        wanted = 0.0
        for run in self.runs.values():
            if run.spec.is_service:
                load = self.intrinsic_load(run.key.job, now_ms)
                idle -= run.spec.cpu * min(1.0, load)
            elif not run.spec.is_filling:
                idle -= run.spec.cpu
            else:
                wanted += run.spec.cpu * run.pace / 100
        share = min(1.0, max(0.0, idle) / wanted) if wanted else 1.0
        for batch_run in runs:
            if batch_run.spec.is_filling:
                batch_run.rate = share * batch_run.pace / 100

    def next_end_ms(self) -> float | None:
        """Return the time until the next run ends, or None."""
        return min(
            (
                max(0.0, run.left_ms) / run.rate
                for run in self.batch_runs()
                if run.rate > 0
            ),
            default=None,
        )

    def crash(self) -> list[Run]:
        """End the worker; return the runs that were lost."""
        lost = self.batch_runs()
        self.is_gone = True
        self.runs.clear()
        self.ended.clear()
        return lost

    def restart(self, now_ms: int) -> None:
        """Start the worker again, without any run."""
        self.is_gone = False
        self.sequence = 0
        self.process_start_ms = now_ms

    def tails(
        self, now_ms: int, weights: Mapping[tuple[str, str], float]
    ) -> list[int]:
        """Return the tail latencies of the services, in milliseconds."""
        return [
            self._measured(run, now_ms, dict(weights))
            for run in self.runs.values()
            if run.spec.is_service
        ]

    def checkpoint_of(self, run: _workers.SimulatedRun) -> str:
        """Return the checkpoint of a run at this moment."""
        if not isinstance(run, Run) or not run.spec.has_checkpoints:
            return ''
        return str(int(run.done_ms))

    def _percent(self, run: _workers.SimulatedRun, now_ms: int) -> int:
        """Return the progress of a run."""
        if not isinstance(run, Run):
            return 100
        return min(99, int(100 * run.done_ms / run.duration_ms))

    def _measured(
        self,
        run: _workers.SimulatedRun,
        now_ms: int,
        weights: dict[tuple[str, str], float],
    ) -> int:
        """Return the tail latency or the processor use of a run."""
        if isinstance(run, Run):
            return round(run.spec.cpu * run.rate)
        return super()._measured(run, now_ms, weights)


def is_done(run: Run) -> bool:
    """Return whether a run has reached its end."""
    return run.left_ms <= END_TOLERANCE_MS


def end_kind(run: Run) -> scheduling.EndKind:
    """Return how a run that has reached its end has ended."""
    if run.fails_at_ms >= 0:
        return scheduling.EndKind.FAILED
    return scheduling.EndKind.DONE
