"""Adopt tasks that no daemon controls."""

import dataclasses

from oriolestand_policy.batch import _row


def adopt(row: _row.TaskRow, controller: str) -> _row.TaskRow | None:
    """Return the row under a new controller, or None if no worker runs it.

    The caller must have proof that the former controller is gone, or find
    ``controller`` empty. The worker fences off the former controller by the
    higher epoch.

    >>> row = _row.TaskRow(name='t', pool='p', state=_row.TaskState.RUNNING)
    >>> adopt(row, 'b/2').epoch
    1
    """
    if not row.state.is_placed:
        return None
    return dataclasses.replace(row, controller=controller, epoch=row.epoch + 1)
