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
    rows of the workers that changed. The row of a leaving worker is removed
    once nothing is left there that a successor must learn, so that it does
    not wait for the lease of a worker that has exited.

    :param are_ends_recorded: tells whether the records of all ends on a
        worker are written.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        snapshot: jobs.Snapshot,
        are_ends_recorded: Callable[[str], bool],
        on_ownership_lost: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._are_ends_recorded = are_ends_recorded
        self._on_ownership_lost = on_ownership_lost
        self._is_busy = False
        self._versions = {
            key.removeprefix(layout.WORKER_PREFIX): row.version
            for key, row in snapshot.rows.items()
            if key.startswith(layout.WORKER_PREFIX)
        }
        self._recorded = set(self._versions)
        legacy = snapshot.rows.get(layout.FLEET_KEY)
        self._has_legacy_row = legacy is not None and legacy.value is not None
        former = models.decode_workers(snapshot.rows)
        log = core.get_logger(const.DOMAIN)
        for key, why in former.malformed.items():
            log.error('Malformed row of workers', key=key, why=why)
        self.former_worker_ids = frozenset(info.id for info in former.infos)
        self.is_complete = former.is_complete
        """Whether the ids of all workers of the former owner are known."""
        for info in former.infos:
            scheduler.add_former_worker(info)
        scheduler.mark_workers_recorded(self._recorded)

    @property
    def is_outdated(self) -> bool:
        """Return whether ``update`` has rows to write."""
        return not self._is_busy and bool(self._changed_workers())

    async def update(self) -> None:
        """Write rows until they match the workers of the scheduler."""
        self._scheduler.mark_workers_recorded(self._recorded)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while not self._term.is_over:
                changed = self._changed_workers()
                if not changed:
                    break
                if await self._write(changed[: const.WORKER_BATCH]):
                    await self._kernel.sleep(const.WORKER_WRITE_PAUSE_MS)
                else:
                    await self._kernel.sleep(const.RETRY_MS)
            if self._has_legacy_row and not self._term.is_over:
                await self._remove_legacy_row()
        finally:
            self._is_busy = False

    def _changed_workers(self) -> list[str]:
        """Return the workers that lack a row and those that need none."""
        added = [
            worker_id
            for worker_id in self._scheduler.workers
            if worker_id not in self._recorded and self._needs_row(worker_id)
        ]
        # A row whose removal was not answered may still exist.
        left = [w for w in self._versions if not self._needs_row(w)]
        return added + left

    def _needs_row(self, worker_id: str) -> bool:
        """Return whether a successor must know a worker.

        A leaving worker gets no new tasks. Once it has reported to this
        owner, it rejects the orders of former owners. If it restarts, it
        does not, so that its row stays while a former owner may still act.
        """
        worker = self._scheduler.workers.get(worker_id)
        if worker is None:
            return False
        if not worker.info.is_leaving or worker.runs:
            return True
        if (
            worker_id not in self._versions
            and worker_id not in self.former_worker_ids
        ):
            # Without a row, no owner has started a task there.
            return False
        return not (
            worker.is_probed
            and self._term.is_settled(self._kernel.clock.now())
            and self._are_ends_recorded(worker_id)
        )

    async def _write(self, worker_ids: list[str]) -> bool:
        """Commit the rows of workers; return whether they were applied."""
        puts = [self._put(worker_id) for worker_id in worker_ids]
        # A worker that returns while its removal is on its way gets no task
        # before its row is written again.
        removed = [
            worker_id
            for worker_id, put in zip(worker_ids, puts, strict=True)
            if put.value is None
        ]
        self._recorded.difference_update(removed)
        self._scheduler.mark_workers_unrecorded(removed)
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
        if not result.is_applied:
            self._refresh_versions(result, worker_ids)
            return False
        for worker_id, put in zip(worker_ids, puts, strict=True):
            if put.value is None:
                del self._versions[worker_id]
            else:
                self._versions[worker_id] = result.version
                self._recorded.add(worker_id)
        self._scheduler.mark_workers_recorded(self._recorded)
        return True

    async def _remove_legacy_row(self) -> None:
        """Remove the list of an earlier version; its workers have rows now."""
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            (store.Put(key=layout.FLEET_KEY, value=None),),
        )
        if outcome.result is not None and outcome.result.is_applied:
            self._has_legacy_row = False

    def _put(self, worker_id: str) -> store.Put:
        """Return the write, or the removal, of the row of a worker."""
        value = None
        if self._needs_row(worker_id):
            worker = self._scheduler.workers[worker_id]
            value = models.encode_worker(worker.info)
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
