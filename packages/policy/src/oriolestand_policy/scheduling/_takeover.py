"""Tell which tasks may run on workers of former owners."""

import dataclasses

from oriolestand_policy.scheduling import _jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FormerRuns:
    """What an owner does not know about the runs of former owners.

    ``worker_ids`` are the workers that may still have such runs and have not
    reported to this owner. ``has_unknown_workers`` is whether there may be
    others.
    """

    worker_ids: frozenset[str] = frozenset()
    has_unknown_workers: bool = False

    @property
    def are_known(self) -> bool:
        """Return whether all runs of former owners are known."""
        return not self.worker_ids and not self.has_unknown_workers

    def may_include(self, job: _jobs.Job) -> bool:
        """Return whether tasks of a job may run without being known."""
        return job.needs_probe and not self.are_known
