"""Pass starts that may be carried out late on to the next owner.

A record holds by when their runs are over. Owners have clocks of their own, so
that the stored times are those of the store's clock.
"""

from oriolestand_policy import ownership
from oriolestand_policy import scheduling

UNKNOWN_MS = 0
"""Stands for a time that could not be converted. The next owner then waits as
if the start had been given up when it loaded the job."""


def to_stored(
    progress: scheduling.Progress, clock: ownership.StoreClock | None
) -> None:
    """Convert the times in a record from the clock of this owner."""
    for row in progress.get('late', ()):
        row[-1] = clock.to_store_ms(row[-1]) if clock else UNKNOWN_MS


def from_stored(
    progress: scheduling.Progress | None, clock: ownership.StoreClock | None
) -> scheduling.Progress | None:
    """Return a record with times of the clock of this owner."""
    if not progress or not progress.get('late'):
        return progress
    rows = [
        [*row, clock.to_local_ms(end_ms) if clock and end_ms else UNKNOWN_MS]
        for *row, end_ms in progress['late']
    ]
    return {**progress, 'late': rows}
