"""Discovery of queued, handed-over, cancelled and orphaned tasks.

Each poll, once per second, makes these scans:

- one for hand-overs or for cancellations at this instance, alternately;
- for each pool, one of the urgent queue shard and, if the pool has free slots
  here, one of another shard in rotation;
- one for the tasks of each controller found to be gone in the last minute.

Running tasks of live daemons are never read.
"""

from collections.abc import Mapping
import dataclasses

import oriolestand_core as core
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import const
from oriolestand_daemon.services.batch import models
from oriolestand_policy import batch


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScanResult:
    """Result of a poll; ``orphaned`` and ``cancelled`` are task names."""

    entries: tuple[batch.QueuedTask, ...]
    orphaned: tuple[str, ...]
    cancelled: tuple[str, ...]


class TaskScanner:
    """Polls the store for tasks that this daemon may have to handle.

    :param instance_id: id of this instance.
    :param controller_id: ``instance_id/incarnation`` of this daemon.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        task_store: _store.TaskStore,
        instance_id: str,
        controller_id: str,
    ) -> None:
        self._kernel = kernel
        self._store = task_store
        self._instance_id = instance_id
        self._controller_id = controller_id
        self._shard = 0
        self._scans_cancellations_next = False
        self._scan_until: dict[str, core.Millis] = {}
        self._gone_prefixes: set[str] = set()

    def is_orphaned(self, controller: str) -> bool:
        """Return whether a controller id is empty or of a gone daemon."""
        if not controller:
            return True
        if controller == self._controller_id:
            return False
        return any(controller.startswith(p) for p in self._gone_prefixes)

    def mark_gone(self, prefix: str) -> None:
        """Treat tasks of controllers with this prefix as orphaned."""
        if prefix not in self._gone_prefixes:
            self._gone_prefixes.add(prefix)
            now = self._kernel.clock.now()
            until = core.Millis(now + const.ORPHAN_SCAN_MS)
            self._scan_until[prefix] = until

    async def poll(self, pools: Mapping[str, bool]) -> ScanResult:
        """Make the scans of one poll.

        :param pools: whether each pool, by name, has free slots here.
        """
        entries: list[batch.QueuedTask] = []
        self._shard = (self._shard + 1) % batch.QUEUE_SHARDS
        for pool, has_free_slots in pools.items():
            for shard in ('u', str(self._shard))[: 1 + has_free_slots]:
                rows = await self._store.scan(
                    const.INDEX, f'queue/{pool}/{shard}/'
                )
                entries += [models.parse_entry(row.value) for row in rows]
        orphaned: list[str] = []
        cancelled: list[str] = []
        if self._scans_cancellations_next:
            cancelled = await self._scan_names(
                const.CANCELLATIONS, f'{self._instance_id}/'
            )
        else:
            orphaned = await self._scan_names(const.INDEX, 'free/')
        self._scans_cancellations_next = not self._scans_cancellations_next
        for prefix in list(self._scan_until):
            found = await self._scan_names(const.INDEX, f'held/{prefix}')
            if not found and self._has_scan_ended(prefix):
                del self._scan_until[prefix]
            orphaned += found
        return ScanResult(
            entries=tuple(entries),
            orphaned=tuple(orphaned),
            cancelled=tuple(cancelled),
        )

    def _has_scan_ended(self, prefix: str) -> bool:
        """Return whether late writes of a gone controller can be ruled out."""
        return self._kernel.clock.now() >= self._scan_until[prefix]

    async def _scan_names(self, table: str, prefix: str) -> list[str]:
        """Return the names of tasks under a prefix, without own tasks."""
        rows = await self._store.scan(table, prefix)
        own_prefix = f'held/{self._controller_id}/'
        return [
            str(row.value['name'])
            for row in rows
            if not row.key.startswith(own_prefix)
        ]

    async def delete_cancellation(self, name: str) -> None:
        """Delete the row of a handled cancellation."""
        await self._store.put(
            const.CANCELLATIONS, f'{self._instance_id}/{name}', None
        )
