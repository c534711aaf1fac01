"""Stand in for the row store."""

import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import store as contracts
from oriolestand_policy import scheduling

LATENCY_MS = 4


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Hold what goes wrong between one daemon and the store.

    ``is_down``: calls are refused. ``is_silent``: calls get no answer and
    have no effect. ``lost_commits``: so many commits are applied without an
    answer, after ``late_ms``.
    """

    is_down: bool = False
    is_silent: bool = False
    lost_commits: int = 0
    late_ms: int = 0


class RowStore:
    """Hold rows with versions and tell followers of changes."""

    def __init__(self, clock: core.ManualClock) -> None:
        self.clock = clock
        self.version = 0
        self.rows: dict[tuple[str, str], contracts.Row] = {}
        self.changes: list[tuple[str, contracts.Row]] = []
        self.config: contracts.FleetConfig | None = None
        self.config_version = 0
        self.workers: dict[str, scheduling.WorkerInfo] = {}
        self.worker_changes: list[tuple[int, str]] = []
        self.oldest = 0
        self.commits = 0
        self._followers: list[defer.Deferred[None]] = []

    def commit(self, msg: contracts.CommitRows) -> contracts.CommitResult:
        """Apply a commit if its checks hold."""
        current = []
        is_held = True
        for check in msg.checks:
            row = self.rows.get((msg.part, check.key))
            found = row.version if row is not None else 0
            is_held = is_held and found == check.version
            if row is not None:
                current.append(row)
        if not is_held:
            return contracts.CommitResult(
                is_applied=False,
                version=self.version,
                current=tuple(current),
            )
        self.commits += 1
        self.version += 1
        for put in msg.puts:
            row = contracts.Row(
                part=msg.part,
                key=put.key,
                value=put.value,
                version=self.version,
            )
            if put.value is None:
                self.rows.pop((msg.part, put.key), None)
            else:
                self.rows[(msg.part, put.key)] = row
            self.changes.append((msg.table, row))
        self._wake()
        return contracts.CommitResult(is_applied=True, version=self.version)

    def set_config(self, config: contracts.FleetConfig) -> None:
        """Put a configuration into the store."""
        self.version += 1
        self.config = config
        self.config_version = self.version
        self._wake()

    def list_worker(self, info: scheduling.WorkerInfo) -> None:
        """Register a worker or change its entry."""
        self.version += 1
        self.workers[info.id] = info
        self.worker_changes.append((self.version, info.id))
        self._wake()

    def unlist_worker(self, worker: str) -> None:
        """Remove the entry of a worker."""
        self.version += 1
        self.workers.pop(worker, None)
        self.worker_changes.append((self.version, worker))
        self._wake()

    def forget_history(self) -> None:
        """Drop the changes up to now."""
        self.oldest = self.version

    def _wake(self) -> None:
        """Answer the followers."""
        followers, self._followers = self._followers, []
        for fut in followers:
            if not fut.called:
                fut.callback(None)

    def changed(self, wait_ms: int) -> 'defer.Deferred[None]':
        """Return a Deferred that fires at a change or after a wait."""
        fut: defer.Deferred[None] = defer.Deferred()
        self._followers.append(fut)

        def expire() -> None:
            if not fut.called:
                self._followers.remove(fut)
                fut.callback(None)

        self.clock.call_later(wait_ms, expire)
        return fut


class StoreTask(core.Task):
    """Answer one daemon's questions to the store."""

    def __init__(self, kernel: core.Kernel, store: RowStore) -> None:
        super().__init__(kernel, contracts.SERVICE)
        self._store = store
        self.faults = StoreFaults()

    async def _travel(self) -> None:
        """Let time pass, or fail, as the faults say."""
        if self.faults.is_silent:
            await self.kernel.sleep(1_500)
            raise contracts.StoreError('no answer', core.Verdict.MAY_HAVE_RUN)
        await self.kernel.sleep(LATENCY_MS)
        if self.faults.is_down:
            raise contracts.StoreError('refused')

    def _ask(self, work: Any) -> 'defer.Deferred[Any]':
        """Run a coroutine."""
        return defer.ensureDeferred(work)

    @core.handles(contracts.CommitRows)
    def _on_commit(self, msg: contracts.CommitRows) -> Any:
        """Commit rows."""
        return self._ask(self._commit(msg))

    async def _commit(self, msg: contracts.CommitRows) -> Any:
        """Commit rows; the answer may be lost, the effect late."""
        await self._travel()
        faults = self.faults
        if faults.lost_commits > 0:
            faults.lost_commits -= 1
            self.kernel.clock.call_later(
                faults.late_ms, lambda: self._store.commit(msg)
            )
            await self.kernel.sleep(1_500)
            raise contracts.StoreError(
                'the answer was lost', core.Verdict.MAY_HAVE_RUN
            )
        return self._store.commit(msg)

    @core.handles(contracts.ReadRows)
    def _on_read(self, msg: contracts.ReadRows) -> Any:
        """Read rows."""
        return self._ask(self._read(msg))

    async def _read(self, msg: contracts.ReadRows) -> contracts.RowPage:
        """Read the rows of a range."""
        await self._travel()
        rows = [
            row
            for (part, key), row in sorted(self._store.rows.items())
            if part == msg.part
            and key >= msg.start
            and (not msg.end or key < msg.end)
        ]
        return contracts.RowPage(rows=tuple(rows), version=self._store.version)

    @core.handles(contracts.FollowRows)
    def _on_follow(self, msg: contracts.FollowRows) -> Any:
        """Wait for changes of rows."""
        return self._ask(self._follow(msg))

    async def _follow(self, msg: contracts.FollowRows) -> Any:
        """Return the changes after a version."""
        await self._travel()
        if msg.after < self._store.oldest:
            raise contracts.HistoryLostError('dropped')

        def fresh() -> tuple[contracts.Row, ...]:
            return tuple(
                row
                for table, row in self._store.changes
                if table == msg.table and row.version > msg.after
            )

        end = self.kernel.clock.now() + msg.wait_ms
        while not fresh() and self.kernel.clock.now() < end:
            await self._store.changed(end - self.kernel.clock.now())
        await self._travel()
        return contracts.RowPage(rows=fresh(), version=self._store.version)

    @core.handles(contracts.ReadConfig)
    def _on_read_config(self, msg: contracts.ReadConfig) -> Any:
        """Read the configuration."""
        return self._ask(self._read_config())

    async def _read_config(self) -> contracts.ConfigPage:
        """Return the configuration."""
        await self._travel()
        return contracts.ConfigPage(
            config=self._store.config, cursor=self._store.version
        )

    @core.handles(contracts.FollowConfig)
    def _on_follow_config(self, msg: contracts.FollowConfig) -> Any:
        """Wait for a change of the configuration."""
        return self._ask(self._follow_config(msg))

    async def _follow_config(
        self, msg: contracts.FollowConfig
    ) -> contracts.ConfigPage:
        """Return the configuration if it changed after a version."""
        await self._travel()
        end = self.kernel.clock.now() + msg.wait_ms
        store = self._store
        while (
            store.config_version <= msg.after and self.kernel.clock.now() < end
        ):
            await store.changed(end - self.kernel.clock.now())
        is_new = store.config_version > msg.after
        return contracts.ConfigPage(
            config=store.config if is_new else None, cursor=store.version
        )

    @core.handles(contracts.ReadWorkers)
    def _on_read_workers(self, msg: contracts.ReadWorkers) -> Any:
        """Read the workers."""
        return self._ask(self._read_workers())

    async def _read_workers(self) -> contracts.WorkersPage:
        """Return all workers."""
        await self._travel()
        return contracts.WorkersPage(
            workers=dict(self._store.workers), cursor=self._store.version
        )

    @core.handles(contracts.FollowWorkers)
    def _on_follow_workers(self, msg: contracts.FollowWorkers) -> Any:
        """Wait for changes of workers."""
        return self._ask(self._follow_workers(msg))

    async def _follow_workers(
        self, msg: contracts.FollowWorkers
    ) -> contracts.WorkersPage:
        """Return the workers that changed after a version."""
        await self._travel()
        store = self._store

        def fresh() -> dict[str, scheduling.WorkerInfo | None]:
            return {
                worker: store.workers.get(worker)
                for version, worker in store.worker_changes
                if version > msg.after
            }

        end = self.kernel.clock.now() + msg.wait_ms
        while not fresh() and self.kernel.clock.now() < end:
            await store.changed(end - self.kernel.clock.now())
        return contracts.WorkersPage(workers=fresh(), cursor=store.version)
