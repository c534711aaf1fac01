"""Keep a budget of bytes that refills at a constant rate."""

import math

import oriolestand_core as core

MILLIS_PER_SECOND = 1000


class ByteBudget:
    """Hold a token bucket, in bytes.

    New work needs its size in the bucket. Work that has begun may overdraw
    it, because an answer must not stop in the middle; what follows then
    waits until the bucket is positive again.

    :param rate: bytes per second.
    :param burst: most bytes that are saved up.

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
        """Add what has accrued since the last call."""
        elapsed = max(0, now - self._updated)
        self._updated = max(self._updated, now)
        gained = elapsed * self._rate / MILLIS_PER_SECOND
        self._level = min(float(self._burst), self._level + gained)

    def try_spend(self, size: int, now: core.Millis) -> bool:
        """Take bytes for new work if the bucket holds them."""
        self._refill(now)
        if self._level < min(size, self._burst):
            return False
        self._level -= size
        return True

    def spend(self, size: int, now: core.Millis) -> None:
        """Take bytes for work that has begun, below zero if need be."""
        self._refill(now)
        self._level -= size

    def wait_ms(self, size: int, now: core.Millis) -> int:
        """Return how long until the bucket holds ``size`` bytes."""
        self._refill(now)
        missing = min(size, self._burst) - self._level
        if missing <= 0:
            return 0
        return math.ceil(missing * MILLIS_PER_SECOND / self._rate)
