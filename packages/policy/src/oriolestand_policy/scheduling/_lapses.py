"""Find out which unreadable runs are none that a task waits for."""

from collections.abc import Collection

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

    Such a run may be one that a former owner has started, or one whose start
    is in doubt, so tasks wait for it, and each poll that extends the lease of
    the worker would prolong it. A run that goes on without a lease is none of
    an owner's. This ends the other runs on the worker too, so it is done only
    while a task waits. A run that can be read again, or ends, in the time of
    a lease saves the others.
    """

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._next_check_ms = 0

    def update(self, former_runs: _takeover.FormerRuns, now_ms: int) -> None:
        """Let the leases of some workers lapse if tasks wait for their runs.

        :param former_runs: what is not known about the runs of former owners.
        """
        if now_ms < self._next_check_ms:
            return
        hiding = [w for w in self._cell.workers.values() if w.hidden_runs]
        if not hiding:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        former_ids: Collection[str] = ()
        if not former_runs.are_known and self._is_task_waiting(former_runs):
            former_ids = former_runs.worker_ids
        waited_for = []
        for worker in sorted(hiding, key=lambda w: w.info.id):
            if worker.info.id in former_ids or self._is_in_doubt(worker):
                if not worker.is_lapsing:
                    waited_for.append(worker)
            elif former_runs.are_known:
                # The start that was in doubt has been listed.
                worker.is_lapsing = False
        free = MAX_LAPSING_WORKERS - sum(w.is_lapsing for w in hiding)
        for worker in waited_for[: max(0, free)]:
            worker.is_lapsing = True
            self._cell.log(
                'lease_lapses',
                '',
                worker=worker.info.id,
                runs=len(worker.runs),
                unreadable=worker.hidden_runs,
            )

    def _is_in_doubt(self, worker: _fleet.Worker) -> bool:
        """Return whether a task waits for a start that may be unreadable.

        Runs that have been listed or answered are left: what cannot be read
        is most likely their row, and their end is listed.
        """
        for run in worker.runs.values():
            if run.phase is not _fleet.RunPhase.IN_DOUBT:
                continue
            job = self._cell.jobs.get(run.key.job)
            task = job.find(run.key) if job is not None else None
            if job is None or task is None or job.outcome is not None:
                continue
            if not task.is_done and task.run == run.number:
                return True
        return False

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
) -> bool:
    """Count the unreadable runs in a report that may be an owner's.

    Call this before the report is applied, with the time of its poll: what
    runs on after the lease needs none. Return whether the lease was over.
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
    return is_over
