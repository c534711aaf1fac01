"""Editing of tables in the text editor of the operator."""

import abc
import pathlib
import tempfile
from typing import Any

import click

from oriolestand_cli import _app
from oriolestand_cli import _changes
from oriolestand_cli import _errors
from oriolestand_cli import _output
from oriolestand_cli import _scope
import oriolestand_models as models


class EditTarget(abc.ABC):
    """The part of a document that is opened in the editor."""

    @abc.abstractmethod
    def extract(self, base: models.DocumentModel) -> Any:
        """Return the part to edit as JSON values."""

    @abc.abstractmethod
    def merge(
        self, base: models.DocumentModel, text: bytes
    ) -> models.DocumentModel:
        """Return the document with the edited text merged into it."""


class ScopeTarget(EditTarget):
    """All tables of a scope."""

    def __init__(self, scope: _scope.Scope) -> None:
        self._scope = scope

    def extract(self, base: models.DocumentModel) -> Any:
        """Return the version and the tables of the scope."""
        return self._scope.extract(base)

    def merge(
        self, base: models.DocumentModel, text: bytes
    ) -> models.DocumentModel:
        """Return the document with the tables replaced."""
        part = _scope.parse_part(self._scope, text, 'the text')
        return self._scope.merge(base, part)


class EntryTarget(EditTarget):
    """One route or pool."""

    def __init__(self, scope: _scope.Scope, name: str) -> None:
        self._scope = scope
        (self._table,) = scope.tables
        self._name = name

    def _index(self, entries: list[dict[str, Any]]) -> int:
        """Return the index of the entry in its table."""
        for index, entry in enumerate(entries):
            if entry['name'] == self._name:
                return index
        raise _errors.CommandError(
            f'{self._table} has no entry {self._name}',
            _errors.ExitCode.NOT_FOUND,
        )

    def extract(self, base: models.DocumentModel) -> Any:
        """Return the entry."""
        entries = self._scope.extract(base)[self._table]
        return entries[self._index(entries)]

    def merge(
        self, base: models.DocumentModel, text: bytes
    ) -> models.DocumentModel:
        """Return the document with the entry replaced; its name may change."""
        entries = self._scope.extract(base)[self._table]
        wrapped = b'{"%s": [%s]}' % (self._table.encode(), text)
        part = _scope.parse_part(self._scope, wrapped, 'the text')
        index = self._index(entries)
        entries[index : index + 1] = part[self._table]
        return self._scope.merge(base, {self._table: entries})


def edit(
    app: _app.App, target: EditTarget, wait_options: _changes.WaitOptions
) -> None:
    """Open the editor, repeatedly if needed, and submit the edited text."""
    base = _changes.load(app)
    text = _scope.dump(target.extract(base))
    while True:
        edited = click.edit(text, extension='.json')
        if edited is None or edited == text:
            _output.print_message('Edit cancelled: the text was not changed.')
            return
        text = edited
        try:
            document = target.merge(base, text.encode())
            _changes.submit(app, base, document, wait_options)
            return
        except _errors.CommandError as exc:
            if exc.exit_code is _errors.ExitCode.NOT_IN_FORCE:
                raise
            if not _confirm_retry(exc):
                path = _save_text(text)
                _output.print_message(f'The edited text was saved to {path}.')
                raise


def _confirm_retry(exc: _errors.CommandError) -> bool:
    """Print the problems and ask whether to open the editor again."""
    if exc.exit_code is not _errors.ExitCode.INVALID:
        return False
    _output.print_message(f'Error: {exc.message}')
    for detail in exc.details:
        _output.print_message(f'  {detail}')
    return click.confirm('Edit again?', default=True, err=True)


def _save_text(text: str) -> pathlib.Path:
    """Save the text to a temporary file and return its path."""
    with tempfile.NamedTemporaryFile(
        'w',
        encoding='utf-8',
        prefix='oriolestand-edit-',
        suffix='.json',
        delete=False,
    ) as file:
        file.write(text)
    return pathlib.Path(file.name)
