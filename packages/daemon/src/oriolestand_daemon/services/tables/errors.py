"""Define the errors of edits to the tables."""

from collections.abc import Sequence

import oriolestand_core as core


class InvalidTablesError(core.OriolestandError):
    """Raise when an edit has problems; each names the field's path."""

    code = 'invalid_tables'
    http_status = 400

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__('; '.join(problems))
        self.problems = tuple(problems)


class EditConflictError(core.OriolestandError):
    """Raise when the tables changed since the version that was edited."""

    code = 'edit_conflict'
    http_status = 409
