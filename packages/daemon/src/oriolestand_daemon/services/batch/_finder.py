"""Find tasks that wait, were handed over, cancelled or orphaned.

Reads each second: one scan, for hand-overs and for cancels of this
instance in turn, for each pool the urgent queue and, if it has free slots
here, one of the other shards; for a minute after a proof, one for the
tasks of who is gone.
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
class Found:
    """Hold what a poll found; orphans and cancels are names of tasks."""

    entries: tuple[batch.Entry, ...]
    orphans: tuple[str, ...]
    cancels: tuple[str, ...]


class Finder:
    """Poll the index of open tasks.

    :param instance_id: of this daemon; ``me`` adds its incarnation.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        rows: _store.TaskStore,
        instance_id: str,
        me: str,
    ) -> None:
        self._kernel = kernel
        self._store = rows
        self._instance_id = instance_id
        self._me = me
        self._shard = 0
        self._is_mail_turn = False
        self._orphans_until: dict[str, core.Millis] = {}
        self._proven: set[str] = set()

    def is_orphaned(self, controller: str) -> bool:
        """Return whether a controller is empty or proven to be over."""
        if not controller:
            return True
        if controller == self._me:
            return False
        return any(controller.startswith(p) for p in self._proven)

    def add_proof(self, prefix: str) -> None:
        """Take over from controllers with a prefix from now on."""
        if prefix not in self._proven:
            self._proven.add(prefix)
            now = self._kernel.clock.now()
            until = core.Millis(now + const.ORPHAN_SCAN_MS)
            self._orphans_until[prefix] = until

    async def poll(self, pools: Mapping[str, bool]) -> Found:
        """Read what may concern this daemon.

        :param pools: whether a pool has free slots here, by name.
        """
        entries: list[batch.Entry] = []
        self._shard = (self._shard + 1) % batch.QUEUE_SHARDS
        for pool, has_room in pools.items():
            for shard in ('u', str(self._shard))[: 1 + has_room]:
                rows = await self._store.scan(
                    const.INDEX, f'queue/{pool}/{shard}/'
                )
                entries += [models.parse_entry(row.value) for row in rows]
        orphans: list[str] = []
        cancels: list[str] = []
        if self._is_mail_turn:
            cancels = await self._names(const.MAIL, f'{self._instance_id}/')
        else:
            orphans = await self._names(const.INDEX, 'free/')
        self._is_mail_turn = not self._is_mail_turn
        for prefix in list(self._orphans_until):
            found = await self._names(const.INDEX, f'held/{prefix}')
            if not found and self._is_over(prefix):
                del self._orphans_until[prefix]
            orphans += found
        return Found(
            entries=tuple(entries),
            orphans=tuple(orphans),
            cancels=tuple(cancels),
        )

    def _is_over(self, prefix: str) -> bool:
        """Return whether late writes of a controller are out of question."""
        return self._kernel.clock.now() >= self._orphans_until[prefix]

    async def _names(self, table: str, prefix: str) -> list[str]:
        """Return the names of tasks in index or mail rows."""
        rows = await self._store.scan(table, prefix)
        mine = f'held/{self._me}/'
        return [
            str(row.value['name'])
            for row in rows
            if not row.key.startswith(mine)
        ]

    async def drop_mail(self, name: str) -> None:
        """Delete a cancel that was acted on."""
        await self._store.put(const.MAIL, f'{self._instance_id}/{name}', None)
