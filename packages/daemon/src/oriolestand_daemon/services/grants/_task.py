"""Keep this daemon's shares in the table service."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants as contracts
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.grants import const
from oriolestand_daemon.services.grants import models
import oriolestand_platform as platform
from oriolestand_policy import grants
from oriolestand_policy import tables


class GrantsTask(core.Task):
    """Own this daemon's view of its shard's row."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._me = grants.Holder(
            instance_id=cfg.instance_id, incarnation=kernel.incarnation
        )
        self._tables = tables.Tables(version=0)
        self._members: membership.MembershipChanged | None = None
        self._gone_since: dict[grants.Holder, core.Millis] = {}
        self._timer: Any = None
        self._is_syncing = False
        self._is_released = False

    def start(self) -> object:
        """Follow tables and members; sync at intervals."""
        self.kernel.subscribe(config.TablesChanged, self)
        self.kernel.subscribe(membership.MembershipChanged, self)
        self._tick()
        return None

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Move towards the capacity of the new tables."""
        self._tables = msg.tables
        self._sync_soon()

    @core.handles(membership.MembershipChanged)
    def _on_members(self, msg: membership.MembershipChanged) -> None:
        """Keep the members for the next sync."""
        self._members = msg

    @core.handles(contracts.ReleaseGrants)
    def _on_release(
        self, msg: contracts.ReleaseGrants
    ) -> 'defer.Deferred[None]':
        """Give all slots back."""
        self._is_released = True
        self._publish(grants.ShardRow())
        return defer.ensureDeferred(self._release())

    def _tick(self) -> None:
        """Sync now and schedule the next time."""
        if self.is_stopped:
            return
        self._sync_soon()
        self._timer = self.kernel.clock.call_later(
            const.SYNC_INTERVAL_MS, self._tick
        )

    def _sync_soon(self) -> None:
        """Start a sync unless one runs or the slots were given back."""
        if self._is_syncing or self._is_released or self._members is None:
            return
        self._is_syncing = True
        fut = defer.ensureDeferred(self._sync())
        fut.addErrback(self._on_failure)
        fut.addBoth(lambda _: setattr(self, '_is_syncing', False))

    def _on_failure(self, failure: Any) -> None:
        """Log why a sync failed; the slots held stay usable."""
        self._log.warning('Grants not synced', reason=str(failure.value))

    async def _sync(self) -> None:
        """Read the row, write the planned one, announce what is held."""
        row, version = await self._read()
        demand = await self._demand()
        planned = grants.plan(row, self._me, demand, self._reclaimable(row))
        if planned == row:
            self._publish(row)
            return
        # Slots that the planned row no longer gives must not be used from
        # before the write, whose answer may be lost.
        lowered = {
            address: min(slots, planned.slots_of(self._me).get(address, 0))
            for address, slots in row.slots_of(self._me).items()
        }
        self._publish_slots(lowered, row)
        if await self._write(planned, version):
            self._publish(planned)

    async def _read(self) -> tuple[grants.ShardRow, int]:
        """Return the shard's row and its version."""
        row = await self.kernel.ask(
            'platform',
            store.ReadRow(table=const.TABLE, key=self._cfg.failure_domain),
        )
        return models.parse_row(row), row.version if row else 0

    async def _write(self, row: grants.ShardRow, version: int) -> bool:
        """Write the row by compare-and-swap; return whether it took."""
        request_id = self.kernel.ids.request_id()
        result = await self.kernel.ask(
            'platform',
            store.Commit(
                transaction=platform.Transaction(
                    request_id=request_id,
                    checks=(
                        platform.Check(
                            table=const.TABLE,
                            key=self._cfg.failure_domain,
                            version=version,
                        ),
                    ),
                    puts=(
                        platform.Put(
                            table=const.TABLE,
                            key=self._cfg.failure_domain,
                            value=models.dump_row(row, request_id),
                        ),
                    ),
                )
            ),
        )
        return bool(result.applied)

    async def _demand(self) -> grants.Demand:
        """Return what this daemon should hold and what it uses."""
        in_use = await self.kernel.ask('dispatch', dispatch.GetSlotsInUse())
        capacity = {}
        horizon = {}
        for pool in self._tables.pools.values():
            for upstream in pool.upstreams:
                if upstream.failure_domain != self._cfg.failure_domain:
                    continue
                capacity[upstream.address] = pool.slots_per_upstream
                horizon[upstream.address] = (
                    self._tables.longest_timeout(pool.name)
                    + self._cfg.limits.abort_grace_ms
                )
        return grants.Demand(
            capacity=capacity,
            horizon_ms=horizon,
            in_use=in_use,
            entry_ids=self._entry_ids(),
        )

    def _entry_ids(self) -> list[str]:
        """Return the live entry instances of this failure domain."""
        assert self._members is not None
        ids = {
            entry.id
            for entry in self._members.instances
            if entry.role is platform.InstanceRole.ENTRY
            and entry.state is platform.InstanceState.LIVE
            and entry.failure_domain == self._cfg.failure_domain
        }
        return sorted(ids | {self._cfg.instance_id})

    def _reclaimable(self, row: grants.ShardRow) -> set[grants.Holder]:
        """Return holders proven gone whose requests must have ended."""
        now = self.kernel.clock.now()
        ready = set()
        for holder in row.holders():
            if not self._is_gone(holder):
                self._gone_since.pop(holder, None)
                continue
            since = self._gone_since.setdefault(holder, now)
            horizon = max(
                item.shares[holder].horizon_ms
                for item in row.upstreams.values()
                if holder in item.shares
            )
            if now - since >= horizon:
                ready.add(holder)
        return ready

    def _is_gone(self, holder: grants.Holder) -> bool:
        """Return whether there is proof that a holder is gone."""
        assert self._members is not None
        if holder.instance_id == self._cfg.instance_id:
            # This process listens at the address of its former start.
            return holder != self._me
        if holder.instance_id in self._members.gone_instances:
            return True
        return holder in self._members.replaced

    def _publish(self, row: grants.ShardRow) -> None:
        """Announce the slots that the row gives to this daemon."""
        self._publish_slots(row.slots_of(self._me), row)

    def _publish_slots(
        self, slots: dict[str, int], row: grants.ShardRow
    ) -> None:
        """Announce slots that may be used."""
        self.kernel.publish(
            contracts.GrantsChanged(
                slots=slots,
                horizon_ms={
                    address: item.shares[self._me].horizon_ms
                    for address, item in row.upstreams.items()
                    if self._me in item.shares
                },
            ),
            is_state=True,
        )

    async def _release(self) -> None:
        """Write the row without this daemon's shares."""
        for _ in range(10):
            row, version = await self._read()
            if self._me not in row.holders():
                return
            if await self._write(grants.release_all(row, self._me), version):
                return

    def stop(self) -> object:
        """Stop syncing."""
        if self._timer is not None:
            self._timer.cancel()
        return super().stop()
