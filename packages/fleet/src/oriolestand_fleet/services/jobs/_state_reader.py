"""Read the state of a job from the store."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.jobs import _replica
from oriolestand_fleet.services.jobs import const
from oriolestand_fleet.services.jobs import models


class StateReader:
    """Read the states of jobs that the replica lacks or has outdated.

    ``route_names`` are the names of the configured routes.
    """

    def __init__(self, kernel: core.Kernel, replica: _replica.Replica) -> None:
        self._kernel = kernel
        self._replica = replica
        self._log = core.get_logger(const.DOMAIN)
        self.route_names: frozenset[str] = frozenset()

    async def read(
        self, job: str, route: store.Route
    ) -> messages.JobState | None:
        """Return the state of a job, or None if it does not exist."""
        if self._replica.find(job, route) is None:
            entry = await self._find(job, route)
            if entry is None:
                return None
            records, cancellations = await self._read_all(
                self._read(layout.RECORD_PREFIX, job),
                self._read(layout.CANCEL_PREFIX, job),
            )
        else:
            # A slow daemon has no time for one read after the other.
            entry, records, cancellations = await self._read_all(
                self._find(job, route),
                self._read(layout.RECORD_PREFIX, job),
                self._read(layout.CANCEL_PREFIX, job),
            )
            if entry is None:
                return None
        for row in records.rows:
            try:
                entry.set_record(row.value, row.version)
            except ValueError as exc:
                raise messages.StateUnknownError(
                    'the record of the job is malformed', job=job
                ) from exc
        for row in cancellations.rows:
            if row.value is not None:
                entry.cancel_version = row.version
        return entry.state_at(min(records.version, cancellations.version))

    async def _read_all(self, *reads: Coroutine[Any, Any, Any]) -> list[Any]:
        """Return the results of reads at the same time."""
        futs = [defer.ensureDeferred(read) for read in reads]
        try:
            results: list[Any] = await defer.gatherResults(
                futs, consumeErrors=True
            )
        except defer.FirstError as exc:
            exc.subFailure.raiseException()
        return results

    async def is_stored(self, job: str, route: store.Route) -> bool:
        """Return whether a job exists."""
        return await self._find(job, route) is not None

    async def _read(self, prefix: str, job: str) -> store.RowPage:
        """Read one row of a job."""
        key = prefix + job
        part = layout.part_for_job(job)
        if prefix == layout.RECORD_PREFIX:
            part = layout.CELL_PART
        try:
            page: store.RowPage = await self._kernel.ask(
                store.SERVICE,
                store.ReadRows(
                    table=layout.TABLE, part=part, start=key, end=key + '\0'
                ),
            )
        except core.OriolestandError as exc:
            self._log.warning(
                'Job state could not be read', job=job, why=str(exc)
            )
            raise messages.StateUnknownError(
                'the job cannot be read from the store', job=job
            ) from exc
        if page.version < self._replica.version:
            raise messages.StateUnknownError(
                'the store returned an outdated answer', job=job
            )
        return page

    async def _find(self, job: str, route: store.Route) -> models.Entry | None:
        """Return the entry of a job with its first row, or None."""
        page = await self._read(layout.JOB_PREFIX, job)
        for row in page.rows:
            if row.value is None:
                continue
            entry = models.Entry(id=job)
            try:
                entry.set_row(row.value, row.version)
            except _rows.MalformedRowError as exc:
                raise messages.StateUnknownError(
                    'the row of the job is malformed', job=job
                ) from exc
            if entry.belongs_to(route):
                return entry
            if (
                entry.is_stored
                and entry.path is None
                and entry.route not in self.route_names
            ):
                # Its route may have been renamed to the requested one.
                raise messages.StateUnknownError(
                    'the path of the job is not known', job=job
                )
        self._log.info('Job does not exist', job=job, version=page.version)
        return None
