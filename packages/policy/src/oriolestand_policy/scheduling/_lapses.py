"""Find out which unreadable runs are none of a former owner."""

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _takeover

MAX_LAPSING_WORKERS = 4
"""Most workers whose leases lapse at the same time. If all workers listed such
runs, a change of owner would otherwise end everything that runs."""

CHECK_INTERVAL_MS = 1_000
"""Time between checks for tasks that wait, which may visit all ready ones."""


class Lapses:
    """Let leases of workers lapse that list runs which cannot be read.

    Such a run may be one that a former owner has started, so tasks wait for it
    in a takeover, and each poll that extends the lease of the worker would
    prolong it. A run that goes on without a lease is none of an owner's. This
    ends the other runs on the worker too, so it is done only while a task
    waits. A run that can be read again, or ends, in the time of a lease saves
    the others.
    """

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._next_check_ms = 0

    def update(self, former_runs: _takeover.FormerRuns, now_ms: int) -> None:
        """Let the leases of some workers lapse if tasks wait for their runs.

        :param former_runs: what is not known about the runs of former owners.
        """
        if former_runs.are_known or now_ms < self._next_check_ms:
            return
        workers = [
            self._cell.workers[worker_id]
            for worker_id in sorted(former_runs.worker_ids)
            if worker_id in self._cell.workers
        ]
        hiding = [w for w in workers if w.hidden_runs]
        if not hiding:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        if not self._is_task_waiting(former_runs):
            return
        free = MAX_LAPSING_WORKERS - sum(w.is_lapsing for w in hiding)
        for worker in [w for w in hiding if not w.is_lapsing][: max(0, free)]:
            worker.is_lapsing = True
            self._cell.log(
                'lease_lapses',
                '',
                worker=worker.info.id,
                runs=len(worker.runs),
                unreadable=worker.hidden_runs,
            )

    def _is_task_waiting(self, former_runs: _takeover.FormerRuns) -> bool:
        """Return whether a ready task waits for runs of former owners."""
        for task in self._cell.ready:
            job = self._cell.jobs.get(task.key.job)
            if job is not None and former_runs.may_include(
                job, task, self._cell.workers
            ):
                return True
        return False


def count_hidden_runs(
    worker: _fleet.Worker, report: _reports.WorkerReport, sent_ms: int
) -> None:
    """Count the unreadable runs in a report that may be an owner's.

    Call this before the report is applied, with the time of its poll: what
    runs on after the lease needs none.
    """
    is_over = worker.is_lapsing and worker.is_lease_expired(
        sent_ms, _fleet.LEASE_MARGIN_MS
    )
    if is_over:
        worker.foreign_runs = report.unreadable_runs
    # One that is listed no more must not stand for another one later.
    worker.foreign_runs = min(worker.foreign_runs, report.unreadable_runs)
    worker.hidden_runs = report.unreadable_runs - worker.foreign_runs
    if not worker.hidden_runs:
        worker.is_lapsing = False
