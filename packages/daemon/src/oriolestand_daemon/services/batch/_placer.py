"""Placement of queued tasks on workers with free slots."""

import dataclasses

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants
from oriolestand_daemon.services.batch import _pool_workers
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import _worker_specs
from oriolestand_daemon.services.batch import const
from oriolestand_policy import batch
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Allocation:
    """Worker resources of a placed or adopted task.

    ``key`` identifies the reservation at the dispatcher. ``has_slots`` is
    False for an adopted task until its slots are reserved there.
    """

    key: str
    pool: str
    address: str
    team: str
    demand: batch.Demand
    has_slots: bool


class Placer:
    """Places queued tasks on workers and tracks their resources.

    :param failure_domain: tasks are placed only on workers of this domain.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        task_store: _store.TaskStore,
        failure_domain: str,
    ) -> None:
        self._kernel = kernel
        self._failure_domain = failure_domain
        self._indexes: dict[str, batch.WorkerIndex] = {}
        self._allocations: dict[str, Allocation] = {}
        self._domain_by_address: dict[str, str] = {}
        self._listed: dict[str, frozenset[str]] = {}
        self._departed: frozenset[str] = frozenset()
        self.queue = batch.TaskQueue()
        self.specs = _worker_specs.WorkerSpecs(
            kernel, task_store, failure_domain, self._indexes
        )

    @property
    def allocations(self) -> dict[str, Allocation]:
        """Return the allocations by task name."""
        return self._allocations

    def set_tables(self, new_tables: tables.Tables) -> None:
        """Apply the pools, their workers and the team weights."""
        self.specs.set_tables(new_tables)
        for pool in new_tables.pools.values():
            self._indexes.setdefault(pool.name, batch.WorkerIndex())
            for up in pool.upstreams:
                self._domain_by_address[up.address] = up.failure_domain
            self._listed[pool.name] = frozenset(
                up.address for up in pool.upstreams
            )
            for team, weight in pool.team_weights:
                self.queue.set_team(team, weight)
        self._exclude_workers()

    def set_departed(self, addresses: frozenset[str]) -> None:
        """Set the workers that are gone or leave and get no more tasks."""
        self._departed = addresses
        self._exclude_workers()

    def _exclude_workers(self) -> None:
        """Exclude departed workers and those that left their pool."""
        for name, index in self._indexes.items():
            unlisted = index.addresses - self._listed[name]
            index.set_excluded(unlisted | self._departed)

    async def pools_to_scan(self) -> dict[str, bool]:
        """Return the pools to scan, each with whether it has free slots here.

        Pools without free slots are included for their urgent tasks, for
        which less urgent tasks may be evicted. The result is empty while the
        queue is full.
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

    async def place(self) -> tuple[batch.QueuedTask, str] | None:
        """Reserve slots for the next queued task that can get them.

        Returns the task's queue entry and its worker's address, or None.
        """
        workers = _pool_workers.PoolWorkers(
            self._indexes, self._kernel.clock.now()
        )
        if self.queue.rooms:
            await self._read_slots(workers)
        while True:
            found = self.queue.take(workers)
            if found is None and workers.needs_slots:
                await self._read_slots(workers)
                continue
            if found is None:
                return None
            entry, candidate = found
            key = f'{entry.name}@{self._kernel.ids.request_id()[:8]}'
            address = await self._reserve_worker(
                entry, key, candidate, workers
            )
            if address and not await self._ensure_grant_covers(
                address, entry.lease_ms
            ):
                self._unreserve(key)
                address = ''
            if not address:
                workers.record_refusal(entry)
                self.queue.put_back(entry)
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
        """Extend the horizon of a worker's grant beyond a task's lease.

        Returns whether the grant covers the task.
        """
        covered: bool = await self._kernel.ask(
            'grants',
            grants.EnsureHorizon(
                address=address,
                horizon_ms=lease_ms + const.TASK_HORIZON_MS,
            ),
        )
        return covered

    async def _read_slots(self, workers: _pool_workers.PoolWorkers) -> None:
        """Read the granted slots of the workers from the dispatcher."""
        workers.set_dispatch_status(
            await self._kernel.ask('dispatch', dispatch.GetDispatchStatus())
        )

    async def _reserve_worker(
        self,
        entry: batch.QueuedTask,
        key: str,
        candidate: str,
        workers: _pool_workers.PoolWorkers,
    ) -> str:
        """Reserve slots on a suitable worker; return its address or ''.

        The dispatcher chooses first, because it knows the load. Its choice may
        lack memory or accelerators, be kept for another task, or may just have
        failed the task; then the candidate is tried instead.
        """
        address = await self._reserve(
            key, entry.pool, entry.team, entry.demand, entry.priority
        )
        if not address:
            return ''
        fits = workers.accepts(entry, address, self.queue.rooms_beside(entry))
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
        """Return how long to wait before the adoption of an orphaned task.

        Daemons with free slots on the task's worker, or closer to it, adopt
        first.
        """
        if self._domain_by_address.get(row.worker) != self._failure_domain:
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
            self.queue.take_slots(row.team, row.demand.slots, row.pool)
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
        self.queue.release_slots(
            allocation.team, allocation.demand.slots, allocation.pool
        )
        if allocation.pool in self._indexes:
            self._indexes[allocation.pool].release(
                allocation.address, allocation.demand
            )
        if allocation.has_slots:
            self._unreserve(allocation.key)

    def hand_over(self, name: str) -> None:
        """Stop tracking a task that runs on without a controller.

        Its slots stay reserved, because the task may still use them after
        this daemon shut down.
        """
        self._allocations.pop(name, None)

    def _unreserve(self, key: str) -> None:
        """Release reserved slots at the dispatcher."""
        self._kernel.post('dispatch', dispatch.ReleaseReservation(key=key))

    def pause_worker(self, address: str) -> None:
        """Stop placing tasks on an unresponsive worker for some time."""
        now = self._kernel.clock.now()
        for index in self._indexes.values():
            index.record_refusal(address, now)

    def record_run_end(
        self, row: batch.TaskRow, status: batch.RunStatus
    ) -> None:
        """Update the health of a worker after a run ended there."""
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
