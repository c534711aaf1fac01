"""Change the configuration document by compare-and-swap."""

from collections.abc import Callable
import dataclasses
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.tables import const
from oriolestand_daemon.services.tables import errors
import oriolestand_models as models
import oriolestand_platform as platform
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Hold an edit; ``make`` returns the new content from the current.

    ``base_version`` None stands for the current version.
    """

    make: Callable[[models.DocumentModel], models.DocumentModel]
    base_version: int | None
    edited_by: str
    edit_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Current:
    """Hold the stored document and the version of its row.

    The two versions are unrelated: a row's version counts all writes to
    its key, also after the row was deleted or restored.
    """

    row_version: int
    document: models.DocumentModel


class Editor:
    """Read and write the rows of the configuration."""

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel
        self._log = core.get_logger(const.DOMAIN)

    async def read_row(self, table: str, key: str) -> platform.Row | None:
        """Return a row of the platform."""
        row: platform.Row | None = await self._kernel.ask(
            'platform', store.ReadRow(table=table, key=key)
        )
        return row

    async def read_current(self) -> Current:
        """Return what the store holds; version 0 when it has nothing."""
        row = await self.read_row(const.TABLE, const.KEY)
        if row is None:
            return Current(row_version=0, document=models.DocumentModel())
        return Current(row_version=row.version, document=_parse(row))

    async def read_version(self, version: int) -> models.DocumentModel | None:
        """Return a version from the history, or None."""
        row = await self.read_row(
            const.HISTORY_TABLE, const.history_key(version)
        )
        return _parse(row) if row is not None else None

    async def apply(
        self, edit: Edit, in_force: tables.Stamp
    ) -> models.DocumentModel:
        """Write the next version and return it once it is confirmed.

        Raises InvalidTablesError, EditConflictError, StoreBehindError or a
        platform's error when the edit did not take effect, and
        EditUnknownError when that could not be found out.
        """
        current = await self.read_current()
        version = current.document.version
        base = version if edit.base_version is None else edit.base_version
        if base != version:
            return await self._settle_mismatch(edit, base, current)
        if version < in_force.version:
            # Version numbers would be used twice; see tables.choose.
            raise errors.StoreBehindError(
                'the store holds a lower version than is in force',
                stored=version,
                in_force=in_force.version,
            )
        made = edit.make(current.document)
        document = made.model_copy(
            update={
                'version': base + 1,
                'edited_by': edit.edited_by,
                'edit_id': edit.edit_id or self._kernel.ids.request_id(),
            }
        )
        models.pack(document)
        await self._check_in_use(document)
        return await self._write(document, current)

    async def _settle_mismatch(
        self, edit: Edit, base: int, current: Current
    ) -> models.DocumentModel:
        """Return the edit if it is in force already, or raise what changed.

        A client that lost our answer repeats the edit with its edit id.
        """
        done = await self.read_version(base + 1) if edit.edit_id else None
        if done is not None and done.edit_id == edit.edit_id:
            old = await self.read_version(base) or models.DocumentModel()
            if _is_repeat(edit.edit_id, edit.make(old), done):
                return done
        raise await self._conflict(base, current.document)

    async def _conflict(
        self, base: int, current: models.DocumentModel
    ) -> errors.EditConflictError:
        """Return an error with the difference from base to current."""
        if base > current.version:
            return errors.EditConflictError(
                'the base version does not exist yet',
                base_version=base,
                current_version=current.version,
            )
        old = await self.read_version(base) if base else models.DocumentModel()
        if old is None:
            return errors.EditConflictError(
                'the tables changed; the base version is not in the history',
                base_version=base,
                current_version=current.version,
            )
        return errors.EditConflictError(
            'the tables changed since the version that was edited',
            models.diff(old, current),
            base_version=base,
            current_version=current.version,
            edited_by=current.edited_by,
        )

    async def _check_in_use(self, document: models.DocumentModel) -> None:
        """Refuse a capacity below what is in use at the moment.

        Counted are the slots held at this daemon, including those of
        requests it serves for peers and of batch tasks. Slots held at
        other daemons are not counted, because they cannot be asked: they
        lower their grants only as their requests end, so the sum of
        grants stays within the former capacity in the meantime.
        """
        try:
            in_use = await self._kernel.ask(
                'dispatch', dispatch.GetSlotsInUse()
            )
        except core.UnknownServiceError:
            # Only while the daemon starts, when nothing is in use.
            return
        pools = models.to_tables(document).pools.values()
        problems = tables.find_overcommitted(pools, in_use)
        if problems:
            raise models.InvalidTablesError([str(p) for p in problems])

    async def _write(
        self, document: models.DocumentModel, current: Current
    ) -> models.DocumentModel:
        """Commit a version; read back when the answer is lost."""
        message = store.Commit(
            transaction=self._transaction(document, current.row_version)
        )
        try:
            result = await self._kernel.ask('platform', message)
            is_applied = bool(result.applied)
        except platform.StoreUnavailableError as exc:
            if exc.verdict is not core.Verdict.MAY_HAVE_RUN:
                raise
            self._log.warning(
                'Answer to an edit lost',
                edit_id=document.edit_id,
                reason=str(exc),
            )
            is_applied = await self._read_back(message, document, current)
        if is_applied:
            return document
        done = await self.read_version(document.version)
        if done is not None and _is_repeat(document.edit_id, document, done):
            # The client sent the edit twice, and the other one won.
            return done
        now = await self.read_current()
        if now.document.version < document.version:
            raise errors.StoreBehindError(
                'the history holds versions above the current one',
                stored=now.document.version,
                in_history=document.version,
            )
        raise await self._conflict(document.version - 1, now.document)

    def _transaction(
        self, document: models.DocumentModel, row_version: int
    ) -> platform.Transaction:
        """Return the write of one version.

        The check of the history row keeps a version from being written
        twice even if the current row was deleted or restored.
        """
        key = const.history_key(document.version)
        value = document.model_dump(mode='json')
        stamp = {'version': document.version, 'digest': document.digest()}
        puts = [
            _put(const.TABLE, const.KEY, value),
            _put(const.TABLE, const.STAMP_KEY, stamp),
            _put(const.HISTORY_TABLE, key, value),
        ]
        expired = document.version - const.KEPT_VERSIONS
        if expired > 0:
            expired_key = const.history_key(expired)
            puts.append(_put(const.HISTORY_TABLE, expired_key, None))
        return platform.Transaction(
            request_id=self._kernel.ids.request_id(),
            checks=(
                platform.Check(
                    table=const.TABLE, key=const.KEY, version=row_version
                ),
                platform.Check(table=const.HISTORY_TABLE, key=key, version=0),
            ),
            puts=tuple(puts),
        )

    async def _read_back(
        self,
        message: store.Commit,
        document: models.DocumentModel,
        current: Current,
    ) -> bool:
        """Return whether a write took effect, or raise EditUnknownError.

        While the rows do not tell, the transaction is sent again with its
        request id, which the platform applies at most once.
        """
        clock = self._kernel.clock
        end = clock.now() + const.READ_BACK_BUDGET_MS
        while True:
            try:
                state = await self._judge(document, current)
                if state is not tables.WriteState.UNDECIDED:
                    return state is tables.WriteState.IN_FORCE
                result = await self._kernel.ask('platform', message)
                if result.applied:
                    return True
            except core.OriolestandError as exc:
                # Whatever went wrong here says nothing about the write.
                self._log.debug('Read-back failed', reason=str(exc))
            if clock.now() >= end:
                raise errors.EditUnknownError(
                    'the store did not tell whether the edit took effect; '
                    'look for its edit id in the history',
                    edit_id=document.edit_id,
                    version=document.version,
                )
            await self._kernel.sleep(const.READ_BACK_PAUSE_MS)

    async def _judge(
        self, document: models.DocumentModel, current: Current
    ) -> tables.WriteState:
        """Read the rows in the order that judge_write requires."""
        row = await self.read_row(const.TABLE, const.KEY)
        written = await self.read_version(document.version)
        return tables.judge_write(
            edit_id=document.edit_id,
            checked_row_version=current.row_version,
            history_edit_id=written.edit_id if written is not None else None,
            row_version=row.version if row is not None else 0,
        )


def _parse(row: platform.Row) -> models.DocumentModel:
    """Return a stored document, or raise StoredTablesError."""
    try:
        return models.parse_document(row.value)
    except models.InvalidTablesError as exc:
        raise errors.StoredTablesError(
            'a stored document is not valid',
            table=row.table,
            key=row.key,
            reason=str(exc)[:200],
        ) from exc


def _put(table: str, key: str, value: Any) -> platform.Put:
    """Return a put of one row."""
    return platform.Put(table=table, key=key, value=value)


def _is_repeat(
    edit_id: str, made: models.DocumentModel, done: models.DocumentModel
) -> bool:
    """Return whether a stored version is the same edit."""
    return (edit_id, made.routes, made.pools) == (
        done.edit_id,
        done.routes,
        done.pools,
    )
