"""Task that polls, edits and publishes the configuration document."""

import collections
import pathlib
from typing import Any

import pydantic
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.tables import _editor
from oriolestand_daemon.services.tables import _edits
from oriolestand_daemon.services.tables import _instances
from oriolestand_daemon.services.tables import const
from oriolestand_daemon.services.tables import errors
import oriolestand_models as models
from oriolestand_policy import tables


class _StampModel(pydantic.BaseModel):
    """The stamp row, which is polled for changes."""

    version: int = pydantic.Field(ge=1)
    digest: str


class TablesTask(core.Task):
    """Holds the tables in force at this daemon and keeps them current."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._editor = _editor.Editor(kernel)
        self._instances = _instances.InstanceTracker(cfg, kernel.incarnation)
        self._document = models.DocumentModel()
        self._packed = b''
        self._stamp = tables.Stamp()
        self._adoptions: collections.deque[config.Adoption] = (
            collections.deque(maxlen=const.KEPT_ADOPTIONS)
        )
        self._store_version: int | None = None
        self._store_error = ''
        self._conflicting_digest = ''
        self._timer: Any = None

    def start(self) -> object:
        """Load the first version and start to poll."""
        self.kernel.subscribe(membership.MembershipChanged, self)
        self.kernel.subscribe(membership.PeerConnected, self)
        self.kernel.subscribe(membership.PeerDisconnected, self)
        return defer.ensureDeferred(self._load_and_poll())

    async def _load_and_poll(self) -> None:
        """Write the tables file, if any, to an empty store; start polling."""
        if self._cfg.tables_file:
            text = pathlib.Path(self._cfg.tables_file).read_bytes()
            msg = config.ApplyDocument(
                document=text, base_version=0, edited_by='tables_file'
            )
            edit = _edits.replace_document(msg)
            try:
                await self._apply(edit)
            except models.InvalidTablesError:
                raise
            except core.OriolestandError as exc:
                # The store already has tables or is unreachable.
                self._log.warning('Tables file not used', reason=str(exc))
        await self._poll()

    async def _poll(self) -> None:
        """Check the store for a new version and schedule the next poll."""
        try:
            await self._refresh()
            self._store_error = ''
        except core.OriolestandError as exc:
            if exc.code != self._store_error:
                self._log.warning(
                    'Cannot read tables from the store', reason=str(exc)
                )
            self._store_error = exc.code
        finally:
            # Unexpected errors must not end the polling either.
            if not self.is_stopped:
                self._timer = self.kernel.clock.call_later(
                    const.POLL_INTERVAL_MS, self._start_poll
                )

    def _start_poll(self) -> None:
        """Poll in the background and log unexpected errors."""
        fut = defer.ensureDeferred(self._poll())
        fut.addErrback(
            lambda reason: self._log.error(
                'Tables poll failed', reason=reason.getTraceback()
            )
        )

    async def _refresh(self) -> None:
        """Adopt the stored document if its stamp differs."""
        before = self._stamp
        row = await self._editor.read_row(const.TABLE, const.STAMP_KEY)
        if row is not None and before == _parse_stamp(row.value):
            self._store_version = before.version
            return
        current = (await self._editor.read_current()).document
        # Compare with the version in force before the reads, as an edit or a
        # peer may have brought a higher one during them.
        is_behind = current.version < before.version
        if is_behind and self._store_version != current.version:
            self._log.warning(
                'Stored tables are older than the tables in force',
                stored=current.version,
                in_force=before.version,
            )
        self._store_version = current.version
        self._adopt(current, 'store')

    def _adopt(self, document: models.DocumentModel, source: str) -> None:
        """Put a document in force if its version is higher."""
        stamp = document.stamp()
        if not document.version:
            return
        choice = tables.compare_stamps(self._stamp, stamp)
        if choice is tables.Choice.CONFLICT:
            self._report_conflict(stamp, source)
        if choice is not tables.Choice.ADOPT:
            return
        packed = models.compress_document(document)
        self._document = document
        self._packed = packed
        self._stamp = stamp
        self._conflicting_digest = ''
        self._adoptions.append(
            config.Adoption(
                version=stamp.version,
                digest=stamp.digest,
                wall_ms=self.kernel.clock.wall(),
                source=source,
            )
        )
        self._log.info(
            'New tables in force',
            version=stamp.version,
            digest=stamp.digest,
            source=source,
        )
        self.kernel.publish(
            config.TablesChanged(
                tables=models.to_tables(document), document=self._packed
            ),
            is_state=True,
        )

    def _report_conflict(self, stamp: tables.Stamp, source: str) -> None:
        """Report that another document has the version in force.

        The document in force stays.
        """
        if self._conflicting_digest != stamp.digest:
            self._log.error(
                'Two different documents have the same version',
                version=stamp.version,
                in_force=self._stamp.digest,
                other=stamp.digest,
                source=source,
            )
        self._conflicting_digest = stamp.digest

    async def _apply(self, edit: _editor.Edit) -> bytes:
        """Apply an edit, put the document in force here and return it."""
        document = await self._editor.apply(edit, self._stamp)
        self._adopt(document, 'edit')
        return document.dump()

    @core.handles(config.DeliverTables)
    def _on_deliver_tables(self, msg: config.DeliverTables) -> None:
        """Record a peer's version; adopt its document if it is newer."""
        if msg.document == self._packed:
            self._instances.record_version(msg.peer, self._stamp)
            return
        try:
            document = models.decompress_document(msg.document)
        except models.InvalidTablesError as exc:
            self._log.warning(
                'Invalid tables received from a peer',
                peer=msg.peer,
                reason=str(exc),
            )
            return
        self._instances.record_version(msg.peer, document.stamp())
        self._adopt(document, msg.peer)

    @core.handles(config.ApplyDocument)
    def _on_apply_document(
        self, msg: config.ApplyDocument
    ) -> 'defer.Deferred[bytes]':
        """Replace the tables."""
        edit = _edits.replace_document(msg)
        return defer.ensureDeferred(self._apply(edit))

    @core.handles(config.EditEntry)
    def _on_edit_entry(self, msg: config.EditEntry) -> 'defer.Deferred[bytes]':
        """Replace, add or remove one route or pool."""
        edit = _edits.replace_entry(msg)
        return defer.ensureDeferred(self._apply(edit))

    @core.handles(config.UndoEdit)
    def _on_undo_edit(self, msg: config.UndoEdit) -> 'defer.Deferred[bytes]':
        """Restore the content of an old version as a new version."""
        return defer.ensureDeferred(self._undo(msg))

    async def _undo(self, msg: config.UndoEdit) -> bytes:
        """Read the old version and apply its content."""
        old = await self._editor.read_version(msg.version)
        return await self._apply(_edits.restore(msg, old))

    @core.handles(config.GetDocument)
    def _on_get_document(self, msg: config.GetDocument) -> Any:
        """Return the document in force or a version from the history."""
        if msg.version in (None, self._stamp.version):
            return self._document.dump()
        return defer.ensureDeferred(self._read_version(msg.version or 0))

    async def _read_version(self, version: int) -> bytes:
        """Return a version from the history."""
        document = await self._editor.read_version(version)
        if document is None and version == 0:
            return models.DocumentModel().dump()
        if document is None:
            raise errors.UnknownVersionError(
                'this version is not in the history', version=version
            )
        return document.dump()

    @core.handles(config.GetHistory)
    def _on_get_history(self, msg: config.GetHistory) -> Any:
        """Return the newest versions with their changes."""
        return defer.ensureDeferred(self._history(msg.limit))

    async def _history(self, limit: int) -> tuple[config.HistoryEntry, ...]:
        """Read versions in descending order with the changes of each."""
        newest = (await self._editor.read_current()).document
        entries: list[config.HistoryEntry] = []
        while newest.version and len(entries) < min(limit, const.MAX_HISTORY):
            older = await self._editor.read_version(newest.version - 1)
            base = older or models.DocumentModel()
            entries.append(
                config.HistoryEntry(
                    version=newest.version,
                    edited_by=newest.edited_by,
                    edit_id=newest.edit_id,
                    digest=newest.digest(),
                    changes=tuple(models.diff(base, newest)),
                )
            )
            newest = base
        return tuple(entries)

    @core.handles(config.GetTablesStatus)
    def _on_status(self, msg: config.GetTablesStatus) -> config.TablesStatus:
        """Return the version in force here and the state of the store."""
        return config.TablesStatus(
            version=self._stamp.version,
            digest=self._stamp.digest,
            is_known=bool(self._stamp.version or self._store_version == 0),
            store_version=self._store_version,
            store_error=self._store_error,
            conflicting_digest=self._conflicting_digest,
            adoptions=tuple(self._adoptions),
        )

    @core.handles(config.GetInstances)
    def _on_instances(
        self, msg: config.GetInstances
    ) -> tuple[config.InstanceStatus, ...]:
        """Return all instances and the versions they have in force."""
        return self._instances.statuses(self._stamp)

    @core.handles(membership.PeerConnected)
    def _on_connected(self, msg: membership.PeerConnected) -> None:
        """Track a connected peer."""
        self._instances.add_peer(msg)

    @core.handles(membership.PeerDisconnected)
    def _on_disconnected(self, msg: membership.PeerDisconnected) -> None:
        """Mark a peer as disconnected."""
        self._instances.mark_disconnected(msg.instance_id)

    @core.handles(membership.MembershipChanged)
    def _on_membership(self, msg: membership.MembershipChanged) -> None:
        """Track the listed instances."""
        self._instances.set_listed(msg)

    def stop(self) -> object:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
        return super().stop()


def _parse_stamp(value: dict[str, Any]) -> tables.Stamp:
    """Parse the stamp row.

    :raises StoredTablesError: if it is invalid.
    """
    try:
        model = _StampModel.model_validate(value)
    except pydantic.ValidationError as exc:
        raise errors.StoredTablesError(
            'the stored stamp is invalid', reason=str(exc)[:200]
        ) from exc
    return tables.Stamp(version=model.version, digest=model.digest)
