"""Record recent failures on workers for the next owner."""

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class FailureRecord:
    """Restore the recent failures from their row and keep it current.

    So an exclusion, and the window of the failures that lead to one, go on
    under the next owner.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        row: store.Row | None,
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._log = core.get_logger(const.DOMAIN)
        self._next_ms = 0
        self._is_busy = False
        self._saved = self._decode(row)
        scheduler.restore_failures(self._saved)

    def _decode(
        self, row: store.Row | None
    ) -> dict[str, scheduling.WorkerFailures]:
        """Decode the stored failures; malformed ones are not counted."""
        clock = self._kernel.clock
        now = clock.now()
        try:
            return models.decode_failures(
                row.value if row else None, clock.wall() - now, now
            )
        except ValueError as exc:
            self._log.error(
                'Malformed failures of workers ignored',
                key=layout.FAILURES_KEY,
                why=str(exc),
            )
            return {}

    async def update(self) -> None:
        """Write the row if it is due and failures were added or cleared.

        That they become too old to count changes nothing.
        """
        clock = self._kernel.clock
        now = clock.now()
        if now < self._next_ms or self._is_busy:
            return
        self._next_ms = now + const.FAILURES_INTERVAL_MS
        failures = self._scheduler.failures_to_store(now)
        if failures == scheduling.recent_failures(self._saved, now):
            return
        self._is_busy = True
        try:
            await self._write(failures, now)
        finally:
            self._is_busy = False

    async def _write(
        self, failures: dict[str, scheduling.WorkerFailures], now: int
    ) -> None:
        """Write the row; if that fails, the next update does it."""
        newest = sorted(
            failures,
            key=lambda worker: (-failures[worker].latest_ms, worker),
        )
        value = models.encode_failures(
            {w: failures[w] for w in newest[: const.MAX_STORED_FAILURES]},
            self._kernel.clock.wall() - now,
        )
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            (
                store.Put(
                    key=layout.FAILURES_KEY,
                    value=value,
                    table=layout.OWNER_TABLE,
                ),
            ),
        )
        if outcome.result is not None and outcome.result.is_applied:
            self._saved = failures
            return
        self._log.info('Failures of workers not written', why=outcome.error)
