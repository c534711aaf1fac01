"""Count what runs and waits in a cell, for metrics."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _specs


class CellFigures:
    """Figures of a cell at present."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell

    def waiting_jobs(self) -> int:
        """Return the number of unfinished jobs without a started task."""
        return sum(
            1
            for job in self._cell.jobs.values()
            if job.outcome is None and not job.has_started
        )

    def ready_by_kind(self) -> dict[_specs.TaskKind, int]:
        """Return the number of tasks that wait for a worker, by kind."""
        return _count_by_kind(task.spec for task in self._cell.ready)

    def oldest_ready_ms(self, now_ms: int) -> dict[_specs.TaskKind, int]:
        """Return how long the oldest ready task has waited, by kind."""
        oldest = dict.fromkeys(_specs.TaskKind, 0)
        for task in self._cell.ready:
            kind = task.spec.kind
            oldest[kind] = max(oldest[kind], now_ms - task.ready_ms)
        return oldest

    def oldest_report_ms(self, now_ms: int) -> int:
        """Return the age of the oldest last report of a worker with runs."""
        return max(
            (
                now_ms - worker.last_report_ms
                for worker in self._cell.workers.values()
                if worker.is_probed and worker.runs
            ),
            default=0,
        )

    def workers_by_state(
        self, now_ms: int
    ) -> dict[_eligibility.WorkerState, int]:
        """Return the number of workers that may get tasks, or why not."""
        counts = dict.fromkeys(_eligibility.WorkerState, 0)
        for worker in self._cell.workers.values():
            counts[_eligibility.worker_state(worker, now_ms)] += 1
        return counts

    def running_by_kind(self) -> dict[_specs.TaskKind, int]:
        """Return the number of runs that occupy workers, by kind."""
        return _count_by_kind(
            run.spec
            for worker in self._cell.workers.values()
            for run in worker.runs.values()
        )

    def workers_by_domain(self) -> Mapping[str, int]:
        """Return the number of workers of each failure domain."""
        return collections.Counter(
            worker.info.failure_domain
            for worker in self._cell.workers.values()
        )

    def slow_service_count(self) -> int:
        """Return the number of service tasks that exceed their target."""
        return sum(
            run.over_since_ms >= 0
            for worker in self._cell.workers.values()
            for run in worker.runs.values()
        )


def _count_by_kind(
    specs: Iterable[_specs.StepSpec],
) -> dict[_specs.TaskKind, int]:
    """Return the number of tasks of each kind."""
    counts = dict.fromkeys(_specs.TaskKind, 0)
    for spec in specs:
        counts[spec.kind] += 1
    return counts
