"""Edit tables in the operator's editor."""

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


class Subject(abc.ABC):
    """Say what the operator sees in the editor and what it becomes."""

    @abc.abstractmethod
    def show(self, base: models.DocumentModel) -> Any:
        """Return what to edit, ready for JSON."""

    @abc.abstractmethod
    def merge(
        self, base: models.DocumentModel, text: bytes
    ) -> models.DocumentModel:
        """Return the document that the edited text makes."""


class WholeScope(Subject):
    """Edit all tables of a scope."""

    def __init__(self, scope: _scope.Scope) -> None:
        self._scope = scope

    def show(self, base: models.DocumentModel) -> Any:
        """Return the tables."""
        return self._scope.part(base)

    def merge(
        self, base: models.DocumentModel, text: bytes
    ) -> models.DocumentModel:
        """Replace the tables."""
        part = _scope.parse_part(self._scope, text, 'the text')
        return self._scope.merge(base, part)


class OneEntry(Subject):
    """Edit one route or pool."""

    def __init__(self, scope: _scope.Scope, name: str) -> None:
        self._scope = scope
        (self._table,) = scope.tables
        self._name = name

    def _index(self, entries: list[dict[str, Any]]) -> int:
        """Return where the entry is."""
        for index, entry in enumerate(entries):
            if entry['name'] == self._name:
                return index
        raise _errors.CommandError(
            f'{self._table} has no entry {self._name}',
            _errors.ExitCode.NOT_FOUND,
        )

    def show(self, base: models.DocumentModel) -> Any:
        """Return the entry."""
        entries = self._scope.part(base)[self._table]
        return entries[self._index(entries)]

    def merge(
        self, base: models.DocumentModel, text: bytes
    ) -> models.DocumentModel:
        """Replace the entry; a new name renames it."""
        entries = self._scope.part(base)[self._table]
        wrapped = b'{"%s": [%s]}' % (self._table.encode(), text)
        part = _scope.parse_part(self._scope, wrapped, 'the text')
        index = self._index(entries)
        entries[index : index + 1] = part[self._table]
        return self._scope.merge(base, {self._table: entries})


def edit(app: _app.App, subject: Subject, waiting: _changes.Waiting) -> None:
    """Open a subject in an editor until it can be applied."""
    base = _changes.load(app)
    text = _scope.dump(subject.show(base))
    while True:
        edited = click.edit(text, extension='.json')
        if edited is None or edited == text:
            _output.note('Nothing was changed.')
            return
        text = edited
        try:
            document = subject.merge(base, text.encode())
            _changes.submit(app, base, document, waiting)
            return
        except _errors.CommandError as exc:
            if exc.exit_code is _errors.ExitCode.NOT_IN_FORCE:
                raise
            if not _wants_again(exc):
                path = _keep(text)
                _output.note(f'Your text is in {path}.')
                raise


def _wants_again(exc: _errors.CommandError) -> bool:
    """Return whether the operator corrects the problems now."""
    if exc.exit_code is not _errors.ExitCode.INVALID:
        return False
    _output.note(f'Error: {exc.message}')
    for detail in exc.details:
        _output.note(f'  {detail}')
    return click.confirm('Edit again?', default=True, err=True)


def _keep(text: str) -> pathlib.Path:
    """Write the text to a file that stays; return its path."""
    with tempfile.NamedTemporaryFile(
        'w',
        encoding='utf-8',
        prefix='oriolestand-edit-',
        suffix='.json',
        delete=False,
    ) as file:
        file.write(text)
    return pathlib.Path(file.name)
