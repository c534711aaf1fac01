"""Log the crashes of workers with the runs that were lost."""

import collections
from typing import Protocol

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs

CRASH_REASONS = frozenset({'restarted', 'replaced'})
"""Why a worker was removed although it did not leave: another incarnation
reports or registered in its place."""

MAX_LOGGED_RUNS = 8


class LogFunction(Protocol):
    """Function that queues a log event of a job or, if empty, of a worker."""

    def __call__(self, event: str, job: str, **values: object) -> None:
        """Queue the event."""


class CrashLog:
    """Log lost workers, and count how many each unfinished task has lost."""

    def __init__(self, log: LogFunction) -> None:
        self._log = log
        self._losses: collections.Counter[_jobs.TaskKey] = (
            collections.Counter()
        )

    def on_worker_gone(self, worker: _fleet.Worker, reason: str) -> None:
        """Log a worker that crashed with runs; the youngest come first.

        A row holds the task, the run, its age at the last report and at the
        first failed poll, and the number of workers lost under the task.
        """
        if reason not in CRASH_REASONS or not worker.runs:
            return
        rows: list[list[object]] = []
        for run in sorted(worker.runs.values(), key=lambda r: -r.since_ms):
            self._losses[run.key] += 1
            rows.append(
                [
                    str(run.key),
                    run.number,
                    max(-1, worker.last_report_ms - run.since_ms),
                    max(-1, worker.unreachable_ms - run.since_ms),
                    self._losses[run.key],
                ]
            )
        self._log(
            'worker_crashed',
            '',
            worker=worker.info.id,
            reason=reason,
            is_leaving=worker.info.is_leaving,
            last_report_ms=worker.last_report_ms,
            unreachable_ms=worker.unreachable_ms,
            runs=len(rows),
            youngest=rows[:MAX_LOGGED_RUNS],
        )
