"""Record the workers of a cell for the next owner."""

from collections.abc import Callable

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class FleetRecord:
    """Maintain the row that lists the workers that may run tasks.

    No task is started on a worker before the row lists it, so that a
    successor finds every run of the former owner.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        row: store.Row | None,
        on_ownership_lost: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._on_ownership_lost = on_ownership_lost
        self._version = row.version if row is not None else 0
        self._is_busy = False
        infos = models.decode_fleet(row.value if row is not None else None)
        self.former_worker_ids = frozenset(info.id for info in infos)
        self._recorded = self.former_worker_ids
        for info in infos:
            scheduler.add_former_worker(info)
        scheduler.mark_workers_recorded(self._recorded)

    async def update(self) -> None:
        """Write the row until it lists all workers of the scheduler."""
        self._scheduler.mark_workers_recorded(self._recorded)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while not self._term.is_over:
                worker_ids = frozenset(self._scheduler.workers)
                if worker_ids <= self._recorded and not self._is_stale():
                    return
                if await self._write(worker_ids):
                    self._recorded = worker_ids
                    self._scheduler.mark_workers_recorded(worker_ids)
                else:
                    await self._kernel.sleep(const.RETRY_MS)
        finally:
            self._is_busy = False

    def _is_stale(self) -> bool:
        """Return whether more than half of the recorded workers are gone."""
        current = len(self._scheduler.workers)
        return len(self._recorded) > 2 * current + 1

    async def _write(self, worker_ids: frozenset[str]) -> bool:
        """Commit the list of workers; return whether it was applied."""
        value = models.encode_fleet(
            worker.info
            for worker_id, worker in self._scheduler.workers.items()
            if worker_id in worker_ids
        )
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            (store.Put(key=layout.FLEET_KEY, value=value),),
            (store.Check(key=layout.FLEET_KEY, version=self._version),),
        )
        result = outcome.result
        if result is None:
            return False
        if result.is_applied:
            self._version = result.version
            return True
        for row in result.current:
            if row.key == layout.FLEET_KEY:
                self._version = row.version
            elif row.version != self._term.owner_version:
                self._on_ownership_lost('another daemon owns the cell')
        return False
