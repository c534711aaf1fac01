"""Conversion of operators' messages into edits."""

from typing import Any

from oriolestand_daemon.messages import config
from oriolestand_daemon.services.tables import _editor
from oriolestand_daemon.services.tables import errors
import oriolestand_models as models


def replace_document(msg: config.ApplyDocument) -> _editor.Edit:
    """Return the edit that replaces all routes and pools.

    :raises InvalidTablesError: if the document is invalid.
    """
    document = models.parse_bytes(msg.document)
    return _editor.Edit(
        make_content=lambda _: document,
        base_version=msg.base_version,
        edited_by=msg.edited_by,
        edit_id=msg.edit_id,
    )


def replace_entry(msg: config.EditEntry) -> _editor.Edit:
    """Return the edit that replaces, adds or removes one entry.

    :raises InvalidTablesError: if the entry is invalid.
    """
    entry = None
    if msg.entry is not None:
        entry = _parse_entry(msg)

    def make_content(current: models.DocumentModel) -> models.DocumentModel:
        data = current.model_dump(mode='json')
        data[msg.table] = _replace(data[msg.table], msg, entry)
        return models.parse_document(data)

    return _editor.Edit(
        make_content=make_content,
        base_version=msg.base_version,
        edited_by=msg.edited_by,
        edit_id=msg.edit_id,
    )


def _parse_entry(msg: config.EditEntry) -> dict[str, Any]:
    """Parse the entry in a message; its name defaults to the message's."""
    try:
        entry = models.parse_json(msg.entry or b'')
    except ValueError as exc:
        raise models.InvalidTablesError([f'.: not valid JSON: {exc}']) from exc
    if not isinstance(entry, dict):
        raise models.InvalidTablesError(['.: the entry is not a JSON object'])
    if entry.setdefault('name', msg.name) != msg.name:
        raise models.InvalidTablesError(
            [f'name: must be {msg.name}, as in the path']
        )
    return entry


def _replace(
    entries: list[dict[str, Any]],
    msg: config.EditEntry,
    entry: dict[str, Any] | None,
) -> list[dict[str, Any]]:
    """Return a table with one entry replaced, added or removed."""
    names = [item['name'] for item in entries]
    if msg.name not in names:
        if entry is None:
            raise errors.UnknownEntryError(
                'no entry with this name', table=msg.table, name=msg.name
            )
        return [*entries, entry]
    index = names.index(msg.name)
    replacement = [] if entry is None else [entry]
    return [*entries[:index], *replacement, *entries[index + 1 :]]


def restore(
    msg: config.UndoEdit, old: models.DocumentModel | None
) -> _editor.Edit:
    """Return the edit that restores the content of an old version.

    :raises UnknownVersionError: if the version is not in the history.
    """
    if old is None and msg.version != 0:
        raise errors.UnknownVersionError(
            'this version is not in the history', version=msg.version
        )
    document = old or models.DocumentModel()
    return _editor.Edit(
        make_content=lambda _: document,
        base_version=msg.base_version,
        edited_by=msg.edited_by,
        edit_id=msg.edit_id,
    )
