"""Answer operators' requests about jobs."""

import dataclasses

from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import errors
from oriolestand_daemon.services.batch import models
import oriolestand_platform as platform
from oriolestand_policy import batch
from oriolestand_policy import grants
from oriolestand_policy import tables

MAX_CANCEL_TRIES = 10


class JobDesk:
    """Submit, show, list and cancel jobs by their rows."""

    def __init__(self, store: _store.TaskStore) -> None:
        self._store = store

    async def submit(
        self, document: bytes, known: tables.Tables
    ) -> tuple[contracts.SubmitReply, batch.TaskRow]:
        """Store a job unless it is stored; refuse another of the name."""
        row = models.parse_job(document, known)
        # Reading first keeps an outage from holding the request open.
        stored = await self._store.read(row.name)
        is_new = False
        if stored is None:
            outcome = await self._store.write(row, None, 0)
            is_new, stored = outcome.is_applied, outcome.stored
        if not models.is_same_job(stored.row, row):
            raise errors.JobExistsError(
                'another job has this name', name=row.name
            )
        reply = contracts.SubmitReply(
            name=row.name, is_new=is_new, state=stored.row.state.value
        )
        return reply, stored.row

    async def show(self, name: str) -> contracts.JobStatus:
        """Return one job."""
        return models.to_status((await self._read(name)).row)

    async def list(
        self, msg: contracts.ListJobs
    ) -> tuple[contracts.JobStatus, ...]:
        """Return jobs by name."""
        rows = await self._store.list(msg.prefix)
        found = [r for r in rows if msg.state in ('', r.state.value)]
        return tuple(models.to_status(row) for row in found[: msg.limit])

    async def cancel(self, name: str) -> contracts.JobStatus:
        """End a queued job, or ask the controller of a placed one to."""
        for _ in range(MAX_CANCEL_TRIES):
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
        raise platform.ConflictError('the job changes too often', name=name)

    async def _read(self, name: str) -> _store.Stored:
        """Return a job or raise UnknownJobError."""
        stored = await self._store.read(name)
        if stored is None:
            raise errors.UnknownJobError('no job has this name', name=name)
        return stored
