"""Write job records to the store in batches during the term of an owner.

The record of a job has two rows. The progress row has all that the next owner
needs. The state row has what callers are told; every daemon receives it, so it
is written only when it changes.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import json
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _late_starts
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import errors
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling

INITIAL_STATE = {'outcome': None, 'started': False}
"""State of a job without a state row; the progress has the same fields."""


class RecordSaver:
    """Write changed job records, one commit at a time.

    Each commit is conditional on the versions of the owner row and of all
    progress rows in it, so that neither a former owner nor a commit that
    arrives late can overwrite newer records. Progress rows therefore stay
    until the job expires.

    Each change of a record has a revision, which is unique in the term. A
    record is read when its commit is sent, so that the commit has all changes
    up to the revision that was queued then.

    The store may refuse a commit because of one record. The records of a
    failed commit are written again after the others and in commits of half
    the size, so that a refused record soon is alone in its commit.

    The state row of an ended job is written once, as its version tells whether
    a cancellation came before the end. So the state row in the store must be
    known: a commit that changes it writes the progress row as well, which
    holds the same state.

    :param versions: versions of the progress rows by job id.
    :param progress: the stored progress by job id.
    :param row_bytes: the largest size of a row's value.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        versions: dict[str, int],
        progress: Mapping[str, scheduling.Progress],
        row_bytes: int,
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._versions = versions
        self._row_bytes = row_bytes
        self._written_states = {
            job: _encode_state(values) for job, values in progress.items()
        }
        self._log = core.get_logger(const.DOMAIN)
        self._last_revision = 0
        self._queued: dict[str, int] = {}
        self._in_flight: dict[str, int] = {}
        self._batch_limits: dict[str, int] = {}
        self._urgent: set[str] = set()
        self._failed: set[str] = set()
        self._is_busy = False
        self._waiters: list[tuple[dict[str, int], defer.Deferred[None]]] = []

    @property
    def backlog(self) -> int:
        """Return the number of records that are not yet written."""
        return len(self._queued) + len(self._in_flight)

    def queue_record(self, job: str) -> None:
        """Queue the record of a job to be written."""
        self.queue_records([job])

    def queue_records(self, jobs: Iterable[str]) -> None:
        """Queue the records of jobs to be written, in the same commits."""
        for job in jobs:
            self._last_revision += 1
            self._queued[job] = self._last_revision
        if not self._queued:
            return
        if not self._is_busy:
            self._is_busy = True
            defer.ensureDeferred(self._write_all())

    def when_saved(
        self, jobs: set[str], *, is_urgent: bool = False
    ) -> 'defer.Deferred[None]':
        """Return a Deferred that fires once the jobs' records are written.

        It waits for the records as of the call and not for later changes.
        Urgent records are written before the others.
        """
        fut: defer.Deferred[None] = defer.Deferred()
        unsaved = {
            job: self._queued.get(job) or self._in_flight[job]
            for job in jobs
            if self.is_unsaved(job)
        }
        if is_urgent:
            self._urgent.update(unsaved)
        if not unsaved:
            fut.callback(None)
        else:
            self._waiters.append((unsaved, fut))
        return fut

    def is_unsaved(self, job: str) -> bool:
        """Return whether the record of a job is not yet written."""
        return job in self._queued or job in self._in_flight

    def has_failed(self, job: str) -> bool:
        """Return whether the last commit of an unsaved record has failed."""
        return self.is_unsaved(job) and job in self._batch_limits

    async def _write_all(self) -> None:
        """Write batches until no changed record is left."""
        try:
            while self._queued and not self._term.is_over:
                await self._write_batch()
        except errors.OwnershipLostError:
            self._term.end()
        finally:
            self._is_busy = False

    async def _write_batch(self) -> None:
        """Commit the records that were queued first."""
        revisions: dict[str, int] = {}
        states: dict[str, bytes] = {}
        puts: list[store.Put] = []
        size = 0
        for job_id in self._next_jobs():
            record = list(self._record_puts(job_id))
            size += sum(len(put.value or b'') for put in record)
            if revisions and size > const.SAVE_BATCH_BYTES:
                break
            revisions[job_id] = self._queued.pop(job_id)
            puts += record
            states.update(
                (job_id, put.value or b'')
                for put in record
                if put.key.startswith(layout.RECORD_PREFIX)
            )
        self._in_flight = revisions
        checks = [
            store.Check(
                key=layout.PROGRESS_PREFIX + job_id,
                version=self._versions.get(job_id, 0),
                table=layout.OWNER_TABLE,
            )
            for job_id in revisions
        ]
        started_ms = self._kernel.clock.now()
        outcome = await _owner_commits.commit_as_owner(
            self._kernel, self._term, puts, checks
        )
        self._in_flight = {}
        result = outcome.result
        label = 'failed' if result is None else 'answered'
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Observe(
                name='record_commit',
                label=label,
                latency_ms=self._kernel.clock.now() - started_ms,
            ),
        )
        if result is not None and result.is_applied:
            for job_id in revisions:
                self._versions[job_id] = result.version
                if job_id not in self._queued:
                    self._urgent.discard(job_id)
            self._written_states.update(states)
            self._restore_batch_limits(revisions)
            self._fire_waiters(revisions)
            return
        for job_id, revision in revisions.items():
            # Behind the others. A change during the commit has queued the
            # record with a later revision.
            self._queued.setdefault(job_id, revision)
        if result is not None:
            self._refresh_versions(result, revisions)
            return
        self._lower_batch_limits(revisions)
        self._log.warning(
            'Records not written', records=len(revisions), why=outcome.error
        )
        await self._kernel.sleep(const.SAVE_RETRY_MS)

    def _next_jobs(self) -> list[str]:
        """Return the jobs that come first and may share a commit.

        Urgent ones come before the others, each in the order of the queue.
        """
        limit = const.SAVE_BATCH
        jobs: list[str] = []
        urgent = [job for job in self._queued if job in self._urgent]
        others = (job for job in self._queued if job not in self._urgent)
        for job_id in itertools.chain(urgent, others):
            limit = min(limit, self._batch_limits.get(job_id, limit))
            if len(jobs) >= limit:
                break
            jobs.append(job_id)
        return jobs

    def _lower_batch_limits(self, jobs: Collection[str]) -> None:
        """Halve the number of records in the next commit of these."""
        limit = max(1, len(jobs) // 2)
        self._batch_limits.update(dict.fromkeys(jobs, limit))
        self._failed.update(jobs)
        if len(jobs) == 1:
            # The store may refuse it each time, and the others wait for it.
            self._urgent.difference_update(jobs)

    def _restore_batch_limits(self, jobs: Iterable[str]) -> None:
        """Write records in full batches again after a success.

        The refused record may be any of those that failed and are still not
        written, so these keep their limits. If more records than those of one
        batch failed since the last success, the store was at fault.
        """
        if len(self._failed) > const.SAVE_BATCH:
            self._batch_limits.clear()
        self._failed.clear()
        for job_id in jobs:
            self._batch_limits.pop(job_id, None)

    def _record_puts(self, job_id: str) -> Iterator[store.Put]:
        """Yield the rows of a job that are to be written if it exists."""
        job = self._scheduler.jobs.get(job_id)
        if job is None:
            return
        if job.outcome is not None and not job.ended_wall_ms:
            job.ended_wall_ms = self._kernel.clock.wall()
        progress = scheduling.progress_of(job)
        _late_starts.to_stored(progress, self._term.store_clock)
        value = _encode(progress)
        # Without placements, they count as unknown.
        for name in ('placed', 'late'):
            if len(value) > self._row_bytes and name in progress:
                del progress[name]
                value = _encode(progress)
        if len(value) > self._row_bytes:
            _drop_long_checkpoints(progress, len(value) - self._row_bytes)
            value = _encode(progress)
        yield store.Put(
            key=layout.PROGRESS_PREFIX + job_id,
            value=value,
            table=layout.OWNER_TABLE,
        )
        encoded = _encode_state(progress)
        if encoded == _encode(INITIAL_STATE):
            # A stored state never returns to this one.
            return
        if self._written_states.get(job_id) != encoded:
            yield store.Put(key=layout.RECORD_PREFIX + job_id, value=encoded)

    def forget(self, job_id: str) -> None:
        """Drop what is kept for a job whose rows were removed."""
        self._versions.pop(job_id, None)
        self._written_states.pop(job_id, None)
        self._batch_limits.pop(job_id, None)

    def _refresh_versions(
        self, result: store.CommitResult, jobs: Iterable[str]
    ) -> None:
        """Update record versions after a conflict.

        An earlier commit that was not answered may have been applied late.
        Raises OwnershipLostError if the owner row has changed.
        """
        current = {row.key: row for row in result.current}
        owner = current.get(layout.OWNER_KEY)
        if owner is None or owner.version != self._term.owner_version:
            raise errors.OwnershipLostError('another daemon owns the cell')
        for job_id in jobs:
            row = current.get(layout.PROGRESS_PREFIX + job_id)
            self._versions[job_id] = 0 if row is None else row.version
            if row is not None and row.value is not None:
                self._written_states[job_id] = _encode_state(
                    models.decode_state(row.value)
                )

    def _fire_waiters(self, written: dict[str, int]) -> None:
        """Fire the Deferreds whose records are all written.

        :param written: the revisions of the records of a commit.
        """
        waiting = []
        saved = []
        for unsaved, fut in self._waiters:
            remaining = {
                job: revision
                for job, revision in unsaved.items()
                if written.get(job, 0) < revision
            }
            if remaining:
                waiting.append((remaining, fut))
            else:
                saved.append(fut)
        # The callbacks may add waiters.
        self._waiters = waiting
        for fut in saved:
            fut.callback(None)


def _encode_state(progress: Mapping[str, Any]) -> bytes:
    """Encode the state row for the progress of a job."""
    return _encode({k: progress.get(k, v) for k, v in INITIAL_STATE.items()})


def _drop_long_checkpoints(progress: dict[str, Any], excess: int) -> None:
    """Empty the longest checkpoints until a record is shorter by ``excess``.

    Workers may report checkpoints of any length. A task without one runs from
    its start under the next owner; without the record it could run again
    after it was done.
    """
    rows = progress['open']
    sizes = [len(_encode(row[-1])) for row in rows]
    for index in sorted(range(len(rows)), key=lambda i: -sizes[i]):
        if excess <= 0:
            return
        rows[index][-1] = ''
        excess -= sizes[index] - len('""')


def _encode(value: dict[str, Any] | str) -> bytes:
    """Encode a mapping or a text as compact JSON."""
    return json.dumps(value, separators=(',', ':')).encode()
