"""Remove rows of ended jobs from the store."""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import _record_saver
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class Sweeper:
    """Remove specifications of ended jobs and all rows of expired jobs.

    Specifications go early, so that a successor loads only those of jobs that
    it has to run.

    :param ended: times at which jobs ended that the scheduler may not know.
    :param retention_ms: how long the state of an ended job must be available.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        saver: _record_saver.RecordSaver,
        ended: dict[str, int],
        retention_ms: int,
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._saver = saver
        self._ended = dict(ended)
        self._retention_ms = retention_ms
        self._log = core.get_logger(const.DOMAIN)
        self._last_sweep_ms = kernel.clock.now()
        self._with_spec = {
            job_id for job_id in ended if job_id in scheduler.jobs
        }

    @property
    def is_due(self) -> bool:
        """Return whether the sweep interval has passed."""
        now = self._kernel.clock.now()
        return now - self._last_sweep_ms >= const.SWEEP_INTERVAL_MS

    async def sweep(self) -> None:
        """Remove specifications of ended jobs, then expired jobs."""
        self._last_sweep_ms = self._kernel.clock.now()
        self._find_ended_jobs()
        for part, batch in _batches_by_part(self._with_spec):
            if self._term.is_over or not await self._remove_specs(part, batch):
                return
        limit = self._kernel.clock.wall() - (
            self._retention_ms + const.RETENTION_MARGIN_MS
        )
        expired = [
            job_id for job_id, ended in self._ended.items() if ended < limit
        ]
        for part, batch in _batches_by_part(expired):
            if self._term.is_over or not await self._remove_jobs(part, batch):
                return

    def _find_ended_jobs(self) -> None:
        """Add the jobs whose outcome has been written."""
        for job_id, job in self._scheduler.jobs.items():
            if job.outcome is None or not job.ended_wall_ms:
                continue
            if job_id in self._ended or self._saver.is_unsaved(job_id):
                continue
            self._ended[job_id] = job.ended_wall_ms
            self._with_spec.add(job_id)

    async def _remove_specs(self, part: str, batch: list[str]) -> bool:
        """Remove specifications; return whether this succeeded."""
        if not await self._commit(part, _removals(batch, has_entry=False)):
            return False
        self._with_spec.difference_update(batch)
        self._scheduler.mark_unloadable(batch)
        return True

    async def _remove_jobs(self, part: str, batch: list[str]) -> bool:
        """Remove all rows of jobs; return whether this succeeded."""
        if not await self._commit(part, _removals(batch, has_entry=True)):
            return False
        # The records are removed last: a job whose row exists without a
        # record would be reported as queued.
        outcome = await _owner_commits.commit_as_owner(
            self._kernel, self._term, list(_record_removals(batch))
        )
        if outcome.result is None or not outcome.result.is_applied:
            self._log_failure(batch, outcome.error)
            return False
        for job_id in batch:
            self._ended.pop(job_id)
            self._with_spec.discard(job_id)
            self._scheduler.remove_job(job_id)
            self._saver.forget(job_id)
        return True

    async def _commit(self, part: str, puts: Iterator[store.Put]) -> bool:
        """Commit removals in a part; return whether this succeeded."""
        message = store.CommitRows(
            table=layout.TABLE, part=part, checks=(), puts=tuple(puts)
        )
        outcome = await _commits.try_commit(self._kernel, message)
        if outcome.result is None:
            self._log_failure(message.puts, outcome.error)
        return outcome.result is not None

    def _log_failure(self, rows: Iterable[object], why: str) -> None:
        """Log that rows of ended jobs were not removed."""
        self._log.warning(
            'Rows of ended jobs not removed', rows=len(list(rows)), why=why
        )


def _batches_by_part(
    job_ids: Iterable[str],
) -> Iterator[tuple[str, list[str]]]:
    """Yield batches of jobs whose rows are in the same part."""
    ordered = sorted(job_ids, key=layout.part_for_job)
    for part, group in itertools.groupby(ordered, key=layout.part_for_job):
        members = list(group)
        for start in range(0, len(members), const.SWEEP_BATCH):
            yield part, members[start : start + const.SWEEP_BATCH]


def _removals(
    job_ids: Iterable[str], *, has_entry: bool
) -> Iterator[store.Put]:
    """Yield the removals of specifications and, optionally, entries."""
    for job_id in job_ids:
        yield store.Put(
            key=layout.SPEC_PREFIX + job_id,
            value=None,
            table=layout.SPEC_TABLE,
        )
        if has_entry:
            yield store.Put(key=layout.JOB_PREFIX + job_id, value=None)
            yield store.Put(key=layout.CANCEL_PREFIX + job_id, value=None)


def _record_removals(job_ids: Iterable[str]) -> Iterator[store.Put]:
    """Yield the removals of the rows that the owner wrote for jobs."""
    for job_id in job_ids:
        yield store.Put(key=layout.RECORD_PREFIX + job_id, value=None)
        yield store.Put(
            key=layout.PROGRESS_PREFIX + job_id,
            value=None,
            table=layout.OWNER_TABLE,
        )
