"""Poll, change and announce the configuration document."""

import json
import pathlib
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.tables import const
from oriolestand_daemon.services.tables import errors
from oriolestand_daemon.services.tables import models
import oriolestand_platform as platform


class TablesTask(core.Task):
    """Own the version of the tables that is in force here."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._document = models.DocumentModel()
        self._timer: Any = None

    async def _start(self) -> None:
        """Load the first version and begin to poll."""
        if self._cfg.tables_file:
            text = pathlib.Path(self._cfg.tables_file).read_bytes()
            await self._apply(
                config.ApplyDocument(
                    document=text, base_version=0, edited_by='tables_file'
                )
            )
        await self._poll()

    def start(self) -> object:
        """Load the first version and begin to poll."""
        return defer.ensureDeferred(self._start())

    async def _poll(self) -> None:
        """Read the document and schedule the next poll."""
        try:
            row = await self.kernel.ask(
                'platform', store.ReadRow(table=const.TABLE, key=const.KEY)
            )
            if row is not None:
                self._adopt(models.parse_document(row.value))
        except core.OriolestandError as exc:
            self._log.warning('Tables not read', reason=str(exc))
        if not self.is_stopped:
            self._timer = self.kernel.clock.call_later(
                const.POLL_INTERVAL_MS,
                lambda: defer.ensureDeferred(self._poll()),
            )

    def _adopt(self, document: models.DocumentModel) -> None:
        """Put a document in force if its version is higher."""
        if document.version <= self._document.version:
            return
        self._document = document
        self._log.info('Tables in force', version=document.version)
        self.kernel.publish(
            config.TablesChanged(
                tables=models.to_tables(document), document=self._dump()
            ),
            is_state=True,
        )

    def _dump(self) -> bytes:
        """Return the document as JSON."""
        return self._document.model_dump_json().encode()

    @core.handles(config.GetDocument)
    def _on_get(self, msg: config.GetDocument) -> bytes:
        """Return the document in force."""
        return self._dump()

    @core.handles(config.ReceivedTables)
    def _on_received(self, msg: config.ReceivedTables) -> None:
        """Take a higher version from a peer."""
        self._adopt(models.parse_bytes(msg.document))

    @core.handles(config.ApplyDocument)
    def _on_apply(self, msg: config.ApplyDocument) -> 'defer.Deferred[bytes]':
        """Change the tables by compare-and-swap."""
        return defer.ensureDeferred(self._apply(msg))

    async def _apply(self, msg: config.ApplyDocument) -> bytes:
        """Write the next version, or raise why it was refused."""
        edited = models.parse_bytes(msg.document)
        edit_id = self.kernel.ids.request_id()
        document = edited.model_copy(
            update={
                'version': msg.base_version + 1,
                'edited_by': msg.edited_by,
                'edit_id': edit_id,
            }
        )
        value = json.loads(document.model_dump_json())
        history_key = f'{document.version:012d}'
        result = await self.kernel.ask(
            'platform',
            store.Commit(
                transaction=platform.Transaction(
                    request_id=edit_id,
                    checks=(
                        platform.Check(
                            table=const.TABLE,
                            key=const.KEY,
                            version=msg.base_version,
                        ),
                    ),
                    puts=(
                        platform.Put(
                            table=const.TABLE, key=const.KEY, value=value
                        ),
                        platform.Put(
                            table=const.HISTORY_TABLE,
                            key=history_key,
                            value=value,
                        ),
                    ),
                )
            ),
        )
        if not result.applied:
            raise errors.EditConflictError(
                'the tables changed since', base_version=msg.base_version
            )
        self._adopt(document)
        return self._dump()

    def stop(self) -> object:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
        return super().stop()
