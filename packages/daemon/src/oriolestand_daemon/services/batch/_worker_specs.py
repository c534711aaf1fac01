"""Specs of the workers of a failure domain, and what its pools can run."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import const
import oriolestand_platform as platform
from oriolestand_policy import batch
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assessment:
    """Whether workers of this failure domain may run tasks with a demand.

    ``unplaceable_reason`` is set if no worker of the pool in any domain can
    run them.
    """

    may_run_here: bool
    unplaceable_reason: str = ''


class WorkerSpecs:
    """Reads the specs of the workers of a failure domain and publishes them.

    :param indexes: the index of workers of each pool, updated here.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        task_store: _store.TaskStore,
        failure_domain: str,
        indexes: Mapping[str, batch.WorkerIndex],
    ) -> None:
        self._kernel = kernel
        self._store = task_store
        self._failure_domain = failure_domain
        self._indexes = indexes
        self._log = core.get_logger(const.DOMAIN)
        self._tables = tables.Tables(version=0)
        self._worker_specs: dict[str, dict[str, batch.WorkerSpec]] = {}
        self._pools_with_tasks: set[str] = set()
        self._next_spec_read_at: dict[str, core.Millis] = {}

    def set_tables(self, new_tables: tables.Tables) -> None:
        """Apply the pools and their workers."""
        self._tables = new_tables
        for pool in new_tables.pools.values():
            self._worker_specs.setdefault(pool.name, {})

    async def refresh(self, ask: Callable[[str], Any]) -> None:
        """Read the specs of this domain's workers and publish them.

        :param ask: sends a status request to an address and returns the
            worker's reply.
        """
        now = self._kernel.clock.now()
        for pool in self._tables.pools.values():
            if pool.name not in self._pools_with_tasks:
                # Upstreams of a pool without tasks may lack the worker
                # protocol.
                continue
            local_addresses = [
                up.address
                for up in pool.upstreams
                if up.failure_domain == self._failure_domain
            ]
            specs = self._worker_specs[pool.name]
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
                    specs[address] = spec
                    delay = const.SPEC_INTERVAL_MS
                    has_new_specs = True
                except core.OriolestandError as exc:
                    self._log.info('Worker does not answer', reason=str(exc))
                self._next_spec_read_at[address] = core.Millis(now + delay)
            if has_new_specs and all(
                address in specs for address in local_addresses
            ):
                await self._publish(
                    pool.name, [specs[a] for a in local_addresses]
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

    async def assess(self, name: str, demand: batch.Demand) -> Assessment:
        """Assess whether workers of a pool may run tasks with a demand."""
        self._pools_with_tasks.add(name)
        pool = self._tables.pools.get(name)
        if pool is None or not pool.upstreams:
            return Assessment(may_run_here=False)
        local_specs = self._worker_specs[name].values()
        if not batch.unplaceable_reason(demand, local_specs, name):
            return Assessment(may_run_here=True)
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
        return Assessment(may_run_here=False, unplaceable_reason=reason)
