"""Stand-in for the row store."""

import bisect
from collections.abc import Sequence
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import store as contracts
from oriolestand_policy import scheduling

LATENCY_MS = 4
CLOCK_OFFSET_MS = 7_000_000
"""Time of the store's steady clock when that of the daemons shows 0."""

MAX_COMMIT_ENTRIES = 100
"""Checks and puts that the store accepts in one commit."""


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """The faults between one daemon and the store.

    ``is_down``: calls are refused. ``is_unresponsive``: calls get no answer
    and have no effect. ``unanswered_commits``: number of commits that get no
    answer and are applied after ``effect_delay_ms``. ``paused_tables``: the
    change feeds of these tables return nothing. ``change_delay_ms``: how long
    after a commit its changes reach the daemon.
    """

    is_down: bool = False
    is_unresponsive: bool = False
    unanswered_commits: int = 0
    effect_delay_ms: int = 0
    paused_tables: set[str] = dataclasses.field(default_factory=set)
    change_delay_ms: int = 0


class RowStore:
    """Versioned rows, configuration and workers, with change feeds.

    ``rows`` maps table, part and key to a row. ``config_bytes`` is the size
    that each version of the configuration counts as. ``sends_time`` is
    whether responses to commits hold the time of the store's clock.
    """

    def __init__(self, clock: core.ManualClock) -> None:
        self.clock = clock
        self.version = 0
        self.rows: dict[tuple[str, str, str], contracts.Row] = {}
        self.changes: list[tuple[str, contracts.Row]] = []
        self.config: contracts.FleetConfig | None = None
        self.config_versions: list[int] = []
        self.config_bytes = 0
        self.evacuations: list[contracts.Evacuation] = []
        self.sends_time = True
        self.workers: dict[str, scheduling.WorkerInfo] = {}
        self.worker_changes: list[tuple[int, str]] = []
        self.oldest_cursor = 0
        self.commits = 0
        self._commit_versions: list[int] = []
        self._commit_times_ms: list[int] = []
        self._followers: list[defer.Deferred[None]] = []

    def commit(self, msg: contracts.CommitRows) -> contracts.CommitResult:
        """Apply a commit if all its version checks hold."""
        current = []
        checks_hold = True
        for check in msg.checks:
            table = check.table or msg.table
            row = self.rows.get((table, msg.part, check.key))
            found = row.version if row is not None else 0
            checks_hold = checks_hold and found == check.version
            if row is not None:
                current.append(row)
        if not checks_hold:
            return contracts.CommitResult(
                is_applied=False,
                version=self.version,
                current=tuple(current),
                now_ms=self._steady_ms(),
            )
        if len(msg.checks) + len(msg.puts) > MAX_COMMIT_ENTRIES:
            raise contracts.StoreError('the commit has too many entries')
        self.commits += 1
        self.version += 1
        self._commit_versions.append(self.version)
        self._commit_times_ms.append(self.clock.now())
        for put in msg.puts:
            row = contracts.Row(
                part=msg.part,
                key=put.key,
                value=put.value,
                version=self.version,
            )
            table = put.table or msg.table
            if put.value is None:
                self.rows.pop((table, msg.part, put.key), None)
            else:
                self.rows[(table, msg.part, put.key)] = row
            self.changes.append((table, row))
        self._notify_followers()
        return contracts.CommitResult(
            is_applied=True, version=self.version, now_ms=self._steady_ms()
        )

    def _steady_ms(self) -> int:
        """Return the time of the store's own clock, 0 if it sends none."""
        return self.clock.now() + CLOCK_OFFSET_MS if self.sends_time else 0

    def version_at(self, time_ms: int) -> int:
        """Return the newest version without commits after a time."""
        index = bisect.bisect_right(self._commit_times_ms, time_ms)
        if index == len(self._commit_versions):
            return self.version
        return self._commit_versions[index] - 1

    def set_config(self, config: contracts.FleetConfig) -> None:
        """Store a configuration."""
        self.version += 1
        self.config = config
        self.config_versions.append(self.version)
        self._notify_followers()

    def evacuate(self, failure_domain: str) -> None:
        """Request the evacuation of a failure domain."""
        self._change_evacuation(failure_domain, is_requested=True)

    def take_back(self, failure_domain: str) -> None:
        """Remove the request to evacuate a failure domain."""
        self._change_evacuation(failure_domain, is_requested=False)

    def _change_evacuation(
        self, failure_domain: str, is_requested: bool
    ) -> None:
        """Write or remove the row of an evacuation."""
        self.version += 1
        self.evacuations.append(
            contracts.Evacuation(
                failure_domain=failure_domain,
                is_requested=is_requested,
                version=self.version,
            )
        )
        self._notify_followers()

    def requested_evacuations(self) -> tuple[contracts.Evacuation, ...]:
        """Return the evacuations that are requested at present."""
        newest = {e.failure_domain: e for e in self.evacuations}
        return tuple(e for e in newest.values() if e.is_requested)

    def register_worker(self, info: scheduling.WorkerInfo) -> None:
        """Add the entry of a worker or replace it."""
        self.version += 1
        self.workers[info.id] = info
        self.worker_changes.append((self.version, info.id))
        self._notify_followers()

    def unregister_worker(self, worker: str) -> None:
        """Remove the entry of a worker."""
        self.version += 1
        self.workers.pop(worker, None)
        self.worker_changes.append((self.version, worker))
        self._notify_followers()

    def truncate_history(self) -> None:
        """Drop the changes so far, so that followers behind must read anew."""
        self.oldest_cursor = self.version

    def _notify_followers(self) -> None:
        """Fire the Deferreds of all waiting followers."""
        followers, self._followers = self._followers, []
        for fut in followers:
            if not fut.called:
                fut.callback(None)

    def wait_for_change(self, wait_ms: int) -> 'defer.Deferred[None]':
        """Return a Deferred that fires at a change or after ``wait_ms``."""
        fut: defer.Deferred[None] = defer.Deferred()
        self._followers.append(fut)

        def expire() -> None:
            if not fut.called:
                self._followers.remove(fut)
                fut.callback(None)

        self.clock.call_later(wait_ms, expire)
        return fut


class StoreTask(core.Task):
    """Store service of one daemon, with faults between it and the store.

    ``received_bytes`` counts the keys and values of all rows returned.
    """

    def __init__(self, kernel: core.Kernel, store: RowStore) -> None:
        super().__init__(kernel, contracts.SERVICE)
        self._store = store
        self.faults = StoreFaults()
        self.received_bytes = 0

    def _count_rows(self, rows: Sequence[contracts.Row]) -> None:
        """Count the bytes of rows that are returned to the daemon."""
        self.received_bytes += sum(
            len(row.key) + len(row.value or b'') for row in rows
        )

    async def _simulate_network(self) -> None:
        """Wait for the network latency; raise StoreError if a fault is set."""
        if self.faults.is_unresponsive:
            await self.kernel.sleep(1_500)
            raise contracts.StoreError('no answer', core.Verdict.MAY_HAVE_RUN)
        await self.kernel.sleep(LATENCY_MS)
        if self.faults.is_down:
            raise contracts.StoreError('refused')

    def _to_deferred(self, work: Any) -> 'defer.Deferred[Any]':
        """Start a coroutine and return its Deferred."""
        return defer.ensureDeferred(work)

    @core.handles(contracts.CommitRows)
    def _on_commit(self, msg: contracts.CommitRows) -> Any:
        """Handle a commit."""
        return self._to_deferred(self._commit(msg))

    async def _commit(self, msg: contracts.CommitRows) -> Any:
        """Commit rows; with a fault the answer is lost and the commit late."""
        now_ms = self.kernel.clock.now()
        if msg.send_by_ms is not None and now_ms >= msg.send_by_ms:
            raise contracts.StoreError('it is too late to send the commit')
        await self._simulate_network()
        faults = self.faults
        if faults.unanswered_commits > 0:
            faults.unanswered_commits -= 1
            self.kernel.clock.call_later(
                faults.effect_delay_ms, lambda: self._store.commit(msg)
            )
            await self.kernel.sleep(1_500)
            raise contracts.StoreError(
                'the answer was lost', core.Verdict.MAY_HAVE_RUN
            )
        return self._store.commit(msg)

    @core.handles(contracts.ReadRows)
    def _on_read(self, msg: contracts.ReadRows) -> Any:
        """Handle a read of rows."""
        return self._to_deferred(self._read(msg))

    async def _read(self, msg: contracts.ReadRows) -> contracts.RowPage:
        """Return the rows of a key range."""
        await self._simulate_network()
        rows = [
            row
            for (table, part, key), row in sorted(self._store.rows.items())
            if table == msg.table
            and part == msg.part
            and key >= msg.start
            and (not msg.end or key < msg.end)
        ]
        self._count_rows(rows)
        return contracts.RowPage(rows=tuple(rows), version=self._store.version)

    @core.handles(contracts.FollowRows)
    def _on_follow(self, msg: contracts.FollowRows) -> Any:
        """Handle a wait for changes of rows."""
        return self._to_deferred(self._follow(msg))

    async def _follow(self, msg: contracts.FollowRows) -> Any:
        """Return the row changes after a version, once there are any."""
        await self._simulate_network()
        if msg.after < self._store.oldest_cursor:
            raise contracts.HistoryLostError('changes were dropped')

        def newest_version() -> int:
            delay_ms = self.faults.change_delay_ms
            return self._store.version_at(self.kernel.clock.now() - delay_ms)

        def new_changes() -> tuple[contracts.Row, ...]:
            return tuple(
                row
                for table, row in self._store.changes
                if table == msg.table
                and msg.after < row.version <= newest_version()
            )

        end = self.kernel.clock.now() + msg.wait_ms
        while not new_changes() and self.kernel.clock.now() < end:
            await self._store.wait_for_change(end - self.kernel.clock.now())
        await self._simulate_network()
        if msg.table in self.faults.paused_tables:
            await self.kernel.sleep(msg.wait_ms)
            return contracts.RowPage(rows=(), version=msg.after)
        rows = new_changes()
        self._count_rows(rows)
        return contracts.RowPage(rows=rows, version=newest_version())

    @core.handles(contracts.ReadConfig)
    def _on_read_config(self, msg: contracts.ReadConfig) -> Any:
        """Handle a read of the configuration."""
        return self._to_deferred(self._read_config())

    async def _read_config(self) -> contracts.ConfigPage:
        """Return the configuration."""
        await self._simulate_network()
        return dataclasses.replace(
            self._to_config_page(1),
            evacuations=self._store.requested_evacuations(),
            is_complete=True,
        )

    @core.handles(contracts.ReadEvacuations)
    def _on_read_evacuations(self, msg: contracts.ReadEvacuations) -> Any:
        """Handle a read of the evacuations."""
        return self._to_deferred(self._read_evacuations())

    async def _read_evacuations(self) -> contracts.ConfigPage:
        """Return the requested evacuations."""
        await self._simulate_network()
        return contracts.ConfigPage(
            config=None,
            cursor=self._store.version,
            evacuations=self._store.requested_evacuations(),
            is_complete=True,
        )

    def _to_config_page(self, version_count: int) -> contracts.ConfigPage:
        """Return the newest of some versions and count the bytes of all."""
        size_bytes = version_count * self._store.config_bytes
        self.received_bytes += size_bytes
        return contracts.ConfigPage(
            config=self._store.config if version_count else None,
            cursor=self._store.version,
            size_bytes=size_bytes,
        )

    @core.handles(contracts.FollowConfig)
    def _on_follow_config(self, msg: contracts.FollowConfig) -> Any:
        """Handle a wait for a change of the configuration."""
        return self._to_deferred(self._follow_config(msg))

    async def _follow_config(
        self, msg: contracts.FollowConfig
    ) -> contracts.ConfigPage:
        """Return the changes of the operator's rows after a cursor."""
        await self._simulate_network()
        if msg.after < self._store.oldest_cursor:
            raise contracts.HistoryLostError('changes were dropped')
        end = self.kernel.clock.now() + msg.wait_ms
        store = self._store

        def count_new() -> int:
            return sum(v > msg.after for v in store.config_versions)

        def new_evacuations() -> tuple[contracts.Evacuation, ...]:
            return tuple(e for e in store.evacuations if e.version > msg.after)

        while (
            not count_new()
            and not new_evacuations()
            and self.kernel.clock.now() < end
        ):
            await store.wait_for_change(end - self.kernel.clock.now())
        await self._simulate_network()
        return dataclasses.replace(
            self._to_config_page(count_new()), evacuations=new_evacuations()
        )

    @core.handles(contracts.ReadWorkers)
    def _on_read_workers(self, msg: contracts.ReadWorkers) -> Any:
        """Handle a read of the workers."""
        return self._to_deferred(self._read_workers())

    async def _read_workers(self) -> contracts.WorkersPage:
        """Return all workers."""
        await self._simulate_network()
        return contracts.WorkersPage(
            workers=dict(self._store.workers), cursor=self._store.version
        )

    @core.handles(contracts.FollowWorkers)
    def _on_follow_workers(self, msg: contracts.FollowWorkers) -> Any:
        """Handle a wait for changes of workers."""
        return self._to_deferred(self._follow_workers(msg))

    async def _follow_workers(
        self, msg: contracts.FollowWorkers
    ) -> contracts.WorkersPage:
        """Return the workers that changed after a version, once any has."""
        await self._simulate_network()
        store = self._store

        def new_changes() -> dict[str, scheduling.WorkerInfo | None]:
            return {
                worker: store.workers.get(worker)
                for version, worker in store.worker_changes
                if version > msg.after
            }

        end = self.kernel.clock.now() + msg.wait_ms
        while not new_changes() and self.kernel.clock.now() < end:
            await store.wait_for_change(end - self.kernel.clock.now())
        return contracts.WorkersPage(
            workers=new_changes(), cursor=store.version
        )
