"""In-memory replica of the table that every daemon follows."""

from collections.abc import Iterable

import oriolestand_core as core
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.jobs import const
from oriolestand_fleet.services.jobs import models


class Replica:
    """A copy of the states of all jobs and of the rows of the cell.

    ``version`` is the version of the store up to which it is complete.
    """

    def __init__(self) -> None:
        self.entries: dict[str, models.Entry] = {}
        self.cell: dict[str, store.Row] = {}
        self.version = -1
        self._log = core.get_logger(const.DOMAIN)
        self._refused_ids: set[str] = set()
        self._unreadable_versions: dict[str, int] = {}

    def apply(self, row: store.Row) -> list[object]:
        """Apply a row; return the events to publish.

        A malformed row is logged and ignored: it must not keep the daemon
        from following the others.
        """
        try:
            events = self._apply(row)
        except _rows.MalformedRowError as exc:
            self._log_unreadable(row, exc)
            return []
        self._unreadable_versions.pop(row.key, None)
        return events

    def _log_unreadable(
        self, row: store.Row, exc: _rows.MalformedRowError
    ) -> None:
        """Log a malformed row, once for each version of it."""
        if self._unreadable_versions.get(row.key) != row.version:
            self._unreadable_versions[row.key] = row.version
            self._log.error(
                'Malformed row ignored',
                key=row.key,
                version=row.version,
                why=str(exc),
            )

    def _apply(self, row: store.Row) -> list[object]:
        """Apply a row; raise MalformedRowError if it is malformed."""
        kind, _, name = row.key.partition('/')
        prefix = kind + '/'
        if prefix == layout.JOB_PREFIX:
            return self._apply_job(name, row)
        if prefix == layout.CANCEL_PREFIX:
            return self._apply_cancel(name, row)
        if prefix == layout.RECORD_PREFIX:
            entry = self._entry(name)
            entry.set_record(row.value, row.version)
            self._drop_if_empty(entry)
            return []
        current = self.cell.get(row.key)
        if current is not None and current.version >= row.version:
            return []
        self.cell[row.key] = row
        return [messages.CellRowChanged(row=row)]

    def _apply_job(self, job: str, row: store.Row) -> list[object]:
        """Apply the row of a job."""
        entry = self._entry(job)
        if row.value is None:
            entry.clear_row()
            self._drop_if_empty(entry)
        elif not entry.is_stored:
            try:
                entry.set_row(row.value, row.version)
            finally:
                self._drop_if_empty(entry)
            if entry.refusal is not None:
                self._refused_ids.add(job)
            if entry.is_policy_unreadable:
                self._log.error('Malformed policy ignored', key=row.key)
        return []

    def _apply_cancel(self, job: str, row: store.Row) -> list[object]:
        """Apply the row of a cancellation."""
        entry = self._entry(job)
        if row.value is None:
            entry.cancel_version = 0
            self._drop_if_empty(entry)
            return []
        if entry.is_cancelled:
            return []
        entry.cancel_version = row.version
        return [messages.JobCancelled(id=job)]

    def _entry(self, job: str) -> models.Entry:
        """Return the entry of a job, creating it if necessary."""
        entry = self.entries.get(job)
        if entry is None:
            entry = self.entries[job] = models.Entry(id=job)
        return entry

    def _drop_if_empty(self, entry: models.Entry) -> None:
        """Remove the entry of a job that has no rows left."""
        if entry.is_empty:
            self.entries.pop(entry.id, None)

    def find(self, job: str, route: store.Route) -> models.Entry | None:
        """Return the entry of a stored job if it belongs to the route."""
        entry = self.entries.get(job)
        if entry is None or not entry.belongs_to(route):
            return None
        return entry

    def refusal_of(self, job: str) -> models.Refusal | None:
        """Return the refusal that the row of a job stands for, if any."""
        entry = self.entries.get(job)
        return entry.refusal if entry is not None else None

    def refusals(self) -> list[tuple[str, models.Refusal]]:
        """Return the ids that have no job, with their refusals."""
        found = [(job, self.refusal_of(job)) for job in self._refused_ids]
        current = [(job, refusal) for job, refusal in found if refusal]
        self._refused_ids = {job for job, _ in current}
        return current

    def state_of(self, entry: models.Entry) -> messages.JobState:
        """Return the state of a job that is reported to callers."""
        return entry.state_at(self.version)

    def count_waiting(self, route: store.Route) -> int:
        """Return the number of jobs of a route that have not started."""
        return sum(
            1
            for entry in self.entries.values()
            if entry.belongs_to(route)
            and self.state_of(entry) is messages.JobState.QUEUED
        )

    def replace(self, rows: Iterable[store.Row]) -> list[object]:
        """Apply all rows of the table; return the events to publish.

        Rows are never reverted to an older version. A job without a row in
        ``rows`` has been removed, as the row exists from acceptance on.
        """
        events: list[object] = []
        keys = set()
        for row in rows:
            keys.add(row.key)
            events += self.apply(row)
        for job in list(self.entries):
            if layout.JOB_PREFIX + job not in keys:
                self.entries.pop(job)
        return events
