"""Record the workers of a cell for the next owner."""

from collections.abc import Callable
import dataclasses

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import ownership
from oriolestand_policy import scheduling


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Change:
    """A write or removal of a row; ``runs_end_ms`` is the end it holds."""

    worker_id: str
    put: store.Put
    runs_end_ms: int | None


class FleetRecord:
    """Maintain one row for each worker that may run tasks.

    No task is started on a worker before its row is written, so that a
    successor finds every run of the former owner. A change writes only the
    rows of the workers that changed. The row of a leaving worker is removed
    once nothing is left there that a successor must learn, so that it does
    not wait for the lease of a worker that has exited.

    The row of a worker that this owner cannot reach may hold the time by
    which all runs there have ended, so that the wait for them does not begin
    anew with each successor. While the row may hold it, no lease of the
    worker is requested and no task is started there. When the worker reports
    after all, its row is first written without the time.

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
        self._unsure: set[str] = {
            key.removeprefix(layout.WORKER_PREFIX)
            for key, row in snapshot.rows.items()
            if key.startswith(layout.WORKER_PREFIX) and row.value is None
        }
        """Workers that may have a row or none."""
        legacy = snapshot.rows.get(layout.FLEET_KEY)
        self._has_legacy_row = legacy is not None and legacy.value is not None
        former = models.decode_workers(snapshot.rows)
        log = core.get_logger(const.DOMAIN)
        for key, why in former.malformed.items():
            log.error('Malformed row of workers', key=key, why=why)
        self.former_worker_ids = frozenset(info.id for info in former.infos)
        self.voter_ids = frozenset(self._versions.keys() - self._unsure)
        """Workers whose answers limit the leases of the former owner; empty
        if a row is malformed or an earlier version has listed them."""
        if self._has_legacy_row or former.malformed:
            self.voter_ids = frozenset()
        self._set_voters()
        self.is_complete = former.is_complete
        """Whether the ids of all workers of the former owner are known."""
        self.former_runs_end_ms = former.runs_end_ms
        """Times of the store's clock by which runs have ended, by worker."""
        for info in former.infos:
            scheduler.add_former_worker(info)
        self._malformed_keys = frozenset(former.malformed)
        self._runs_end_ms = dict(former.runs_end_ms)
        """Ends that rows hold, or may hold as a write is on its way."""
        self._stored_runs_end = set(self._runs_end_ms)
        for worker_id in self._runs_end_ms:
            scheduler.hold_leases(worker_id)
        self._recorded = self._versions.keys() - self._runs_end_ms.keys()
        """Workers with a row without an end, which may get tasks."""
        scheduler.mark_workers_recorded(self._recorded)

    @property
    def is_outdated(self) -> bool:
        """Return whether ``update`` has rows to write."""
        return not self._is_busy and bool(self._changed_workers())

    def carry_waits(self, delay_ms: int) -> None:
        """Record when the runs end on workers that cannot be reached.

        Call this only once the registered workers are known. ``delay_ms`` is
        how late the event loop calls timers.
        """
        clock = self._term.store_clock
        if clock is None:
            return
        for worker_id in sorted(self.former_worker_ids):
            worker = self._scheduler.workers.get(worker_id)
            if worker is not None and not (
                worker.is_probed or worker.is_listed
            ):
                self._carry_wait(worker, clock)
        for worker in self._silent_workers(delay_ms):
            if len(self._runs_end_ms) >= const.MAX_CARRIED_WAITS:
                break
            self._carry_wait(worker, clock)

    def _silent_workers(self, delay_ms: int) -> list[scheduling.Worker]:
        """Return the workers that have not answered for some time.

        A registered one may merely be slow to answer, and gets no lease and
        no task until its row is written again. So there are none while the
        store may be away, or while this owner polls them too late.
        """
        now = self._kernel.clock.now()
        if now - self._term.renewed_ms > const.CARRY_RENEWAL_AGE_MS:
            return []
        silent_since_ms = (
            now - const.CARRY_DELAY_MS - const.PASSES_PER_POLL * delay_ms
        )
        return [
            worker
            for worker in self._scheduler.workers.values()
            if 0 <= worker.unreachable_ms <= silent_since_ms
            and not worker.is_polled_late
            and not worker.is_in_doubt
        ]

    def _carry_wait(
        self, worker: scheduling.Worker, clock: ownership.StoreClock
    ) -> None:
        """Let the row of a worker hold when all runs there have ended.

        A worker that has restarted since this owner requested its lease is
        left out until it has reported: it may have received late orders.
        """
        worker_id = worker.info.id
        if (
            worker_id not in self._versions
            or worker_id in self._runs_end_ms
            or layout.WORKER_PREFIX + worker_id in self._malformed_keys
        ):
            return
        # Former owners request no leases that end later.
        runs_end_ms = self._term.takeover_deadline_ms
        if worker.is_probed:
            lease_over_ms = self._scheduler.hold_leases_of_silent(worker_id)
            runs_end_ms = max(runs_end_ms, lease_over_ms or 0)
        elif not self._scheduler.hold_leases(worker_id):
            return
        self._runs_end_ms[worker_id] = clock.to_store_ms(runs_end_ms)
        self._recorded.discard(worker_id)
        self._scheduler.mark_workers_unrecorded([worker_id])

    def _is_silent(self, worker_id: str) -> bool:
        """Return whether a worker has not reported, or does not any more."""
        worker = self._scheduler.workers.get(worker_id)
        return worker is not None and (
            not worker.is_probed or worker.unreachable_ms >= 0
        )

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
            if worker_id not in self._recorded and self._lacks_row(worker_id)
        ]
        # A row whose removal was not answered may still exist.
        left = [w for w in self._versions if not self._needs_row(w)]
        return added + left

    def _lacks_row(self, worker_id: str) -> bool:
        """Return whether to write the row of a worker that is unrecorded."""
        if not self._needs_row(worker_id):
            return False
        if worker_id not in self._runs_end_ms or not self._is_silent(
            worker_id
        ):
            return True
        # An end is never written on condition that the row is absent: such a
        # commit could be applied late, after a removal of the row.
        return (
            worker_id not in self._stored_runs_end
            and worker_id in self._versions
        )

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

    def _set_voters(self) -> None:
        """Set the workers whose answers extend leases.

        A successor counts those with a row when it claims the cell.
        """
        self._term.votes.set_voters(
            self._versions.keys() - self._unsure,
            len(self._versions.keys() | self._unsure),
        )

    async def _write(self, worker_ids: list[str]) -> bool:
        """Commit the rows of workers; return whether they were applied."""
        changes = [self._change(worker_id) for worker_id in worker_ids]
        # A worker that returns while its removal is on its way gets no task
        # before its row is written again.
        removed = [c.worker_id for c in changes if c.put.value is None]
        self._recorded.difference_update(removed)
        self._scheduler.mark_workers_unrecorded(removed)
        # The commit may be applied late, whatever its response is, until a
        # later one of the same rows is.
        self._unsure.update(worker_ids)
        self._set_voters()
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            [change.put for change in changes],
            [
                store.Check(
                    key=change.put.key,
                    version=self._versions.get(change.worker_id, 0),
                    table=layout.OWNER_TABLE,
                )
                for change in changes
            ],
        )
        result = outcome.result
        if result is None:
            return False
        if not result.is_applied:
            self._refresh_versions(result, worker_ids)
            return False
        for change in changes:
            self._apply_change(change, result.version)
        self._unsure.difference_update(worker_ids)
        self._set_voters()
        self._scheduler.mark_workers_recorded(self._recorded)
        return True

    def _apply_change(self, change: _Change, version: int) -> None:
        """Apply a stored change of the row of a worker.

        Earlier commits of the row cannot be applied any more, as they name
        an older version of it.
        """
        worker_id = change.worker_id
        if change.put.value is None:
            del self._versions[worker_id]
        else:
            self._versions[worker_id] = version
        if change.runs_end_ms is not None:
            self._stored_runs_end.add(worker_id)
            return
        self._runs_end_ms.pop(worker_id, None)
        self._stored_runs_end.discard(worker_id)
        self._scheduler.allow_leases(worker_id)
        if change.put.value is not None:
            self._recorded.add(worker_id)

    async def _remove_legacy_row(self) -> None:
        """Remove the list of an earlier version; its workers have rows now."""
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            (store.Put(key=layout.FLEET_KEY, value=None),),
        )
        if outcome.result is not None and outcome.result.is_applied:
            self._has_legacy_row = False

    def _change(self, worker_id: str) -> _Change:
        """Return the write, or the removal, of the row of a worker."""
        value = None
        runs_end_ms = None
        if self._needs_row(worker_id):
            if self._is_silent(worker_id):
                runs_end_ms = self._runs_end_ms.get(worker_id)
            worker = self._scheduler.workers[worker_id]
            value = models.encode_worker(worker.info, runs_end_ms)
        return _Change(
            worker_id=worker_id,
            put=store.Put(
                key=layout.WORKER_PREFIX + worker_id,
                value=value,
                table=layout.OWNER_TABLE,
            ),
            runs_end_ms=runs_end_ms,
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
