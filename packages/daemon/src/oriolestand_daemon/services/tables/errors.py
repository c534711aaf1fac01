"""Define the errors of edits to the tables."""

from collections.abc import Sequence
from typing import Any

import oriolestand_core as core


class EditConflictError(core.OriolestandError):
    """Raise when the tables changed since the version that was edited.

    ``changes`` are lines that say what changed in between.
    """

    code = 'edit_conflict'
    http_status = 409

    def __init__(
        self, message: str, changes: Sequence[str] = (), **values: Any
    ) -> None:
        super().__init__(message, **values)
        self.changes = tuple(changes)


class StoreBehindError(core.OriolestandError):
    """Raise when the store holds a lower version than is in force."""

    code = 'store_behind'
    http_status = 409


class EditUnknownError(core.OriolestandError):
    """Raise when nothing shows whether an edit took effect."""

    code = 'edit_unknown'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 504


class StoredTablesError(core.OriolestandError):
    """Raise when a document in the store is not valid.

    It was written by a later release, or not by a daemon.
    """

    code = 'stored_tables_invalid'
    http_status = 502


class UnknownVersionError(core.OriolestandError):
    """Raise when the history does not hold a version."""

    code = 'unknown_version'
    http_status = 404


class UnknownEntryError(core.OriolestandError):
    """Raise when a table has no entry with a name."""

    code = 'unknown_entry'
    http_status = 404
