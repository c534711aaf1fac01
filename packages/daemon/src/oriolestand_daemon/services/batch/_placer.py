"""Placement of queued tasks on workers with free slots."""

from collections.abc import Callable
import dataclasses
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import const
import oriolestand_platform as platform
from oriolestand_policy import batch
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Allocation:
    """Worker resources that a placed task uses.

    ``has_slots`` tells whether this daemon has reserved the slots.
    """

    key: str
    pool: str
    address: str
    team: str
    demand: batch.Demand
    has_slots: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Whether workers of this failure domain may run a class of tasks.

    ``unplaceable_reason`` is set when no worker of the pool can, in any
    domain.
    """

    may_run_here: bool
    unplaceable_reason: str = ''


class Placer:
    """Owns the task queue, the worker index and the slot reservations.

    :param failure_domain: tasks are placed only on workers of this domain.
    """

    def __init__(
        self, kernel: core.Kernel, rows: _store.TaskStore, failure_domain: str
    ) -> None:
        self._kernel = kernel
        self._store = rows
        self._failure_domain = failure_domain
        self._log = core.get_logger(const.DOMAIN)
        self._tables = tables.Tables(version=0)
        self._indexes: dict[str, batch.WorkerIndex] = {}
        self._kinds: dict[str, dict[str, batch.WorkerSpec]] = {}
        self._allocations: dict[str, Allocation] = {}
        self._domains: dict[str, str] = {}
        self._pools_with_tasks: set[str] = set()
        self._next_spec_read_at: dict[str, core.Millis] = {}
        self.queue = batch.TaskQueue()

    @property
    def allocations(self) -> dict[str, Allocation]:
        """Return the allocations by task name."""
        return self._allocations

    def set_tables(self, new_tables: tables.Tables) -> None:
        """Apply the pools, their workers and the team weights."""
        self._tables = new_tables
        for pool in new_tables.pools.values():
            self._indexes.setdefault(pool.name, batch.WorkerIndex())
            self._kinds.setdefault(pool.name, {})
            for up in pool.upstreams:
                self._domains[up.address] = up.failure_domain
            for team, weight in pool.team_weights:
                self.queue.set_team(team, weight)

    async def pools(self) -> dict[str, bool]:
        """Return for each pool whether it has free slots here.

        Pools without free slots are included, because urgent tasks are read
        for all pools: less urgent tasks may be evicted for them. Empty while
        the queue is full.
        """
        if len(self.queue) >= const.MAX_BACKLOG:
            return {}
        status = await self._kernel.ask(
            'dispatch', dispatch.GetDispatchStatus()
        )
        return {
            name: status[name]['free'] > 0
            for name in sorted(self._indexes)
            if name in status
        }

    async def refresh_specs(self, ask: Callable[[str], Any]) -> None:
        """Read the specs of this domain's workers and publish them.

        :param ask: returns a worker's answer to a status request.
        """
        now = self._kernel.clock.now()
        for pool in self._tables.pools.values():
            if pool.name not in self._pools_with_tasks:
                # The upstreams of a pool without tasks may not be workers.
                continue
            local_addresses = [
                up.address
                for up in pool.upstreams
                if up.failure_domain == self._failure_domain
            ]
            kinds = self._kinds[pool.name]
            has_new_specs = False
            for address in local_addresses:
                if self._next_spec_read_at.get(address, 0) > now:
                    continue
                delay = const.SPEC_RETRY_MS
                try:
                    reply: platform.WorkerReply = await ask(address)
                    spec = batch.WorkerSpec(
                        address=address,
                        slots=min(pool.slots_per_upstream, reply.slots),
                        accelerators=reply.accelerators,
                        memory_mb=reply.memory_mb,
                    )
                    self._indexes[pool.name].set_worker(spec)
                    kinds[address] = spec
                    delay = const.SPEC_INTERVAL_MS
                    has_new_specs = True
                except core.OriolestandError as exc:
                    self._log.info('Worker does not answer', reason=str(exc))
                self._next_spec_read_at[address] = core.Millis(now + delay)
            if has_new_specs and all(
                address in kinds for address in local_addresses
            ):
                await self._publish(
                    pool.name, [kinds[a] for a in local_addresses]
                )

    async def _publish(self, pool: str, specs: list[batch.WorkerSpec]) -> None:
        """Store this domain's distinct worker specs if they changed."""
        key = f'{pool}/{self._failure_domain}'
        kinds = sorted({(s.slots, s.accelerators, s.memory_mb) for s in specs})
        value = {'workers': len(specs), 'kinds': [list(k) for k in kinds]}
        row = await self._kernel.ask(
            'platform', store.ReadRow(table=const.CAPACITY, key=key)
        )
        if row is None or row.value != value:
            await self._store.put(const.CAPACITY, key, value)

    async def assess(self, name: str, demand: batch.Demand) -> Verdict:
        """Return whether workers of a pool may run tasks with a demand."""
        self._pools_with_tasks.add(name)
        pool = self._tables.pools.get(name)
        if pool is None or not pool.upstreams:
            return Verdict(may_run_here=False)
        kinds = self._kinds[name].values()
        if not batch.unplaceable_reason(demand, kinds, name):
            return Verdict(may_run_here=True)
        expected: dict[str, int] = {}
        for up in pool.upstreams:
            domain = up.failure_domain
            expected[domain] = expected.get(domain, 0) + 1
        specs = []
        rows = await self._store.scan(const.CAPACITY, f'{name}/')
        for row in rows:
            domain = row.key.partition('/')[2]
            if expected.get(domain) == row.value['workers']:
                del expected[domain]
            for slots, accelerators, memory_mb in row.value['kinds']:
                specs.append(
                    batch.WorkerSpec(
                        address=row.key,
                        slots=slots,
                        accelerators=accelerators,
                        memory_mb=memory_mb,
                    )
                )
        reason = ''
        if not expected:
            # All domains have published the specs of all their workers.
            reason = batch.unplaceable_reason(demand, specs, name)
        return Verdict(may_run_here=False, unplaceable_reason=reason)

    async def place(self) -> tuple[batch.QueuedTask, str] | None:
        """Reserve slots for the next queued task that can get them.

        Returns the task's queue entry and its worker's address, or None.
        """
        refused: set[tuple[str, str, int]] = set()
        while True:
            found = self.queue.take(lambda e: self._choose_worker(e, refused))
            if found is None:
                return None
            entry, candidate = found
            key = f'{entry.name}@{self._kernel.ids.request_id()[:8]}'
            address = await self._reserve_worker(entry, key, candidate)
            if address and not await self._ensure_grant_covers(
                address, entry.lease_ms
            ):
                self._unreserve(key)
                address = ''
            if not address:
                refused.add((entry.pool, entry.team, entry.demand.slots))
                self.queue.release_slots(entry.team, entry.demand.slots)
                self.queue.put(entry)
                continue
            self._indexes[entry.pool].take(address, entry.demand)
            self._allocations[entry.name] = Allocation(
                key=key,
                pool=entry.pool,
                address=address,
                team=entry.team,
                demand=entry.demand,
                has_slots=True,
            )
            return entry, address

    async def _ensure_grant_covers(self, address: str, lease_ms: int) -> bool:
        """Extend the grant of the slots beyond a task's lease if possible."""
        covered: bool = await self._kernel.ask(
            'grants',
            grants.EnsureHorizon(
                address=address,
                horizon_ms=lease_ms + const.TASK_HORIZON_MS,
            ),
        )
        return covered

    def _choose_worker(
        self, entry: batch.QueuedTask, refused: set[tuple[str, str, int]]
    ) -> str | None:
        """Return a worker with the resources other than slots a task needs."""
        index = self._indexes.get(entry.pool)
        kind = (entry.pool, entry.team, entry.demand.slots)
        if index is None or kind in refused:
            return None
        now = self._kernel.clock.now()
        return index.choose(entry.demand, now, entry.avoid)

    async def _reserve_worker(
        self, entry: batch.QueuedTask, key: str, candidate: str
    ) -> str:
        """Reserve slots on a suitable worker; return its address or ''.

        The dispatcher chooses first, because it knows the load. Its choice may
        lack memory or accelerators, or may just have failed the task; then the
        candidate is tried instead.
        """
        address = await self._reserve(
            key, entry.pool, entry.team, entry.demand, entry.priority
        )
        if not address:
            return ''
        now = self._kernel.clock.now()
        fits = self._indexes[entry.pool].accepts(address, entry.demand, now)
        if fits and (address != entry.avoid or address == candidate):
            return address
        self._unreserve(key)
        return await self._reserve(
            key,
            entry.pool,
            entry.team,
            entry.demand,
            entry.priority,
            candidate,
        )

    async def _reserve(
        self,
        key: str,
        pool: str,
        team: str,
        demand: batch.Demand,
        priority: int,
        address: str = '',
    ) -> str:
        """Reserve slots on a worker, '' for any; return its address or ''."""
        reservation = await self._kernel.ask(
            'dispatch',
            dispatch.ReserveSlots(
                key=key,
                pool=pool,
                slots=demand.slots,
                team=team,
                priority=priority,
                address=address,
            ),
        )
        return '' if reservation is None else str(reservation.address)

    async def adoption_delay_ms(self, row: batch.TaskRow) -> int:
        """Return how long to leave an orphan to better placed daemons."""
        if self._domains.get(row.worker) != self._failure_domain:
            return const.FOREIGN_ADOPT_MS
        status = await self._kernel.ask(
            'dispatch', dispatch.GetDispatchStatus()
        )
        up = status.get(row.pool, {'upstreams': {}})['upstreams'].get(
            row.worker
        )
        if up is not None and up['limit'] - up['in_use'] >= row.demand.slots:
            return 0
        return const.LOCAL_ADOPT_MS

    async def adopt(self, row: batch.TaskRow) -> bool:
        """Track an adopted task; return whether its slots were reserved."""
        former = self._allocations.get(row.name)
        allocation = Allocation(
            key=f'{row.name}@{self._kernel.ids.request_id()[:8]}',
            pool=row.pool,
            address=row.worker,
            team=row.team,
            demand=row.demand,
            has_slots=False,
        )
        if former is None:
            self._allocations[row.name] = allocation
            self.queue.take_slots(row.team, row.demand.slots)
            if row.pool in self._indexes:
                self._indexes[row.pool].take(row.worker, row.demand)
        address = await self._reserve(
            allocation.key,
            row.pool,
            row.team,
            row.demand,
            row.priority,
            row.worker,
        )
        if not address:
            return False
        if not await self._ensure_grant_covers(address, row.lease_ms):
            self._unreserve(allocation.key)
            return False
        if row.name not in self._allocations:
            # The task ended during the reservation.
            self._unreserve(allocation.key)
            return True
        self._allocations[row.name] = dataclasses.replace(
            allocation, has_slots=True
        )
        return True

    def release(self, name: str) -> None:
        """Release the resources of a task; do nothing if it has none."""
        allocation = self._allocations.pop(name, None)
        if allocation is None:
            return
        self.queue.release_slots(allocation.team, allocation.demand.slots)
        if allocation.pool in self._indexes:
            self._indexes[allocation.pool].release(
                allocation.address, allocation.demand
            )
        if allocation.has_slots:
            self._unreserve(allocation.key)

    def hand_over(self, name: str) -> None:
        """Stop tracking a task that keeps running without a controller.

        Its slots stay reserved, because the task still uses them after this
        daemon leaves.
        """
        self._allocations.pop(name, None)

    def _unreserve(self, key: str) -> None:
        """Release reserved slots at the dispatcher."""
        self._kernel.post('dispatch', dispatch.ReleaseReservation(key=key))

    def pause(self, address: str) -> None:
        """Place no tasks for a while on a worker that does not answer."""
        now = self._kernel.clock.now()
        for index in self._indexes.values():
            index.record_refusal(address, now)

    def observe(self, row: batch.TaskRow, status: batch.RunStatus) -> None:
        """Record how a run ended in the health state of its worker."""
        index = self._indexes.get(row.pool)
        if index is None:
            return
        now = self._kernel.clock.now()
        if status is batch.RunStatus.REFUSED:
            index.record_refusal(row.worker, now)
        elif status is batch.RunStatus.FAILED:
            index.record_result(row.worker, row.name, True, now)
        elif status is batch.RunStatus.FINISHED:
            index.record_result(row.worker, row.name, False, now)
