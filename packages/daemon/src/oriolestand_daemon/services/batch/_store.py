"""Access to the task tables; groups writes into transactions."""

from collections.abc import Sequence
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.batch import const
from oriolestand_daemon.services.batch import models
import oriolestand_platform as platform
from oriolestand_policy import batch


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A task row and its version in the store."""

    row: batch.TaskRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteOutcome:
    """Whether a write was applied, and the row that is stored now."""

    is_applied: bool
    stored: StoredRow


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingWrite:
    """A write that waits for the next commit.

    ``before`` is the row to be replaced, None for a new task.
    ``notify_instance`` is the instance for which a cancellation row is
    written, if any.
    """

    row: batch.TaskRow
    before: batch.TaskRow | None
    version: int
    notify_instance: str
    done: 'defer.Deferred[WriteOutcome]'


class TaskStore:
    """Reads and writes task tables through the platform service."""

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel
        self._log = core.get_logger(const.DOMAIN)
        self._pending_writes: list[_PendingWrite] = []
        self._is_stopped = False

    def stop(self) -> None:
        """Stop retrying writes."""
        self._is_stopped = True

    async def read(self, name: str) -> StoredRow | None:
        """Return a task by name, or None."""
        row: platform.Row | None = await self._kernel.ask(
            'platform', store.ReadRow(table=const.TASKS, key=name)
        )
        return None if row is None else _to_stored_row(row)

    async def list(self, prefix: str) -> Sequence[batch.TaskRow]:
        """Return the tasks whose names start with a prefix."""
        rows = await self.scan(const.TASKS, prefix)
        return [models.parse_row(row.value) for row in rows]

    async def scan(self, table: str, prefix: str) -> Sequence[platform.Row]:
        """Return the rows of a table whose keys start with a prefix."""
        rows: Sequence[platform.Row] = await self._kernel.ask(
            'platform', store.ScanRows(table=table, prefix=prefix)
        )
        return rows

    async def put(
        self, table: str, key: str, value: dict[str, Any] | None
    ) -> None:
        """Write a row without a version check; None deletes it."""
        put = platform.Put(table=table, key=key, value=value)
        await self._kernel.ask(
            'platform',
            store.Commit(
                transaction=platform.Transaction(
                    request_id=self._kernel.ids.request_id(), puts=(put,)
                )
            ),
        )

    def write(
        self,
        row: batch.TaskRow,
        before: batch.TaskRow | None,
        version: int,
        notify_instance: str = '',
    ) -> 'defer.Deferred[WriteOutcome]':
        """Write a task row and its index row if the version is unchanged.

        The Deferred fires once the outcome is certain, however long the
        store is down.

        :param notify_instance: instance for which a cancellation row is
            written with the task row, if not empty.
        """
        change = _PendingWrite(
            row=row,
            before=before,
            version=version,
            notify_instance=notify_instance,
            done=defer.Deferred(),
        )
        self._pending_writes.append(change)
        if len(self._pending_writes) == 1:
            self._kernel.clock.call_later(const.GROUP_COMMIT_MS, self._flush)
        return change.done

    def _flush(self) -> None:
        """Commit the pending writes in groups of limited size."""
        waiting, self._pending_writes = self._pending_writes, []
        for i in range(0, len(waiting), const.MAX_GROUP_SIZE):
            self._start_commit(waiting[i : i + const.MAX_GROUP_SIZE])

    def _start_commit(self, changes: Sequence[_PendingWrite]) -> None:
        """Start to commit a group of writes in the background."""
        fut = defer.ensureDeferred(self._commit(changes))
        fut.addErrback(
            lambda f: self._log.error(
                'Task commit failed', reason=str(f.value)
            )
        )

    async def _commit(self, changes: Sequence[_PendingWrite]) -> None:
        """Commit a group, retrying until the outcome is certain."""
        request_id = self._kernel.ids.request_id()
        message = store.Commit(transaction=_transaction(changes, request_id))
        delay = const.STORE_RETRY_MS
        while not self._is_stopped:
            try:
                result = await self._kernel.ask('platform', message)
            except core.OriolestandError as exc:
                self._log.warning(
                    'Cannot write tasks, retrying', reason=str(exc)
                )
                await self._kernel.sleep(delay)
                delay = min(2 * delay, const.STORE_RETRY_MAX_MS)
                continue
            self._resolve(changes, result, request_id)
            return

    def _resolve(
        self,
        changes: Sequence[_PendingWrite],
        result: platform.TransactionResult,
        request_id: str,
    ) -> None:
        """Resolve each write; commit those without a conflict again."""
        conflicts = {row.key: row for row in result.conflicts}
        # The store keeps request ids for a limited time only. A conflicting
        # row with the id of this write shows that the transaction was
        # applied and its answer was lost.
        is_applied = result.applied or any(
            row.value.get('write_id') == request_id
            for row in conflicts.values()
        )
        rest = []
        for change in changes:
            if is_applied:
                stored = StoredRow(row=change.row, version=change.version + 1)
                change.done.callback(
                    WriteOutcome(is_applied=True, stored=stored)
                )
            elif change.row.name in conflicts:
                stored = _to_stored_row(conflicts[change.row.name])
                change.done.callback(
                    WriteOutcome(is_applied=False, stored=stored)
                )
            else:
                rest.append(change)
        if rest:
            self._start_commit(rest)


def _to_stored_row(row: platform.Row) -> StoredRow:
    """Parse a row of the task table."""
    return StoredRow(row=models.parse_row(row.value), version=row.version)


def _transaction(
    changes: Sequence[_PendingWrite], request_id: str
) -> platform.Transaction:
    """Build the transaction for task, index and cancellation rows."""
    checks = []
    puts = []
    for change in changes:
        name = change.row.name
        checks.append(
            platform.Check(table=const.TASKS, key=name, version=change.version)
        )
        value = models.dump_row(change.row, request_id)
        puts.append(platform.Put(table=const.TASKS, key=name, value=value))
        old = batch.index_key(change.before) if change.before else ''
        new = batch.index_key(change.row)
        if old and old != new:
            puts.append(platform.Put(table=const.INDEX, key=old, value=None))
        if new and old != new:
            entry = models.dump_entry(change.row)
            puts.append(platform.Put(table=const.INDEX, key=new, value=entry))
        if change.notify_instance:
            key = f'{change.notify_instance}/{name}'
            puts.append(
                platform.Put(
                    table=const.CANCELLATIONS, key=key, value={'name': name}
                )
            )
    return platform.Transaction(
        request_id=request_id, checks=tuple(checks), puts=tuple(puts)
    )
