"""Numbers of the runs that the owner of an epoch starts."""

import oriolestand_core as core

RUNS_PER_EPOCH = 1_000_000
"""Run numbers per epoch. The owner of epoch E uses the numbers from E times
this value, so that run numbers of different owners never collide."""

MIN_LEFT_TO_KEEP = 20_000
"""Numbers left below which the owner gives the cell up. At 2,400 starts a
second they last for 8 s, and a release takes about 1 s."""

MIN_LEFT_TO_START = 5_000
"""Numbers left below which rounds start nothing. The store may be down when
the cell should be released, and a round has fewer starts."""


def first_of(epoch: int) -> int:
    """Return the number below which all runs are those of former epochs."""
    return epoch * RUNS_PER_EPOCH


class RunNumbersUsedUpError(core.OriolestandError):
    """Raised when no number of the epoch is left."""

    code = 'run_numbers_used_up'


class RunNumbers:
    """Numbers that are left in an epoch."""

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._last_offset = 0

    @property
    def left(self) -> int:
        """Return how many numbers are left."""
        return RUNS_PER_EPOCH - 1 - self._last_offset

    @property
    def may_start(self) -> bool:
        """Return whether enough are left for a round."""
        return self.left >= MIN_LEFT_TO_START

    @property
    def may_keep_cell(self) -> bool:
        """Return whether the owner may go on with its epoch."""
        return self.left >= MIN_LEFT_TO_KEEP

    def next(self) -> int:
        """Return the number that ``take`` will return."""
        if self.left <= 0:
            raise RunNumbersUsedUpError(
                'all run numbers of the epoch are used', epoch=self._epoch
            )
        return first_of(self._epoch) + self._last_offset + 1

    def take(self) -> int:
        """Return a number that was not used before."""
        number = self.next()
        self._last_offset += 1
        return number
