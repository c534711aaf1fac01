"""Decide which version of the tables to use and how a write ended."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stamp:
    """Identify a document: its version and the digest of its content."""

    version: int = 0
    digest: str = ''


class Choice(enum.Enum):
    """Say what to do with a document that is offered."""

    ADOPT = 'adopt'
    KEEP = 'keep'
    CONFLICT = 'conflict'


def choose(in_force: Stamp, offered: Stamp) -> Choice:
    """Return whether to put an offered document in force.

    Versions only rise. Two documents with one version cannot come from
    the store: a write of version V requires in one transaction that the
    current row is the one read, which held V - 1, and that no history row
    V exists; a daemon spreads a document only after the store confirmed
    it. CONFLICT therefore shows a fault, such as a restored store.

    >>> choose(Stamp(version=2, digest='a'), Stamp(version=2, digest='b'))
    <Choice.CONFLICT: 'conflict'>
    """
    if offered.version > in_force.version:
        return Choice.ADOPT
    if offered.version == in_force.version and offered != in_force:
        return Choice.CONFLICT
    return Choice.KEEP


class WriteState(enum.Enum):
    """Say whether an edit whose answer was lost took effect."""

    IN_FORCE = 'in_force'
    NOT_IN_FORCE = 'not_in_force'
    UNDECIDED = 'undecided'


def judge_write(
    *,
    edit_id: str,
    checked_row_version: int,
    history_edit_id: str | None,
    row_version: int,
) -> WriteState:
    """Return how a write ended from rows read after its answer was lost.

    ``history_edit_id`` is the edit stored under the written version, None
    when there is none; ``row_version`` is that of the current row, read
    before the history row. Versions of rows only rise, so a row past the
    version that the write checked proves that the write can no longer be
    applied. An unchanged row proves nothing: the write may still arrive.

    >>> judge_write(edit_id='e', checked_row_version=4,
    ...             history_edit_id=None, row_version=4)
    <WriteState.UNDECIDED: 'undecided'>
    """
    if history_edit_id == edit_id:
        return WriteState.IN_FORCE
    if history_edit_id is not None or row_version != checked_row_version:
        return WriteState.NOT_IN_FORCE
    return WriteState.UNDECIDED
