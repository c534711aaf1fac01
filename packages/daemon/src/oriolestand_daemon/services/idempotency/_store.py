"""Write keys to the table service, many in one transaction."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.idempotency import const
from oriolestand_daemon.services.idempotency import models
import oriolestand_platform as platform
from oriolestand_policy import idempotency

Rows = dict[str, idempotency.VersionedRecord]


class KeyStore:
    """Drive a GroupCommit against the platform service.

    :param on_claimed: called with each claim that took effect.
    :param on_conflict: called with each claim that met another request.
    :param on_failed: called with each claim that the store did not take.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        on_claimed: Callable[[idempotency.Claim], None],
        on_conflict: Callable[[idempotency.Conflict], None],
        on_failed: Callable[[idempotency.Claim], None],
    ) -> None:
        self._kernel = kernel
        self._log = core.get_logger(const.DOMAIN)
        self._commits = idempotency.GroupCommit()
        self._on_claimed = on_claimed
        self._on_conflict = on_conflict
        self._on_failed = on_failed
        self._pause: Any = None

    @property
    def is_idle(self) -> bool:
        """Return whether all writes have taken effect."""
        return self._commits.is_idle

    def add(self, write: idempotency.KeyWrite) -> None:
        """Queue a write; a claim is tried at once."""
        self._commits.add(write)
        if isinstance(write, idempotency.Claim):
            self._end_pause()
        if self._pause is None:
            self._flush()

    def _flush(self) -> None:
        """Send the next batch unless one is in progress."""
        batch = self._commits.take()
        if batch is None:
            return
        defer.ensureDeferred(self._commit(batch))

    async def _commit(self, batch: idempotency.WriteBatch) -> None:
        """Write a batch and pass on what became of its claims."""
        transaction = self._transaction(batch)
        try:
            result = await self._resolve(transaction)
            rows = {row.key: models.parse_row(row) for row in result.conflicts}
        except core.OriolestandError as exc:
            self._log.warning('Store does not take keys', reason=str(exc))
            is_certain = exc.verdict is core.Verdict.DID_NOT_RUN
            for claim in self._commits.failed(batch, is_certain):
                self._on_failed(claim)
            self._start_pause()
            return
        if result.applied:
            for claim in self._commits.applied(batch):
                self._on_claimed(claim)
        else:
            done, conflicts = self._commits.conflicted(batch, rows)
            for claim in done:
                self._on_claimed(claim)
            for conflict in conflicts:
                self._on_conflict(conflict)
        self._flush()

    def _transaction(
        self, batch: idempotency.WriteBatch
    ) -> platform.Transaction:
        """Return the transaction that writes a batch."""
        return platform.Transaction(
            request_id=self._kernel.ids.request_id(),
            checks=tuple(
                platform.Check(
                    table=const.TABLE, key=write.key, version=write.version
                )
                for write in batch.writes
            ),
            puts=tuple(
                platform.Put(
                    table=const.TABLE,
                    key=write.key,
                    value=models.dump_record(write.record),
                )
                for write in batch.writes
            ),
        )

    async def _resolve(
        self, transaction: platform.Transaction
    ) -> platform.TransactionResult:
        """Commit, and find out what happened when the answer is lost.

        A row with this write's value proves that the whole transaction took
        effect. Its absence proves nothing, because the write may still be
        on its way; the same transaction is sent again, which the service
        applies at most once.
        """
        is_uncertain = False
        for attempt in range(const.COMMIT_ATTEMPTS):
            if attempt:
                await self._kernel.sleep(const.RETRY_DELAY_MS)
            try:
                if is_uncertain and await self._was_applied(transaction):
                    return platform.TransactionResult(applied=True)
                result: platform.TransactionResult = await self._kernel.ask(
                    'platform', store.Commit(transaction=transaction)
                )
                return result
            except core.OriolestandError as exc:
                if exc.verdict is core.Verdict.DID_NOT_RUN:
                    if is_uncertain:
                        continue
                    raise
                is_uncertain = True
        raise platform.StoreTimeoutError('the answers of the store were lost')

    async def _was_applied(self, transaction: platform.Transaction) -> bool:
        """Read a row back and compare it with what was to be written."""
        put = transaction.puts[0]
        row = await self._kernel.ask(
            'platform', store.ReadRow(table=put.table, key=put.key)
        )
        return row is not None and row.value == put.value

    def _start_pause(self) -> None:
        """Write nothing but new claims for a while."""
        if self._pause is None and not self._commits.is_idle:
            self._pause = self._kernel.clock.call_later(
                const.STORE_DOWN_DELAY_MS, self._resume
            )

    def _resume(self) -> None:
        """Write what waits."""
        self._pause = None
        self._flush()

    def _end_pause(self) -> None:
        """Drop the pause."""
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None

    def stop(self) -> None:
        """Write nothing more."""
        self._end_pause()
