"""Selection of the tables (routes, pools or both) that commands act on."""

from collections.abc import Mapping
import dataclasses
import json
import pathlib
import sys
from typing import Any

from oriolestand_cli import _errors
import oriolestand_models as models


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scope:
    """The tables that a group of commands shows and replaces."""

    name: str
    tables: tuple[str, ...]

    def extract(self, document: models.DocumentModel) -> dict[str, Any]:
        """Return the version and the tables of this scope as JSON values."""
        data = document.model_dump(mode='json')
        return {key: data[key] for key in ('version', *self.tables)}

    def merge(
        self, base: models.DocumentModel, part: Mapping[str, Any]
    ) -> models.DocumentModel:
        """Return a copy of a document with the tables in ``part`` replaced."""
        data = base.model_dump(mode='json')
        for table in self.tables:
            if table in part:
                data[table] = part[table]
        return parse(data)

    def covers(self, change: str) -> bool:
        """Return whether a line of a diff concerns a table of this scope."""
        return change.startswith(tuple(f'{t}.' for t in self.tables))


SCOPES = (
    Scope(name='routes', tables=('routes',)),
    Scope(name='pools', tables=('pools',)),
    Scope(name='tables', tables=('routes', 'pools')),
)


def parse(data: Any) -> models.DocumentModel:
    """Return a validated document.

    :raises CommandError: with all problems, if the data is invalid.
    """
    try:
        return models.parse_document(data)
    except models.InvalidTablesError as exc:
        raise _errors.CommandError(
            'the tables are invalid',
            _errors.ExitCode.INVALID,
            exc.problems,
            code=exc.code,
        ) from exc


def parse_part(scope: Scope, text: bytes, source: str) -> dict[str, Any]:
    """Parse the tables of a scope from a file or from an editor.

    The text is a JSON object with tables of the scope and, optionally,
    ``version``, the version that it is based on.

    :param source: where the text comes from, for error messages.
    :raises CommandError: if the text is invalid.
    """
    try:
        part = models.parse_json(text)
    except ValueError as exc:
        raise _invalid_input(source, f'.: not valid JSON: {exc}') from exc
    if not isinstance(part, dict):
        raise _invalid_input(source, '.: not an object')
    allowed = {'version', 'edited_by', 'edit_id', *scope.tables}
    unknown = sorted(set(part) - allowed)
    if unknown:
        raise _invalid_input(
            source,
            *(f'{key}: not part of {scope.name}' for key in unknown),
        )
    version = part.get('version', 0)
    if not isinstance(version, int) or isinstance(version, bool):
        raise _invalid_input(source, 'version: not a number')
    if not set(scope.tables) & set(part):
        raise _invalid_input(
            source, f'.: has none of {", ".join(scope.tables)}'
        )
    return part


def _invalid_input(source: str, *problems: str) -> _errors.CommandError:
    """Return the error that lists the problems of an input."""
    return _errors.CommandError(
        f'{source} is invalid', _errors.ExitCode.INVALID, problems
    )


def read_file(path: str) -> bytes:
    """Return the content of a file; ``-`` reads standard input."""
    if path == '-':
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise _errors.CommandError(
            f'{path}: {exc.strerror}', _errors.ExitCode.INVALID
        ) from exc


def dump(value: Any) -> str:
    """Return a value as indented JSON text for an operator to edit."""
    return json.dumps(value, indent=2) + '\n'
