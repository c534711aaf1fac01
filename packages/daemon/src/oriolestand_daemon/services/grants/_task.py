"""Main task of the grants service."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants as contracts
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.grants import _store
from oriolestand_daemon.services.grants import const
import oriolestand_platform as platform
from oriolestand_policy import grants
from oriolestand_policy import tables

SlotsByAddress = Mapping[str, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class _HorizonRequest:
    """A pending request to extend a horizon.

    ``ended_syncs`` counts the syncs that ended since the request arrived.
    """

    msg: contracts.EnsureHorizon
    reply: 'defer.Deferred[bool]'
    ended_syncs: int = 0


class GrantsTask(core.Task):
    """Moves this daemon's shares of slots towards their targets.

    The shares are stored in the shard rows of the failure domain.
    """

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._store = _store.ShardStore(kernel, cfg.failure_domain)
        self._holder = grants.Holder(
            instance_id=cfg.instance_id, incarnation=kernel.incarnation
        )
        self._tables = tables.Tables(version=0)
        self._membership: membership.MembershipChanged | None = None
        self._entry_ids: list[str] = []
        self._ledgers: dict[str, grants.Ledger] = {}
        self._limits: dict[str, int] = {}
        self._gone_since: dict[grants.Holder, core.Millis] = {}
        self._task_horizons: dict[str, int] = {}
        self._horizon_requests: list[_HorizonRequest] = []
        self._timer: Any = None
        self._is_syncing = False
        self._needs_sync = False
        self._is_releasing = False

    def start(self) -> object:
        """Subscribe to events; the first membership event starts the syncs."""
        self.kernel.subscribe(config.TablesChanged, self)
        self.kernel.subscribe(membership.MembershipChanged, self)
        return None

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Apply new tables and request a sync to their capacity."""
        self._tables = msg.tables
        self._request_sync()

    @core.handles(membership.MembershipChanged)
    def _on_membership(self, msg: membership.MembershipChanged) -> None:
        """Request a sync if the live entry or gone instances changed."""
        former = self._membership
        self._membership = msg
        ids = self._live_entries(msg)
        is_same = former is not None and (
            former.gone_instances == msg.gone_instances
        )
        if ids == self._entry_ids and is_same:
            return
        self._entry_ids = ids
        self._request_sync()

    @core.handles(contracts.EnsureHorizon)
    def _on_ensure_horizon(self, msg: contracts.EnsureHorizon) -> Any:
        """Request the commit of a horizon that covers a task.

        Replies whether the committed horizon covers it; until then the task
        must not start.
        """
        if self._is_covered(msg):
            return True
        if self._is_releasing:
            return False
        former = self._task_horizons.get(msg.address, 0)
        self._task_horizons[msg.address] = max(former, msg.horizon_ms)
        request = _HorizonRequest(msg=msg, reply=defer.Deferred())
        self._horizon_requests.append(request)
        self._request_sync()
        return request.reply

    def _is_covered(self, msg: contracts.EnsureHorizon) -> bool:
        """Return whether the committed row has the requested horizon."""
        key = grants.shard_key(self._cfg.failure_domain, msg.address)
        ledger = self._ledgers.get(key)
        if ledger is None:
            return False
        return ledger.horizons().get(msg.address, 0) >= msg.horizon_ms

    def _answer_horizon_requests(self) -> None:
        """Reply to the horizon requests that a sync has decided.

        A request that arrived during a sync is decided by the next one.
        """
        waiting, self._horizon_requests = self._horizon_requests, []
        for request in waiting:
            request.ended_syncs += 1
            if self._is_covered(request.msg):
                request.reply.callback(True)
            elif request.ended_syncs > 1 or self._is_releasing:
                request.reply.callback(False)
            else:
                self._horizon_requests.append(request)

    @core.handles(contracts.ReleaseGrants)
    def _on_release_grants(
        self, msg: contracts.ReleaseGrants
    ) -> 'defer.Deferred[None]':
        """Release all slots that no request may still use."""
        self._is_releasing = True
        self._entry_ids = [
            i for i in self._entry_ids if i != self._instance_id
        ]
        return defer.ensureDeferred(self._release_shares())

    @property
    def _instance_id(self) -> str:
        """Return the id of this instance."""
        return self._cfg.instance_id

    def _live_entries(self, msg: membership.MembershipChanged) -> list[str]:
        """Return the ids of the live entry instances of this failure domain.

        The id of this instance is always included.
        """
        ids = {
            entry.id
            for entry in msg.instances
            if entry.role is platform.InstanceRole.ENTRY
            and entry.state is platform.InstanceState.LIVE
            and entry.failure_domain == self._cfg.failure_domain
        }
        return sorted(ids | {self._instance_id})

    def _request_sync(self) -> None:
        """Start a sync, now or after the current one."""
        if self._membership is None or self.is_stopped or self._is_releasing:
            return
        if self._is_syncing:
            self._needs_sync = True
            return
        self._is_syncing = True
        self._needs_sync = False
        if self._timer is not None:
            self._timer.cancel()
        fut = defer.ensureDeferred(self._sync_shards())
        fut.addErrback(self._on_failure)
        fut.addCallback(self._on_synced)

    def _on_failure(self, failure: Any) -> bool:
        """Log why a sync failed; the slots held so far stay usable."""
        self._log.warning(
            'Grants sync failed, keeping the current slots',
            reason=str(failure.value),
        )
        return False

    def _on_synced(self, is_settled: bool) -> None:
        """Answer horizon requests and schedule the next sync."""
        self._is_syncing = False
        self._answer_horizon_requests()
        if self.is_stopped or self._is_releasing:
            return
        delay = const.UNSETTLED_INTERVAL_MS
        if is_settled and not self._needs_sync and not self._horizon_requests:
            delay = const.SETTLED_INTERVAL_MS
        self._timer = self.kernel.clock.call_later(delay, self._request_sync)
        if self._needs_sync:
            self._request_sync()

    async def _sync_shards(self) -> bool:
        """Sync every shard; return whether all shares are at their targets."""
        capacity = self._capacity()
        by_key: dict[str, set[str]] = collections.defaultdict(set)
        for address in capacity:
            key = grants.shard_key(self._cfg.failure_domain, address)
            by_key[key].add(address)
        for key in self._ledgers:
            by_key.setdefault(key, set())
        is_settled = True
        for key, addresses in sorted(by_key.items()):
            if not await self._sync_shard(key, addresses, capacity):
                is_settled = False
        return is_settled

    def _capacity(self) -> dict[str, int]:
        """Return the slots of the upstreams of this failure domain."""
        return {
            upstream.address: pool.slots_per_upstream
            for pool in self._tables.pools.values()
            for upstream in pool.upstreams
            if upstream.failure_domain == self._cfg.failure_domain
        }

    def _horizons(self, addresses: Iterable[str]) -> dict[str, int]:
        """Return how long requests and tasks may use each upstream's slots."""
        wanted = set(addresses)
        grace = self._cfg.limits.abort_grace_ms
        return {
            upstream.address: max(
                self._tables.longest_timeout(pool.name) + grace,
                self._task_horizons.get(upstream.address, 0),
            )
            for pool in self._tables.pools.values()
            for upstream in pool.upstreams
            if upstream.address in wanted
        }

    async def _sync_shard(
        self, key: str, addresses: set[str], capacity: SlotsByAddress
    ) -> bool:
        """Sync one shard's row; return whether its shares are at target."""
        ledger = self._ledgers.setdefault(key, grants.Ledger(self._holder))
        row, version = await self._store.read(key)
        ledger.observe(row, version)
        planned = await self._plan(ledger, addresses, capacity)
        if planned == ledger.row and not ledger.has_pending:
            self._publish()
            return self._is_at_target(planned, addresses, capacity)
        write = ledger.begin_write(planned)
        self._publish()
        applied = await self._store.write(
            key, ledger.row, planned, ledger.version
        )
        if applied:
            ledger.apply_write(write)
        else:
            ledger.discard_write(write)
        self._publish()
        return applied and self._is_at_target(planned, addresses, capacity)

    async def _plan(
        self,
        ledger: grants.Ledger,
        addresses: set[str],
        capacity: SlotsByAddress,
    ) -> grants.ShardRow:
        """Return the next row, which keeps at least the slots in use.

        The limits are published before the slots in use are counted for the
        last time, so no request can take a slot that the row releases.
        """
        planned = ledger.row
        in_use = await self._slots_in_use()
        for _ in range(const.MAX_PLAN_ROUNDS):
            demand = grants.Demand(
                capacity={a: capacity[a] for a in addresses},
                horizon_ms=self._horizons(addresses),
                in_use=in_use,
                entry_ids=self._entry_ids,
                address=self._peer_address(),
            )
            gone = self._reclaimable_holders(ledger.row)
            planned = grants.plan(ledger.row, self._holder, demand, gone)
            slots = planned.slots_of(self._holder)
            # The limits to publish come from a plan without slots in use,
            # as slots in use above the goal must not be reused once free.
            idle = dataclasses.replace(demand, in_use={})
            goal = grants.plan(ledger.row, self._holder, idle, gone)
            goal_slots = goal.slots_of(self._holder)
            for address in {*ledger.row.upstreams, *addresses}:
                self._limits[address] = goal_slots.get(address, 0)
            self._publish()
            in_use = await self._slots_in_use()
            if all(
                in_use.get(address, 0) <= slots.get(address, 0)
                for address in ledger.usable_slots()
            ):
                return planned
        return ledger.row

    async def _slots_in_use(self) -> dict[str, int]:
        """Return the slots in use at the dispatch service, by upstream."""
        in_use: dict[str, int] = await self.kernel.ask(
            'dispatch', dispatch.GetSlotsInUse()
        )
        return in_use

    def _is_at_target(
        self,
        row: grants.ShardRow,
        addresses: set[str],
        capacity: SlotsByAddress,
    ) -> bool:
        """Return whether this daemon's shares are at their targets.

        They are not while a gone instance still has shares in the row.
        """
        slots = row.slots_of(self._holder)
        holders_are_live = all(
            not self._is_gone(holder, row) for holder in row.holders()
        )
        return holders_are_live and all(
            slots.get(address, 0)
            == grants.target_slots(
                address, capacity[address], self._entry_ids, self._instance_id
            )
            for address in addresses
        )

    def _peer_address(self) -> str:
        """Return the address of this daemon's peer listener, or ''.

        It is fixed in the settings, so any other holder with this address
        must be gone, such as a former incarnation of this daemon.
        """
        listener = self._cfg.peers
        return f'{listener.host}:{listener.port}' if listener.port else ''

    def _reclaimable_holders(self, row: grants.ShardRow) -> set[grants.Holder]:
        """Return the gone holders whose requests and tasks must have ended."""
        now = self.kernel.clock.now()
        ready = set()
        for holder in row.holders():
            if not self._is_gone(holder, row):
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

    def _is_gone(self, holder: grants.Holder, row: grants.ShardRow) -> bool:
        """Return whether a holder is known to be gone."""
        if holder == self._holder:
            return False
        assert self._membership is not None
        if holder.instance_id in self._membership.gone_instances:
            return True
        own_address = self._peer_address()
        return bool(own_address) and any(
            item.shares[holder].address == own_address
            for item in row.upstreams.values()
            if holder in item.shares
        )

    def _publish(self) -> None:
        """Publish the slots that this daemon may use now."""
        slots: dict[str, int] = {}
        horizons: dict[str, int] = {}
        for ledger in self._ledgers.values():
            horizons.update(ledger.horizons())
            for address, count in ledger.usable_slots().items():
                slots[address] = min(count, self._limits.get(address, count))
        self.kernel.publish(
            contracts.GrantsChanged(slots=slots, horizon_ms=horizons),
            is_state=True,
        )

    async def _release_shares(self) -> None:
        """Remove this daemon's unused shares from the shard rows."""
        addresses = set(self._capacity())
        for key, ledger in sorted(self._ledgers.items()):
            shard_addresses = {
                a for a in addresses if a in ledger.row.upstreams
            }
            for _ in range(const.RELEASE_ATTEMPTS):
                if not ledger.row.slots_of(self._holder):
                    break
                capacity = {a: self._capacity()[a] for a in shard_addresses}
                if await self._sync_shard(key, shard_addresses, capacity):
                    break

    def stop(self) -> object:
        """Stop the sync timer."""
        if self._timer is not None:
            self._timer.cancel()
        return super().stop()
