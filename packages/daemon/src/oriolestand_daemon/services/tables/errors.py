"""Errors of the tables service."""

from collections.abc import Sequence
from typing import Any

import oriolestand_core as core


class EditConflictError(core.OriolestandError):
    """Raised when the tables changed since the edit's base version.

    ``changes`` has one line for each difference since then.
    """

    code = 'edit_conflict'
    http_status = 409

    def __init__(
        self, message: str, changes: Sequence[str] = (), **values: Any
    ) -> None:
        super().__init__(message, **values)
        self.changes = tuple(changes)


class StoreBehindError(core.OriolestandError):
    """Raised when the stored version is lower than the one in force."""

    code = 'store_behind'
    http_status = 409


class EditUnknownError(core.OriolestandError):
    """Raised when it is unknown whether an edit was applied."""

    code = 'edit_unknown'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 504


class StoredTablesError(core.OriolestandError):
    """Raised when a stored document is invalid.

    Either a later release wrote it, or something other than a daemon.
    """

    code = 'stored_tables_invalid'
    http_status = 502


class UnknownVersionError(core.OriolestandError):
    """Raised when a version is not in the history."""

    code = 'unknown_version'
    http_status = 404


class UnknownEntryError(core.OriolestandError):
    """Raised when a table has no entry with the requested name."""

    code = 'unknown_entry'
    http_status = 404
