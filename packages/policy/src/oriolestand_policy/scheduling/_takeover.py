"""Tell which tasks may run on workers of former owners."""

from collections.abc import Mapping
import dataclasses

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FormerRuns:
    """What an owner does not know about the runs of former owners.

    ``worker_ids`` are the workers that may still have such runs and have not
    listed them to this owner. ``has_unknown_workers`` is whether there may be
    others.
    """

    worker_ids: frozenset[str] = frozenset()
    has_unknown_workers: bool = False

    @property
    def are_known(self) -> bool:
        """Return whether all runs of former owners are known."""
        return not self.worker_ids and not self.has_unknown_workers

    def may_include(
        self,
        job: _jobs.Job,
        task: _jobs.Task,
        workers: Mapping[str, _fleet.Worker],
    ) -> bool:
        """Return whether a task or its gang may run without being known.

        The next incarnation of a worker may carry out a start that the former
        one did not answer, until the first poll with a higher token. A former
        owner has started a service task only where the record of
        its job places it. Records do not place other tasks.
        """
        if task.late_worker and _is_unfenced(workers.get(task.late_worker)):
            return True
        if self.are_known:
            return False
        if not task.spec.is_service or job.has_unknown_placements:
            return job.needs_probe
        if not task.spec.is_gang:
            return self.may_include_placement(task, workers)
        return any(
            self.may_include_placement(member, workers)
            for member in job.gang_of(task)
        )

    def may_include_placement(
        self, task: _jobs.Task, workers: Mapping[str, _fleet.Worker]
    ) -> bool:
        """Return whether a task may run where a former owner placed it.

        A worker without a row has no runs of former owners, but the row of
        an unknown worker could not be read.
        """
        worker_id = task.former_worker
        if not worker_id:
            return False
        if worker_id in self.worker_ids:
            return True
        if not self.has_unknown_workers:
            return False
        worker = workers.get(worker_id)
        return worker is None or not (
            worker.is_probed and worker.are_runs_known
        )


def _is_unfenced(worker: _fleet.Worker | None) -> bool:
    """Return whether a worker may carry out orders for a former incarnation.

    A worker that is gone carries out none.
    """
    return worker is not None and (
        not worker.is_probed
        or worker.is_in_doubt
        or worker.unreachable_ms >= 0
        or worker.fenced_after_ms >= 0
    )
