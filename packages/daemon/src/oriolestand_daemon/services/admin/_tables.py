"""Show, change and undo the tables."""

import json
from typing import Any

from oriolestand_daemon.messages import config
from oriolestand_daemon.services.admin import _api
from oriolestand_daemon.services.admin import const
from oriolestand_daemon.services.admin import errors

TABLES = ('routes', 'pools')


class TablesApi(_api.Api):
    """Answer below ``/tables``.

    ``GET /tables``, ``PUT /tables?base_version=N``, ``GET /tables/routes``,
    ``GET | PUT | DELETE /tables/routes/NAME``, the same for ``pools``,
    ``GET /tables/history?limit=N``, ``POST /tables/undo?version=N``. Edits
    take ``edited_by`` and ``edit_id``; those of one entry and undo may omit
    ``base_version``.
    """

    async def handle(self, call: _api.Call) -> Any:
        """Answer a request."""
        match call.path:
            case ():
                return await self._document(call)
            case ('history',):
                return await self._history(call)
            case ('undo',):
                return await self._undo(call)
            case (table,) if table in TABLES:
                return await self._list(call, table)
            case (table, name) if table in TABLES:
                return await self._entry(call, table, name)
        raise _api.refuse(call)

    async def _document(self, call: _api.Call) -> bytes:
        """Show or replace both tables."""
        if call.method not in ('GET', 'PUT'):
            raise _api.refuse(call, 'GET', 'PUT')
        message: object = config.GetDocument(version=call.number('version'))
        if call.method == 'PUT':
            message = config.ApplyDocument(
                document=call.body,
                base_version=call.required('base_version'),
                edited_by=call.text('edited_by'),
                edit_id=_edit_id(call),
            )
        document: bytes = await self.ask('tables', message)
        return document

    async def _history(self, call: _api.Call) -> Any:
        """Show the newest versions."""
        if call.method != 'GET':
            raise _api.refuse(call, 'GET')
        limit = call.number('limit', const.HISTORY_LIMIT)
        return await self.ask('tables', config.GetHistory(limit=limit or 0))

    async def _undo(self, call: _api.Call) -> Any:
        """Bring the content of an old version back."""
        if call.method != 'POST':
            raise _api.refuse(call, 'POST')
        return await self.ask(
            'tables',
            config.UndoEdit(
                version=call.required('version'),
                base_version=call.number('base_version'),
                edited_by=call.text('edited_by'),
                edit_id=_edit_id(call),
            ),
        )

    async def _load(self) -> Any:
        """Return the document in force."""
        return json.loads(await self.ask('tables', config.GetDocument()))

    async def _list(self, call: _api.Call, table: str) -> Any:
        """Show one table."""
        if call.method != 'GET':
            raise _api.refuse(call, 'GET')
        document = await self._load()
        return {'version': document['version'], table: document[table]}

    async def _entry(self, call: _api.Call, table: str, name: str) -> Any:
        """Show, replace or remove one entry."""
        if call.method not in ('GET', 'PUT', 'DELETE'):
            raise _api.refuse(call, 'GET', 'PUT', 'DELETE')
        if call.method != 'GET':
            message = config.EditEntry(
                table=table,
                name=name,
                entry=call.body if call.method == 'PUT' else None,
                base_version=call.number('base_version'),
                edited_by=call.text('edited_by'),
                edit_id=_edit_id(call),
            )
            return await self.ask('tables', message)
        for entry in (await self._load())[table]:
            if entry['name'] == name:
                return entry
        raise errors.UnknownEntryError(
            'no entry has this name', table=table, name=name
        )


def _edit_id(call: _api.Call) -> str:
    """Return the client's id of an edit."""
    edit_id = call.text('edit_id')
    if len(edit_id) > 64 or len(call.text('edited_by')) > 200:
        raise errors.BadRequestError('edit_id or edited_by is too long')
    return edit_id
