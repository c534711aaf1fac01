"""Remove ended jobs from the store after the retention period."""

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class Sweeper:
    """Remove the rows of expired jobs in small batches.

    :param retention_ms: how long the state of an ended job must be available.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        retention_ms: int,
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._retention_ms = retention_ms
        self._log = core.get_logger(const.DOMAIN)
        self._last_sweep_ms = kernel.clock.now()

    @property
    def is_due(self) -> bool:
        """Return whether the sweep interval has passed."""
        now = self._kernel.clock.now()
        return now - self._last_sweep_ms >= const.SWEEP_INTERVAL_MS

    async def sweep(self) -> None:
        """Remove a batch of jobs whose retention period has passed."""
        self._last_sweep_ms = self._kernel.clock.now()
        limit = self._kernel.clock.wall() - (
            self._retention_ms + const.RETENTION_MARGIN_MS
        )
        expired_ids = [
            job.spec.id
            for job in self._scheduler.jobs.values()
            if job.outcome is not None and 0 < job.ended_wall_ms < limit
        ]
        for job_id in expired_ids[: const.SWEEP_BATCH]:
            if not await self._remove(job_id):
                return
            self._scheduler.remove_job(job_id)

    async def _remove(self, job_id: str) -> bool:
        """Remove the rows of a job; return whether this succeeded."""
        outcome = await _commits.try_commit(
            self._kernel,
            store.CommitRows(
                table=layout.TABLE,
                part=layout.part_for_job(job_id),
                checks=(),
                puts=(
                    store.Put(key=layout.JOB_PREFIX + job_id, value=None),
                    store.Put(key=layout.CANCEL_PREFIX + job_id, value=None),
                ),
            ),
        )
        if outcome.result is not None:
            # The record is removed last: a job whose row exists without a
            # record would be reported as queued.
            record = store.Put(key=layout.RECORD_PREFIX + job_id, value=None)
            outcome = await _owner_commits.commit_as_owner(
                self._kernel, self._term, (record,)
            )
        if outcome.result is None or not outcome.result.is_applied:
            self._log.warning(
                'Expired job not removed', job=job_id, why=outcome.error
            )
            return False
        return True
