"""Compare-and-swap edits of the stored configuration document."""

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
    """An edit of the configuration document.

    ``make_content`` returns the new content from the current document.
    ``base_version`` is None for an edit of the current version, whatever it
    is.
    """

    make_content: Callable[[models.DocumentModel], models.DocumentModel]
    base_version: int | None
    edited_by: str
    edit_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredDocument:
    """The stored document and the version of its row.

    The two versions are unrelated: the version of a row counts all writes to
    its key, including those that delete or restore the row.
    """

    row_version: int
    document: models.DocumentModel


class Editor:
    """Reads and writes the rows of the configuration."""

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel
        self._log = core.get_logger(const.DOMAIN)

    async def read_row(self, table: str, key: str) -> platform.Row | None:
        """Return a row of a platform table, or None."""
        row: platform.Row | None = await self._kernel.ask(
            'platform', store.ReadRow(table=table, key=key)
        )
        return row

    async def read_current(self) -> StoredDocument:
        """Return the stored document, or an empty one at version 0."""
        row = await self.read_row(const.TABLE, const.KEY)
        if row is None:
            return StoredDocument(
                row_version=0, document=models.DocumentModel()
            )
        return StoredDocument(row_version=row.version, document=_parse(row))

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

        Errors of the platform mean that the edit was not applied.

        :raises InvalidTablesError: if the new document is invalid.
        :raises EditConflictError: if the base version is not current.
        :raises StoreBehindError: if the store lost newer versions.
        :raises EditUnknownError: if the outcome is unknown.
        """
        current = await self.read_current()
        version = current.document.version
        base = version if edit.base_version is None else edit.base_version
        if base != version:
            return await self._resolve_mismatch(edit, base, current)
        if version < in_force.version:
            # The next version number is already in use; see
            # tables.compare_stamps.
            raise errors.StoreBehindError(
                'the stored version is lower than the version in force',
                stored=version,
                in_force=in_force.version,
            )
        content = edit.make_content(current.document)
        document = content.model_copy(
            update={
                'version': base + 1,
                'edited_by': edit.edited_by,
                'edit_id': edit.edit_id or self._kernel.ids.request_id(),
            }
        )
        models.compress_document(document)
        await self._check_capacity(document)
        return await self._write(document, current)

    async def _resolve_mismatch(
        self, edit: Edit, base: int, current: StoredDocument
    ) -> models.DocumentModel:
        """Return the stored document if the edit was applied before.

        A client that did not get the answer repeats the edit with the same
        edit id.

        :raises EditConflictError: if it was not applied.
        """
        existing = await self.read_version(base + 1) if edit.edit_id else None
        if existing is not None and existing.edit_id == edit.edit_id:
            old = await self.read_version(base) or models.DocumentModel()
            if _is_repeat(edit.edit_id, edit.make_content(old), existing):
                return existing
        raise await self._make_conflict_error(base, current.document)

    async def _make_conflict_error(
        self, base: int, current: models.DocumentModel
    ) -> errors.EditConflictError:
        """Return a conflict error with the changes from base to current."""
        if base > current.version:
            return errors.EditConflictError(
                'the base version does not exist yet',
                base_version=base,
                current_version=current.version,
            )
        old = await self.read_version(base) if base else models.DocumentModel()
        if old is None:
            return errors.EditConflictError(
                'the tables changed; the history lacks the base version',
                base_version=base,
                current_version=current.version,
            )
        return errors.EditConflictError(
            'the tables changed since the base version',
            models.diff(old, current),
            base_version=base,
            current_version=current.version,
            edited_by=current.edited_by,
        )

    async def _check_capacity(self, document: models.DocumentModel) -> None:
        """Reject a capacity that is lower than the slots in use.

        Only the slots in use at this daemon count, including those of batch
        tasks and of requests that it serves for peers. The slots in use at
        other daemons are unknown here. Those daemons lower their grants only
        as their requests end, so until then the sum of grants stays within
        the former capacity.

        :raises InvalidTablesError: if a capacity is too low.
        """
        try:
            in_use = await self._kernel.ask(
                'dispatch', dispatch.GetSlotsInUse()
            )
        except core.UnknownServiceError:
            # The daemon is starting, so no slots are in use.
            return
        pools = models.to_tables(document).pools.values()
        problems = tables.find_overcommitted(pools, in_use)
        if problems:
            raise models.InvalidTablesError([str(p) for p in problems])

    async def _write(
        self, document: models.DocumentModel, current: StoredDocument
    ) -> models.DocumentModel:
        """Commit a version; if the answer is lost, determine the outcome."""
        message = store.Commit(
            transaction=self._build_transaction(document, current.row_version)
        )
        try:
            result = await self._kernel.ask('platform', message)
            is_applied = bool(result.applied)
        except platform.StoreUnavailableError as exc:
            if exc.verdict is not core.Verdict.MAY_HAVE_RUN:
                raise
            self._log.warning(
                'No answer to an edit, reading it back',
                edit_id=document.edit_id,
                reason=str(exc),
            )
            is_applied = await self._read_back(message, document, current)
        if is_applied:
            return document
        existing = await self.read_version(document.version)
        if existing is not None and _is_repeat(
            document.edit_id, document, existing
        ):
            # The client sent the edit twice, and the other copy was applied.
            return existing
        latest = await self.read_current()
        if latest.document.version < document.version:
            raise errors.StoreBehindError(
                'the history has versions above the current one',
                stored=latest.document.version,
                in_history=document.version,
            )
        raise await self._make_conflict_error(
            document.version - 1, latest.document
        )

    def _build_transaction(
        self, document: models.DocumentModel, row_version: int
    ) -> platform.Transaction:
        """Build the transaction that writes one version.

        The check of the history row prevents that a version is written twice
        even if the current row was deleted or restored.
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
        current: StoredDocument,
    ) -> bool:
        """Return whether a write without an answer was applied.

        While the rows do not decide this, the transaction is sent again with
        the same request id, which the platform applies at most once.

        :raises EditUnknownError: if the outcome is still unknown after
            ``READ_BACK_BUDGET_MS``.
        """
        clock = self._kernel.clock
        end = clock.now() + const.READ_BACK_BUDGET_MS
        while True:
            try:
                state = await self._read_write_state(document, current)
                if state is not tables.WriteState.UNDECIDED:
                    return state is tables.WriteState.IN_FORCE
                result = await self._kernel.ask('platform', message)
                if result.applied:
                    return True
            except core.OriolestandError as exc:
                # A failure here does not tell whether the write was applied.
                self._log.debug('Read-back failed', reason=str(exc))
            if clock.now() >= end:
                raise errors.EditUnknownError(
                    'the store did not answer whether the edit was applied; '
                    'check the history for its edit id',
                    edit_id=document.edit_id,
                    version=document.version,
                )
            await self._kernel.sleep(const.READ_BACK_PAUSE_MS)

    async def _read_write_state(
        self, document: models.DocumentModel, current: StoredDocument
    ) -> tables.WriteState:
        """Read the rows of a write in the order resolve_write requires."""
        row = await self.read_row(const.TABLE, const.KEY)
        written = await self.read_version(document.version)
        return tables.resolve_write(
            edit_id=document.edit_id,
            checked_row_version=current.row_version,
            history_edit_id=written.edit_id if written is not None else None,
            row_version=row.version if row is not None else 0,
        )


def _parse(row: platform.Row) -> models.DocumentModel:
    """Parse a stored document.

    :raises StoredTablesError: if it is invalid.
    """
    try:
        return models.parse_document(row.value)
    except models.InvalidTablesError as exc:
        raise errors.StoredTablesError(
            'a stored document is invalid',
            table=row.table,
            key=row.key,
            reason=str(exc)[:200],
        ) from exc


def _put(table: str, key: str, value: Any) -> platform.Put:
    """Return the write of one row."""
    return platform.Put(table=table, key=key, value=value)


def _is_repeat(
    edit_id: str, content: models.DocumentModel, existing: models.DocumentModel
) -> bool:
    """Return whether a stored version was written by the same edit."""
    return (edit_id, content.routes, content.pools) == (
        existing.edit_id,
        existing.routes,
        existing.pools,
    )
