"""Match waiting tasks with free slots of workers."""

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
class Held:
    """Hold what a placed task uses; ``has_slots`` says if they are ours."""

    key: str
    pool: str
    address: str
    team: str
    demand: batch.Demand
    has_slots: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Say whether workers of this domain may run a class of tasks.

    ``why_never`` is set when no worker of the pool can, in any domain.
    """

    may_run_here: bool
    why_never: str = ''


class Placer:
    """Own the queue, what is known of workers and the reservations.

    :param failure_domain: workers of other domains get no tasks from here.
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
        self._held: dict[str, Held] = {}
        self._domains: dict[str, str] = {}
        self._wanted: set[str] = set()
        self._specs_at: dict[str, core.Millis] = {}
        self.queue = batch.TaskQueue()

    @property
    def held(self) -> dict[str, Held]:
        """Return what tasks use, by task."""
        return self._held

    def set_tables(self, known: tables.Tables) -> None:
        """Know the pools, their workers and the weights of teams."""
        self._tables = known
        for pool in known.pools.values():
            self._indexes.setdefault(pool.name, batch.WorkerIndex())
            self._kinds.setdefault(pool.name, {})
            for up in pool.upstreams:
                self._domains[up.address] = up.failure_domain
            for team, weight in pool.team_weights:
                self.queue.set_team(team, weight)

    async def pools(self) -> dict[str, bool]:
        """Return whether a pool has free slots here, by name.

        Urgent tasks are read for all pools: others may be evicted for them.
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

    async def learn_specs(self, ask: Callable[[str], Any]) -> None:
        """Ask this domain's workers what they have; publish the kinds.

        :param ask: returns a worker's answer to a status request.
        """
        now = self._kernel.clock.now()
        for pool in self._tables.pools.values():
            if pool.name not in self._wanted:
                # An upstream that gets no tasks may not be a worker.
                continue
            mine = [
                up.address
                for up in pool.upstreams
                if up.failure_domain == self._failure_domain
            ]
            kinds = self._kinds[pool.name]
            is_news = False
            for address in mine:
                if self._specs_at.get(address, 0) > now:
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
                    is_news = True
                except core.OriolestandError as exc:
                    self._log.info('Worker silent', reason=str(exc))
                self._specs_at[address] = core.Millis(now + delay)
            if is_news and all(address in kinds for address in mine):
                await self._publish(pool.name, [kinds[a] for a in mine])

    async def _publish(self, pool: str, specs: list[batch.WorkerSpec]) -> None:
        """Store the kinds of workers of this domain when they changed."""
        key = f'{pool}/{self._failure_domain}'
        kinds = sorted({(s.slots, s.accelerators, s.memory_mb) for s in specs})
        value = {'workers': len(specs), 'kinds': [list(k) for k in kinds]}
        row = await self._kernel.ask(
            'platform', store.ReadRow(table=const.CAPACITY, key=key)
        )
        if row is None or row.value != value:
            await self._store.put(const.CAPACITY, key, value)

    async def judge(self, name: str, demand: batch.Demand) -> Verdict:
        """Return whether workers of a pool may run a class of tasks."""
        self._wanted.add(name)
        pool = self._tables.pools.get(name)
        if pool is None or not pool.upstreams:
            return Verdict(may_run_here=False)
        kinds = self._kinds[name].values()
        if not batch.why_never(demand, kinds, name):
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
            # Otherwise some domain's workers are not all known yet.
            reason = batch.why_never(demand, specs, name)
        return Verdict(may_run_here=False, why_never=reason)

    async def place(self) -> tuple[batch.Entry, str] | None:
        """Take the next task that gets slots of a worker that fits it."""
        refused: set[tuple[str, str, int]] = set()
        while True:
            found = self.queue.take(lambda e: self._choose(e, refused))
            if found is None:
                return None
            entry, wanted = found
            key = f'{entry.name}@{self._kernel.ids.request_id()[:8]}'
            address = await self._reserve_one(entry, key, wanted)
            if address and not await self._cover(address, entry.lease_ms):
                self._unreserve(key)
                address = ''
            if not address:
                refused.add((entry.pool, entry.team, entry.demand.slots))
                self.queue.ended(entry.team, entry.demand.slots)
                self.queue.put(entry)
                continue
            self._indexes[entry.pool].take(address, entry.demand)
            self._held[entry.name] = Held(
                key=key,
                pool=entry.pool,
                address=address,
                team=entry.team,
                demand=entry.demand,
                has_slots=True,
            )
            return entry, address

    async def _cover(self, address: str, lease_ms: int) -> bool:
        """Return whether the grant of the slots outlives the task's lease."""
        covered: bool = await self._kernel.ask(
            'grants',
            grants.CoverTasks(
                address=address,
                horizon_ms=lease_ms + const.TASK_HORIZON_MS,
            ),
        )
        return covered

    def _choose(
        self, entry: batch.Entry, refused: set[tuple[str, str, int]]
    ) -> str | None:
        """Return a worker that has what the task needs besides slots."""
        index = self._indexes.get(entry.pool)
        kind = (entry.pool, entry.team, entry.demand.slots)
        if index is None or kind in refused:
            return None
        now = self._kernel.clock.now()
        return index.choose(entry.demand, now, entry.avoid)

    async def _reserve_one(
        self, entry: batch.Entry, key: str, wanted: str
    ) -> str:
        """Return the worker whose slots were reserved, or ''.

        The dispatcher chooses first, because it knows the load; its choice
        may lack memory or accelerators, or have just failed the task.
        """
        address = await self._reserve(
            key, entry.pool, entry.team, entry.demand, entry.priority
        )
        if not address:
            return ''
        now = self._kernel.clock.now()
        fits = self._indexes[entry.pool].accepts(address, entry.demand, now)
        if fits and (address != entry.avoid or address == wanted):
            return address
        self._unreserve(key)
        return await self._reserve(
            key, entry.pool, entry.team, entry.demand, entry.priority, wanted
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
        """Ask the dispatcher for slots of any or of one worker."""
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
        """Return how long to leave an orphaned task to better placed ones."""
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
        """Count an adopted task; return whether slots were free for it."""
        former = self._held.get(row.name)
        held = Held(
            key=f'{row.name}@{self._kernel.ids.request_id()[:8]}',
            pool=row.pool,
            address=row.worker,
            team=row.team,
            demand=row.demand,
            has_slots=False,
        )
        if former is None:
            self._held[row.name] = held
            self.queue.occupy(row.team, row.demand.slots)
            if row.pool in self._indexes:
                self._indexes[row.pool].take(row.worker, row.demand)
        address = await self._reserve(
            held.key,
            row.pool,
            row.team,
            row.demand,
            row.priority,
            row.worker,
        )
        if not address:
            return False
        if not await self._cover(address, row.lease_ms):
            self._unreserve(held.key)
            return False
        if row.name not in self._held:
            # The task ended meanwhile.
            self._unreserve(held.key)
            return True
        self._held[row.name] = dataclasses.replace(held, has_slots=True)
        return True

    def release(self, name: str) -> None:
        """Give back what a task used; a repeat does nothing."""
        held = self._held.pop(name, None)
        if held is None:
            return
        self.queue.ended(held.team, held.demand.slots)
        if held.pool in self._indexes:
            self._indexes[held.pool].give_back(held.address, held.demand)
        if held.has_slots:
            self._unreserve(held.key)

    def hand_over(self, name: str) -> None:
        """Forget a task that goes on running without a controller.

        Its slots stay reserved: they are not free when this daemon leaves.
        """
        self._held.pop(name, None)

    def _unreserve(self, key: str) -> None:
        """Give slots back to the dispatcher."""
        self._kernel.post('dispatch', dispatch.UnreserveSlots(key=key))

    def pause(self, address: str) -> None:
        """Give no tasks for a while to a worker that does not answer."""
        now = self._kernel.clock.now()
        for index in self._indexes.values():
            index.refused(address, now)

    def observe(self, row: batch.TaskRow, status: batch.RunStatus) -> None:
        """Record how a run ended, for the health of its worker."""
        index = self._indexes.get(row.pool)
        if index is None:
            return
        now = self._kernel.clock.now()
        if status is batch.RunStatus.REFUSED:
            index.refused(row.worker, now)
        elif status is batch.RunStatus.FAILED:
            index.observe(row.worker, row.name, True, now)
        elif status is batch.RunStatus.FINISHED:
            index.observe(row.worker, row.name, False, now)
