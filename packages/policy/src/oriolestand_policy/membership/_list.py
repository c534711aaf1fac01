"""Decide which entries of a copy of the platform's list to apply."""

import enum

import oriolestand_core as core

ALLOWED_LAG_MS = 30_000


class ListUse(enum.Enum):
    """Which entries of a list to apply.

    ``GONE`` applies only entries that report an instance as gone, as these
    stay true however old the list is.
    """

    ALL = 'all'
    GONE = 'gone'


class ListFreshness:
    """Classify lists by their age.

    >>> freshness = ListFreshness()
    >>> freshness.classify(5_000, core.Millis(6_000))
    <ListUse.ALL: 'all'>
    >>> freshness.classify(4_000, core.Millis(7_000))
    <ListUse.GONE: 'gone'>
    """

    def __init__(self, allowed_lag_ms: int = ALLOWED_LAG_MS) -> None:
        self._allowed_lag_ms = allowed_lag_ms
        self.as_of_ms = 0

    def classify(self, as_of_ms: int, wall: core.Millis) -> ListUse:
        """Return how to use a list; both times are Unix time.

        A list that is older than a previous one, or older than the allowed
        lag, does not change which instances count as live or leaving.
        """
        if as_of_ms < self.as_of_ms:
            return ListUse.GONE
        self.as_of_ms = as_of_ms
        if wall - as_of_ms > self._allowed_lag_ms:
            return ListUse.GONE
        return ListUse.ALL
