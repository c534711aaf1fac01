"""Record the workers of a cell for the next owner."""

from collections.abc import Callable

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class FleetRecord:
    """Maintain one row for each worker that may run tasks.

    No task is started on a worker before its row is written, so that a
    successor finds every run of the former owner. A change writes only the
    rows of the workers that changed.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        snapshot: jobs.Snapshot,
        on_ownership_lost: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._on_ownership_lost = on_ownership_lost
        self._is_busy = False
        self._versions = {
            key.removeprefix(layout.WORKER_PREFIX): row.version
            for key, row in snapshot.rows.items()
            if key.startswith(layout.WORKER_PREFIX)
        }
        former = models.decode_workers(snapshot.rows)
        log = core.get_logger(const.DOMAIN)
        for key, why in former.malformed.items():
            log.error('Malformed row of workers', key=key, why=why)
        self.former_worker_ids = frozenset(info.id for info in former.infos)
        self.is_complete = former.is_complete
        """Whether the ids of all workers of the former owner are known."""
        for info in former.infos:
            scheduler.add_former_worker(info)
        scheduler.mark_workers_recorded(self._versions)

    async def update(self) -> None:
        """Write rows until they match the workers of the scheduler."""
        self._scheduler.mark_workers_recorded(self._versions)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while not self._term.is_over:
                workers = self._scheduler.workers
                added = [w for w in workers if w not in self._versions]
                removed = [w for w in self._versions if w not in workers]
                if not added and not removed:
                    return
                batch = (added + removed)[: const.WORKER_BATCH]
                if await self._write(batch):
                    await self._kernel.sleep(const.WORKER_WRITE_PAUSE_MS)
                else:
                    await self._kernel.sleep(const.RETRY_MS)
        finally:
            self._is_busy = False

    async def _write(self, worker_ids: list[str]) -> bool:
        """Commit the rows of workers; return whether they were applied."""
        puts = [self._put(worker_id) for worker_id in worker_ids]
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            puts,
            [
                store.Check(
                    key=put.key,
                    version=self._versions.get(worker_id, 0),
                    table=layout.OWNER_TABLE,
                )
                for worker_id, put in zip(worker_ids, puts, strict=True)
            ],
        )
        result = outcome.result
        if result is None:
            return False
        if result.is_applied:
            for worker_id, put in zip(worker_ids, puts, strict=True):
                if put.value is None:
                    del self._versions[worker_id]
                else:
                    self._versions[worker_id] = result.version
            self._scheduler.mark_workers_recorded(
                w for w in worker_ids if w in self._versions
            )
            return True
        self._refresh_versions(result, worker_ids)
        return False

    def _put(self, worker_id: str) -> store.Put:
        """Return the write, or the removal, of the row of a worker."""
        worker = self._scheduler.workers.get(worker_id)
        value = models.encode_worker(worker.info) if worker else None
        return store.Put(
            key=layout.WORKER_PREFIX + worker_id,
            value=value,
            table=layout.OWNER_TABLE,
        )

    def _refresh_versions(
        self, result: store.CommitResult, worker_ids: list[str]
    ) -> None:
        """Update the versions of rows after a conflict.

        An earlier commit without a response may have been applied late.
        """
        current = {row.key: row.version for row in result.current}
        if current.get(layout.OWNER_KEY) != self._term.owner_version:
            self._on_ownership_lost('another daemon owns the cell')
            return
        for worker_id in worker_ids:
            version = current.get(layout.WORKER_PREFIX + worker_id, 0)
            if version:
                self._versions[worker_id] = version
            else:
                self._versions.pop(worker_id, None)
