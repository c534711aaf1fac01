"""Token bucket that limits bytes to a constant average rate."""

import math

import oriolestand_core as core

MILLIS_PER_SECOND = 1000


class ByteBudget:
    """Token bucket, in bytes.

    New work needs as many bytes in the bucket as its size, or a full bucket
    if its size exceeds the capacity. Work in progress may overdraw the
    bucket, because an answer must not be interrupted; later work then waits
    until the bucket holds enough again.

    :param rate: refill rate in bytes per second.
    :param burst: capacity of the bucket in bytes.

    >>> budget = ByteBudget(rate=1_000, burst=500)
    >>> budget.try_spend(400, core.Millis(0))
    True
    >>> budget.try_spend(400, core.Millis(0))
    False
    >>> budget.wait_ms(400, core.Millis(0))
    300
    """

    def __init__(self, rate: int, burst: int) -> None:
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._updated = core.Millis(0)

    def _refill(self, now: core.Millis) -> None:
        """Add the bytes that have accrued since the last refill."""
        elapsed = max(0, now - self._updated)
        self._updated = max(self._updated, now)
        gained = elapsed * self._rate / MILLIS_PER_SECOND
        self._level = min(float(self._burst), self._level + gained)

    def try_spend(self, size: int, now: core.Millis) -> bool:
        """Spend bytes on new work; return whether the bucket held enough."""
        self._refill(now)
        if self._level < min(size, self._burst):
            return False
        self._level -= size
        return True

    def spend(self, size: int, now: core.Millis) -> None:
        """Spend bytes on work in progress, even if the bucket is overdrawn."""
        self._refill(now)
        self._level -= size

    def wait_ms(self, size: int, now: core.Millis) -> int:
        """Return the milliseconds until ``size`` bytes can be spent."""
        self._refill(now)
        missing = min(size, self._burst) - self._level
        if missing <= 0:
            return 0
        return math.ceil(missing * MILLIS_PER_SECOND / self._rate)
