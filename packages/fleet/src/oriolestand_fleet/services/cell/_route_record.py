"""Record the last policies of routes for the next owner."""

from collections.abc import Iterator
import dataclasses

import oriolestand_core as core
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Change:
    """A write of the row of a route, or a removal without a policy."""

    put: store.Put
    route: str = ''
    stored: scheduling.StoredPolicy | None = None


class RouteRecord:
    """Maintain a row for each route whose accepted jobs need its last policy.

    The policy in the row of a job is that of its acceptance. Once the route
    has left the configuration and all daemons have restarted, only these rows
    tell where the job runs. They are removed with the last job of the route.

    Each commit is conditional on the versions of its rows, so that one that
    arrives late cannot replace a later policy.

    :param known: the last policies that this daemon has seen.
    :param row_bytes: the largest size of a row's value.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        known: scheduling.KnownRoutes,
        snapshot: jobs.Snapshot,
        row_bytes: int,
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._known = known
        self._row_bytes = row_bytes
        self._log = core.get_logger(const.DOMAIN)
        self._next_ms = 0
        self._is_busy = False
        self._versions: dict[str, int] = {}
        """Versions of all rows by key, also of malformed ones."""
        self._routes: dict[str, str] = {}
        """Names of the routes by the keys of their rows."""
        self._stored: dict[str, scheduling.StoredPolicy] = {}
        self._oversized: set[str] = set()
        self._kept_keys = frozenset(
            map(layout.route_key, snapshot.unreadable_routes)
        )
        """Rows of routes with jobs that only another version can read."""
        for row in snapshot.rows.values():
            if row.key.startswith(layout.ROUTE_PREFIX):
                self._apply_row(row)
        scheduler.restore_policies(self._stored)

    def policies(self) -> Iterator[scheduling.RoutePolicy]:
        """Yield the last policies of routes of which no later is stored."""
        return self._known.policies(
            {name: stored.version for name, stored in self._stored.items()}
        )

    def _apply_row(self, row: store.Row) -> None:
        """Apply a row in the store; a malformed one has no known policy."""
        self._forget(row.key)
        if row.value is None:
            return
        self._versions[row.key] = row.version
        try:
            route, stored = models.decode_route(row.value)
            if layout.route_key(route) != row.key:
                raise _rows.MalformedRowError(
                    'the row names another route', route=route
                )
        except _rows.MalformedRowError as exc:
            self._log.error(
                'Malformed policy of a route ignored',
                key=row.key,
                version=row.version,
                why=str(exc),
            )
            return
        self._routes[row.key] = route
        self._stored[route] = stored

    def _forget(self, key: str) -> None:
        """Forget what is known of a row."""
        self._versions.pop(key, None)
        route = self._routes.pop(key, None)
        if route is not None:
            del self._stored[route]

    async def update(self) -> None:
        """Write the rows that have changed and remove those without jobs."""
        now = self._kernel.clock.now()
        if now < self._next_ms or self._is_busy or self._term.is_over:
            return
        self._next_ms = now + const.ROUTES_INTERVAL_MS
        changes = [*self._writes(), *self._removals()]
        self._is_busy = True
        try:
            for batch in _batches(changes):
                await self._write(batch)
        finally:
            self._is_busy = False

    def _writes(self) -> Iterator[_Change]:
        """Yield the writes of policies that a later owner would miss."""
        missing = self._scheduler.policies_to_store(self._known, self._stored)
        for route, stored in missing.items():
            value = models.encode_route(route, stored)
            if len(value) > self._row_bytes:
                self._log_oversized(route, len(value))
                continue
            put = store.Put(
                key=layout.route_key(route),
                value=value,
                table=layout.OWNER_TABLE,
            )
            yield _Change(put=put, route=route, stored=stored)

    def _log_oversized(self, route: str, size: int) -> None:
        """Log once that the policy of a route does not fit in a row."""
        if route not in self._oversized:
            self._oversized.add(route)
            self._log.error(
                'Policy of a route is too large to be stored',
                key=layout.route_key(route),
                size=size,
            )

    def _removals(self) -> Iterator[_Change]:
        """Yield the removals of rows whose routes have no jobs left."""
        if not self._versions:
            return
        needed = set(map(layout.route_key, self._scheduler.loadable_routes))
        for key in self._versions.keys() - needed - self._kept_keys:
            put = store.Put(key=key, value=None, table=layout.OWNER_TABLE)
            yield _Change(put=put)

    async def _write(self, changes: list[_Change]) -> None:
        """Commit changes; the next update repeats what was not applied."""
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            [change.put for change in changes],
            [
                store.Check(
                    key=change.put.key,
                    version=self._versions.get(change.put.key, 0),
                    table=layout.OWNER_TABLE,
                )
                for change in changes
            ],
        )
        result = outcome.result
        if result is None:
            self._log.warning(
                'Policies of routes not written',
                rows=len(changes),
                why=outcome.error,
            )
        elif result.is_applied:
            for change in changes:
                self._apply_change(change, result.version)
        else:
            self._apply_current(result, changes)

    def _apply_change(self, change: _Change, version: int) -> None:
        """Apply a stored change of a row."""
        key = change.put.key
        self._forget(key)
        if change.stored is None:
            return
        self._versions[key] = version
        self._routes[key] = change.route
        self._stored[change.route] = change.stored

    def _apply_current(
        self, result: store.CommitResult, changes: list[_Change]
    ) -> None:
        """Apply the rows that have refused a commit.

        An earlier commit without a response may have been applied late. The
        term ends with the next renewal if there is another owner.
        """
        current = {row.key: row for row in result.current}
        owner = current.get(layout.OWNER_KEY)
        if owner is None or owner.version != self._term.owner_version:
            return
        for change in changes:
            key = change.put.key
            absent = store.Row(
                part=layout.CELL_PART, key=key, value=None, version=0
            )
            row = current.get(key, absent)
            if row.version != self._versions.get(key, 0):
                self._apply_row(row)


def _batches(changes: list[_Change]) -> Iterator[list[_Change]]:
    """Yield the changes in batches that the store accepts as one commit."""
    batch: list[_Change] = []
    size = 0
    for change in changes:
        value_bytes = len(change.put.value or b'')
        is_full = len(batch) >= const.ROUTE_BATCH
        if batch and (is_full or size + value_bytes > const.SAVE_BATCH_BYTES):
            yield batch
            batch = []
            size = 0
        batch.append(change)
        size += value_bytes
    if batch:
        yield batch
