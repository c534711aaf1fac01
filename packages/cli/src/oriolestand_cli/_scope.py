"""Define which of the two tables a group of commands works on."""

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
    """Name the tables that a command shows and replaces."""

    name: str
    tables: tuple[str, ...]

    def part(self, document: models.DocumentModel) -> dict[str, Any]:
        """Return the version and this scope's tables, ready for JSON."""
        data = document.model_dump(mode='json')
        return {key: data[key] for key in ('version', *self.tables)}

    def merge(
        self, base: models.DocumentModel, part: Mapping[str, Any]
    ) -> models.DocumentModel:
        """Return a document with this scope's tables replaced."""
        data = base.model_dump(mode='json')
        for table in self.tables:
            if table in part:
                data[table] = part[table]
        return parse(data)

    def is_concerned(self, change: str) -> bool:
        """Return whether a line of a difference is about this scope."""
        return change.startswith(tuple(f'{t}.' for t in self.tables))


SCOPES = (
    Scope(name='routes', tables=('routes',)),
    Scope(name='pools', tables=('pools',)),
    Scope(name='tables', tables=('routes', 'pools')),
)


def parse(data: Any) -> models.DocumentModel:
    """Return a document, or raise a CommandError with all problems."""
    try:
        return models.parse_document(data)
    except models.InvalidTablesError as exc:
        raise _errors.CommandError(
            'the tables have problems',
            _errors.ExitCode.INVALID,
            exc.problems,
            code=exc.code,
        ) from exc


def parse_part(scope: Scope, text: bytes, source: str) -> dict[str, Any]:
    """Return what a file or an editor holds.

    It is an object with the scope's tables and, optionally, ``version``,
    the version that it is based on.
    """
    try:
        part = models.parse_json(text)
    except ValueError as exc:
        raise _invalid(source, f'.: not valid JSON: {exc}') from exc
    if not isinstance(part, dict):
        raise _invalid(source, '.: not an object')
    known = {'version', 'edited_by', 'edit_id', *scope.tables}
    unknown = sorted(set(part) - known)
    if unknown:
        raise _invalid(
            source,
            *(f'{key}: not part of {scope.name}' for key in unknown),
        )
    version = part.get('version', 0)
    if not isinstance(version, int) or isinstance(version, bool):
        raise _invalid(source, 'version: not a number')
    if not set(scope.tables) & set(part):
        raise _invalid(source, f'.: has none of {", ".join(scope.tables)}')
    return part


def _invalid(source: str, *problems: str) -> _errors.CommandError:
    """Return the error for input that is not a part of the tables."""
    return _errors.CommandError(
        f'{source} has problems', _errors.ExitCode.INVALID, problems
    )


def read_file(path: str) -> bytes:
    """Return the bytes of a file; ``-`` stands for standard input."""
    if path == '-':
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise _errors.CommandError(
            f'{path}: {exc.strerror}', _errors.ExitCode.INVALID
        ) from exc


def dump(value: Any) -> str:
    """Return the JSON that an operator edits."""
    return json.dumps(value, indent=2) + '\n'
