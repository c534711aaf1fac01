"""Write the records of jobs, in groups, while the cell is owned."""

from collections.abc import Iterator
import json

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import errors
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class Saver:
    """Own the versions of records and the commit in progress.

    Each commit names the version of the owner's row and of every record in
    it, so that neither a deposed owner nor a late repeat can undo anything.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        versions: dict[str, int],
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._versions = versions
        self._log = core.get_logger(const.DOMAIN)
        self._dirty: dict[str, None] = {}
        self._in_flight: set[str] = set()
        self._is_busy = False
        self._waiting: list[tuple[set[str], defer.Deferred[None]]] = []

    @property
    def backlog(self) -> int:
        """Return how many records wait to be written."""
        return len(self._dirty) + len(self._in_flight)

    def mark(self, job: str) -> None:
        """Note that the record of a job has changed."""
        self._dirty[job] = None
        if not self._is_busy:
            self._is_busy = True
            defer.ensureDeferred(self._run())

    def when_saved(self, jobs: set[str]) -> 'defer.Deferred[None]':
        """Return a Deferred that fires once records are written."""
        fut: defer.Deferred[None] = defer.Deferred()
        open_jobs = {job for job in jobs if self._is_open(job)}
        if not open_jobs:
            fut.callback(None)
        else:
            self._waiting.append((open_jobs, fut))
        return fut

    def _is_open(self, job: str) -> bool:
        """Return whether a record waits to be written."""
        return job in self._dirty or job in self._in_flight

    async def _run(self) -> None:
        """Write until nothing is left; only one commit at a time."""
        try:
            while self._dirty and not self._term.is_over:
                await self._write_batch()
        except errors.DeposedError:
            self._term.is_over = True
        finally:
            self._is_busy = False

    async def _write_batch(self) -> None:
        """Write the oldest changed records."""
        batch = list(self._dirty)[: const.SAVE_BATCH]
        puts = [put for job in batch for put in self._take(job)]
        self._in_flight = set(batch)
        checks = [
            store.Check(
                key=layout.RECORD_PREFIX + job_id,
                version=self._versions.get(job_id, 0),
            )
            for job_id in batch
        ]
        began = self._kernel.clock.now()
        attempt = await _owner_commits.commit_as_owner(
            self._kernel, self._term, puts, checks
        )
        self._in_flight = set()
        result = attempt.result
        label = 'failed' if result is None else 'answered'
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Observe(
                name='record_commit',
                label=label,
                latency_ms=self._kernel.clock.now() - began,
            ),
        )
        if result is not None and result.is_applied:
            for job_id in batch:
                self._versions[job_id] = result.version
            self._note_saved()
            return
        for job_id in batch:
            self._dirty[job_id] = None
        if result is not None:
            self._learn_versions(result, batch)
            return
        self._log.warning(
            'Records not written', records=len(batch), why=attempt.why
        )
        await self._kernel.sleep(const.SAVE_RETRY_MS)

    def _take(self, job_id: str) -> Iterator[store.Put]:
        """Yield the record of a job, which is no longer dirty then."""
        del self._dirty[job_id]
        job = self._scheduler.jobs.get(job_id)
        if job is None:
            return
        if job.outcome is not None and not job.ended_wall_ms:
            job.ended_wall_ms = self._kernel.clock.wall()
        progress = scheduling.progress_of(job)
        value = json.dumps(progress, separators=(',', ':')).encode()
        yield store.Put(key=layout.RECORD_PREFIX + job_id, value=value)

    def _learn_versions(
        self, result: store.CommitResult, batch: list[str]
    ) -> None:
        """Take over versions, as an earlier commit was applied late."""
        current = {row.key: row for row in result.current}
        owner = current.get(layout.OWNER_KEY)
        if owner is None or owner.version != self._term.owner_version:
            raise errors.DeposedError('another daemon owns the cell')
        for job_id in batch:
            row = current.get(layout.RECORD_PREFIX + job_id)
            self._versions[job_id] = 0 if row is None else row.version

    def _note_saved(self) -> None:
        """Fire the Deferreds whose records are all written."""
        still = []
        for open_jobs, fut in self._waiting:
            left = {job for job in open_jobs if self._is_open(job)}
            if left:
                still.append((left, fut))
            else:
                fut.callback(None)
        self._waiting = still
