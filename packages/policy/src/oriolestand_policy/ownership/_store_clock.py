"""Convert times between the clocks of a daemon and of the store."""

import dataclasses

MAX_CLOCK_RATIO_PERCENT = 102
"""The clocks of the store and of a daemon may differ by 2% in rate."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreClock:
    """A time of the store's clock, and when it was asked for and received.

    Each conversion returns a time at which the given one has certainly
    passed.

    >>> clock = StoreClock(sent_ms=100, received_ms=110, store_ms=5_000)
    >>> clock.to_store_ms(1_100)
    6020
    >>> clock.to_local_ms(6_000)
    1130
    """

    sent_ms: int
    received_ms: int
    store_ms: int

    def to_store_ms(self, local_ms: int) -> int:
        """Convert a time of the daemon's clock to the store's clock."""
        remaining_ms = max(0, local_ms - self.sent_ms)
        return self.store_ms + _stretch(remaining_ms)

    def to_local_ms(self, store_ms: int) -> int:
        """Convert a time of the store's clock to the daemon's clock."""
        remaining_ms = max(0, store_ms - self.store_ms)
        return self.received_ms + _stretch(remaining_ms)


def _stretch(duration_ms: int) -> int:
    """Return how long a duration takes at most on another clock."""
    return -(-duration_ms * MAX_CLOCK_RATIO_PERCENT // 100)
