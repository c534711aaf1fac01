"""Provide the API to show and edit the tables."""

import json
from typing import Any

from oriolestand_daemon.messages import config
from oriolestand_daemon.services.admin import _api
from oriolestand_daemon.services.admin import const
from oriolestand_daemon.services.admin import errors

TABLE_NAMES = ('routes', 'pools')


class TablesApi(_api.Api):
    """Handles ``/tables`` and the paths below it.

    ``GET /tables``, ``PUT /tables?base_version=N``, ``GET /tables/routes``,
    ``GET | PUT | DELETE /tables/routes/NAME``, the same for ``pools``,
    ``GET /tables/history?limit=N``, ``POST /tables/undo?version=N``. Edits
    accept ``edited_by`` and ``edit_id``. ``base_version`` is optional for
    edits of a single entry and for undo.
    """

    async def handle(self, call: _api.Call) -> Any:
        """Dispatch a request by its path."""
        match call.path:
            case ():
                return await self._handle_document(call)
            case ('history',):
                return await self._handle_history(call)
            case ('undo',):
                return await self._handle_undo(call)
            case (table,) if table in TABLE_NAMES:
                return await self._handle_table(call, table)
            case (table, name) if table in TABLE_NAMES:
                return await self._handle_entry(call, table, name)
        raise _api.unsupported_call(call)

    async def _handle_document(self, call: _api.Call) -> bytes:
        """Show or replace both tables."""
        if call.method not in ('GET', 'PUT'):
            raise _api.unsupported_call(call, 'GET', 'PUT')
        message: object = config.GetDocument(version=call.number('version'))
        if call.method == 'PUT':
            message = config.ApplyDocument(
                document=call.body,
                base_version=call.required_number('base_version'),
                edited_by=call.text('edited_by'),
                edit_id=_read_edit_id(call),
            )
        document: bytes = await self.ask('tables', message)
        return document

    async def _handle_history(self, call: _api.Call) -> Any:
        """Show the newest versions."""
        if call.method != 'GET':
            raise _api.unsupported_call(call, 'GET')
        limit = call.number('limit', const.HISTORY_LIMIT)
        return await self.ask('tables', config.GetHistory(limit=limit or 0))

    async def _handle_undo(self, call: _api.Call) -> Any:
        """Restore the content of an earlier version."""
        if call.method != 'POST':
            raise _api.unsupported_call(call, 'POST')
        return await self.ask(
            'tables',
            config.UndoEdit(
                version=call.required_number('version'),
                base_version=call.number('base_version'),
                edited_by=call.text('edited_by'),
                edit_id=_read_edit_id(call),
            ),
        )

    async def _get_current_document(self) -> Any:
        """Return the document in force."""
        return json.loads(await self.ask('tables', config.GetDocument()))

    async def _handle_table(self, call: _api.Call, table: str) -> Any:
        """Show all entries of one table."""
        if call.method != 'GET':
            raise _api.unsupported_call(call, 'GET')
        document = await self._get_current_document()
        return {'version': document['version'], table: document[table]}

    async def _handle_entry(
        self, call: _api.Call, table: str, name: str
    ) -> Any:
        """Show, replace or remove one entry."""
        if call.method not in ('GET', 'PUT', 'DELETE'):
            raise _api.unsupported_call(call, 'GET', 'PUT', 'DELETE')
        if call.method != 'GET':
            message = config.EditEntry(
                table=table,
                name=name,
                entry=call.body if call.method == 'PUT' else None,
                base_version=call.number('base_version'),
                edited_by=call.text('edited_by'),
                edit_id=_read_edit_id(call),
            )
            return await self.ask('tables', message)
        for entry in (await self._get_current_document())[table]:
            if entry['name'] == name:
                return entry
        raise errors.UnknownEntryError(
            'the table has no entry with this name', table=table, name=name
        )


def _read_edit_id(call: _api.Call) -> str:
    """Return the edit id; raise BadRequestError if a field is too long."""
    edit_id = call.text('edit_id')
    if len(edit_id) > 64 or len(call.text('edited_by')) > 200:
        raise errors.BadRequestError('edit_id or edited_by is too long')
    return edit_id
