"""Read and write rows of tasks; group writes into transactions."""

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
class Stored:
    """Hold a row with its version."""

    row: batch.TaskRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Say whether a write took, and the row as it is stored now."""

    is_applied: bool
    stored: Stored


@dataclasses.dataclass(slots=True, kw_only=True)
class _Change:
    """Hold a write that waits; ``before`` is None for a new row."""

    row: batch.TaskRow
    before: batch.TaskRow | None
    version: int
    mail: str
    done: 'defer.Deferred[Outcome]'


class TaskStore:
    """Reach the tables of tasks through the platform service."""

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel
        self._log = core.get_logger(const.DOMAIN)
        self._waiting: list[_Change] = []
        self._is_stopped = False

    def stop(self) -> None:
        """Repeat no more writes."""
        self._is_stopped = True

    async def read(self, name: str) -> Stored | None:
        """Return a task, or None."""
        row: platform.Row | None = await self._kernel.ask(
            'platform', store.ReadRow(table=const.TASKS, key=name)
        )
        return None if row is None else _to_stored(row)

    async def list(self, prefix: str) -> Sequence[batch.TaskRow]:
        """Return the tasks whose names have a prefix."""
        rows = await self.scan(const.TASKS, prefix)
        return [models.parse_row(row.value) for row in rows]

    async def scan(self, table: str, prefix: str) -> Sequence[platform.Row]:
        """Return the rows of a table."""
        rows: Sequence[platform.Row] = await self._kernel.ask(
            'platform', store.ScanRows(table=table, prefix=prefix)
        )
        return rows

    async def put(
        self, table: str, key: str, value: dict[str, Any] | None
    ) -> None:
        """Write or delete a row without a check."""
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
        mail: str = '',
    ) -> 'defer.Deferred[Outcome]':
        """Write a row if it is still at a version.

        The Deferred fires once the outcome is certain, however long the
        store is down. ``mail`` names the instance to notify.
        """
        change = _Change(
            row=row,
            before=before,
            version=version,
            mail=mail,
            done=defer.Deferred(),
        )
        self._waiting.append(change)
        if len(self._waiting) == 1:
            self._kernel.clock.call_later(const.GROUP_COMMIT_MS, self._flush)
        return change.done

    def _flush(self) -> None:
        """Commit what waits, in groups."""
        waiting, self._waiting = self._waiting, []
        for i in range(0, len(waiting), const.MAX_GROUP):
            self._commit_later(waiting[i : i + const.MAX_GROUP])

    def _commit_later(self, changes: Sequence[_Change]) -> None:
        """Start the commit of a group."""
        fut = defer.ensureDeferred(self._commit(changes))
        fut.addErrback(
            lambda f: self._log.error('Commit failed', reason=str(f.value))
        )

    async def _commit(self, changes: Sequence[_Change]) -> None:
        """Repeat one transaction until its outcome is certain."""
        request_id = self._kernel.ids.request_id()
        message = store.Commit(transaction=_transaction(changes, request_id))
        delay = const.STORE_RETRY_MS
        while not self._is_stopped:
            try:
                result = await self._kernel.ask('platform', message)
            except core.OriolestandError as exc:
                self._log.warning('Tasks not written', reason=str(exc))
                await self._kernel.sleep(delay)
                delay = min(2 * delay, const.STORE_RETRY_MAX_MS)
                continue
            self._settle(changes, result, request_id)
            return

    def _settle(
        self,
        changes: Sequence[_Change],
        result: platform.TransactionResult,
        request_id: str,
    ) -> None:
        """Tell each writer its outcome; repeat those not in conflict."""
        conflicts = {row.key: row for row in result.conflicts}
        # The store forgets request ids; a row that this write made shows
        # that it was applied before its answer was lost.
        is_applied = result.applied or any(
            row.value.get('write_id') == request_id
            for row in conflicts.values()
        )
        rest = []
        for change in changes:
            if is_applied:
                stored = Stored(row=change.row, version=change.version + 1)
                change.done.callback(Outcome(is_applied=True, stored=stored))
            elif change.row.name in conflicts:
                stored = _to_stored(conflicts[change.row.name])
                change.done.callback(Outcome(is_applied=False, stored=stored))
            else:
                rest.append(change)
        if rest:
            self._commit_later(rest)


def _to_stored(row: platform.Row) -> Stored:
    """Return a task row of the table service."""
    return Stored(row=models.parse_row(row.value), version=row.version)


def _transaction(
    changes: Sequence[_Change], request_id: str
) -> platform.Transaction:
    """Return the transaction that writes rows with their index."""
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
        if change.mail:
            key = f'{change.mail}/{name}'
            puts.append(
                platform.Put(table=const.MAIL, key=key, value={'name': name})
            )
    return platform.Transaction(
        request_id=request_id, checks=tuple(checks), puts=tuple(puts)
    )
