"""Operations on jobs for operators."""

import dataclasses

from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import errors
from oriolestand_daemon.services.batch import models
import oriolestand_platform as platform
from oriolestand_policy import batch
from oriolestand_policy import grants
from oriolestand_policy import tables

MAX_CANCEL_ATTEMPTS = 10


class JobOperations:
    """Submits, reads, lists and cancels jobs in the store."""

    def __init__(self, store: _store.TaskStore) -> None:
        self._store = store

    async def submit(
        self, document: bytes, pool_tables: tables.Tables
    ) -> tuple[contracts.SubmitReply, batch.TaskRow]:
        """Store a job unless it is already stored.

        :raises InvalidJobError: if the document is invalid.
        :raises JobExistsError: if a different job has the name.
        """
        row = models.parse_job(document, pool_tables)
        # A read fails at once while the store is down; a write would keep
        # retrying and hold the request open.
        stored = await self._store.read(row.name)
        is_new = False
        if stored is None:
            outcome = await self._store.write(row, None, 0)
            is_new, stored = outcome.is_applied, outcome.stored
        if not models.is_same_job(stored.row, row):
            raise errors.JobExistsError(
                'a different job already has this name', name=row.name
            )
        reply = contracts.SubmitReply(
            name=row.name, is_new=is_new, state=stored.row.state.value
        )
        return reply, stored.row

    async def show(self, name: str) -> contracts.JobStatus:
        """Return the status of a job."""
        return models.to_status((await self._read(name)).row)

    async def list(
        self, msg: contracts.ListJobs
    ) -> tuple[contracts.JobStatus, ...]:
        """Return jobs by name prefix and state, up to a limit."""
        rows = await self._store.list(msg.prefix)
        found = [r for r in rows if msg.state in ('', r.state.value)]
        return tuple(models.to_status(row) for row in found[: msg.limit])

    async def cancel(self, name: str) -> contracts.JobStatus:
        """Cancel a queued job, or request it from the job's controller.

        :raises ConflictError: if the row was changed during each attempt.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            stored = await self._read(name)
            row = stored.row
            if row.state.is_final or row.is_cancel_requested:
                return models.to_status(row)
            new = dataclasses.replace(row, is_cancel_requested=True)
            instance = ''
            if row.state is batch.TaskState.QUEUED:
                new = dataclasses.replace(
                    new, state=batch.TaskState.CANCELLED, reason='cancelled'
                )
            elif row.controller:
                instance = grants.Holder.parse(row.controller).instance_id
            outcome = await self._store.write(
                new, row, stored.version, instance
            )
            if outcome.is_applied:
                return models.to_status(outcome.stored.row)
        raise platform.ConflictError(
            'the job changed concurrently on every attempt', name=name
        )

    async def _read(self, name: str) -> _store.StoredRow:
        """Return the row of a job.

        :raises UnknownJobError: if there is none.
        """
        stored = await self._store.read(name)
        if stored is None:
            raise errors.UnknownJobError('no job with this name', name=name)
        return stored
