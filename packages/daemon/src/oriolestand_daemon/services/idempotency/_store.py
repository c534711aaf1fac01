"""Batched writes of idempotency keys to the table service."""

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
    """Commits queued key writes through the platform service.

    :param on_claimed: called with each claim that was applied.
    :param on_conflict: called with the conflict of each claim whose key has a
        row of another request.
    :param on_not_recorded: called with each claim that could not be written.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        on_claimed: Callable[[idempotency.Claim], None],
        on_conflict: Callable[[idempotency.Conflict], None],
        on_not_recorded: Callable[[idempotency.Claim], None],
    ) -> None:
        self._kernel = kernel
        self._log = core.get_logger(const.DOMAIN)
        self._group_commit = idempotency.GroupCommit()
        self._on_claimed = on_claimed
        self._on_conflict = on_conflict
        self._on_not_recorded = on_not_recorded
        self._retry_timer: Any = None

    @property
    def is_idle(self) -> bool:
        """Return whether no write is pending."""
        return self._group_commit.is_idle

    def add(self, write: idempotency.KeyWrite) -> None:
        """Queue a write; a claim does not wait for a scheduled retry."""
        self._group_commit.add(write)
        if isinstance(write, idempotency.Claim):
            self._cancel_retry()
        if self._retry_timer is None:
            self._flush()

    def _flush(self) -> None:
        """Commit the next batch unless a commit is in progress."""
        batch = self._group_commit.take()
        if batch is None:
            return
        defer.ensureDeferred(self._commit(batch))

    async def _commit(self, batch: idempotency.WriteBatch) -> None:
        """Commit a batch and call the handlers of its claims."""
        transaction = self._transaction(batch)
        try:
            result = await self._commit_with_retries(transaction)
            rows = {row.key: models.parse_row(row) for row in result.conflicts}
        except core.OriolestandError as exc:
            self._log.warning('Cannot write idempotency keys', reason=str(exc))
            is_certain = exc.verdict is core.Verdict.DID_NOT_RUN
            for claim in self._group_commit.complete_failed(batch, is_certain):
                self._on_not_recorded(claim)
            self._schedule_retry()
            return
        if result.applied:
            for claim in self._group_commit.complete_applied(batch):
                self._on_claimed(claim)
        else:
            done, conflicts = self._group_commit.complete_conflicted(
                batch, rows
            )
            for claim in done:
                self._on_claimed(claim)
            for conflict in conflicts:
                self._on_conflict(conflict)
        self._flush()

    def _transaction(
        self, batch: idempotency.WriteBatch
    ) -> platform.Transaction:
        """Build the transaction that writes a batch."""
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

    async def _commit_with_retries(
        self, transaction: platform.Transaction
    ) -> platform.TransactionResult:
        """Commit a transaction, with retries if the answer was lost.

        A row with the value of this write proves that the whole transaction
        was applied. Its absence proves nothing, because the write may still
        arrive; the same transaction is then sent again, which the platform
        applies at most once.

        :raises StoreTimeoutError: if the outcome is still unknown after them.
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
        raise platform.StoreTimeoutError(
            'no answer from the store; the outcome is unknown'
        )

    async def _was_applied(self, transaction: platform.Transaction) -> bool:
        """Return whether the first row has the value that would be written."""
        put = transaction.puts[0]
        row = await self._kernel.ask(
            'platform', store.ReadRow(table=put.table, key=put.key)
        )
        return row is not None and row.value == put.value

    def _schedule_retry(self) -> None:
        """Schedule a retry of the pending writes after a store failure."""
        if self._retry_timer is None and not self._group_commit.is_idle:
            self._retry_timer = self._kernel.clock.call_later(
                const.STORE_DOWN_DELAY_MS, self._retry
            )

    def _retry(self) -> None:
        """Commit the pending writes."""
        self._retry_timer = None
        self._flush()

    def _cancel_retry(self) -> None:
        """Cancel the scheduled retry."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def stop(self) -> None:
        """Cancel the pending retry."""
        self._cancel_retry()
