"""Compare versions of the tables, and resolve writes without an answer."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stamp:
    """Version of a document and digest of its content."""

    version: int = 0
    digest: str = ''


class Choice(enum.Enum):
    """What to do with a document that is offered."""

    ADOPT = 'adopt'
    KEEP = 'keep'
    CONFLICT = 'conflict'


def compare_stamps(in_force: Stamp, offered: Stamp) -> Choice:
    """Return whether to put an offered document in force.

    Versions only increase. The store cannot produce two documents with the
    same version: the transaction that writes version V requires that the
    current row is unchanged since it was read with V - 1, and that there is
    no history row V. A daemon distributes a document only after the store
    has confirmed it. CONFLICT therefore indicates a fault, such as a store
    that was restored from a backup.

    >>> offered = Stamp(version=2, digest='b')
    >>> compare_stamps(Stamp(version=2, digest='a'), offered)
    <Choice.CONFLICT: 'conflict'>
    """
    if offered.version > in_force.version:
        return Choice.ADOPT
    if offered.version == in_force.version and offered != in_force:
        return Choice.CONFLICT
    return Choice.KEEP


class WriteState(enum.Enum):
    """Outcome of an edit whose answer was lost."""

    IN_FORCE = 'in_force'
    NOT_IN_FORCE = 'not_in_force'
    UNDECIDED = 'undecided'


def resolve_write(
    *,
    edit_id: str,
    checked_row_version: int,
    history_edit_id: str | None,
    row_version: int,
) -> WriteState:
    """Return the outcome of a write from rows read after its answer was lost.

    ``checked_row_version`` is the row version that the write required.
    ``history_edit_id`` is the edit in the history row of the written
    version, or None if there is no such row. ``row_version`` is the version
    of the current row, which must be read before the history row. Row versions
    only increase, so a row past ``checked_row_version`` proves that the
    write can no longer be applied. An unchanged row proves nothing, as the
    write may still arrive.

    >>> resolve_write(edit_id='e', checked_row_version=4,
    ...             history_edit_id=None, row_version=4)
    <WriteState.UNDECIDED: 'undecided'>
    """
    if history_edit_id == edit_id:
        return WriteState.IN_FORCE
    if history_edit_id is not None or row_version != checked_row_version:
        return WriteState.NOT_IN_FORCE
    return WriteState.UNDECIDED
