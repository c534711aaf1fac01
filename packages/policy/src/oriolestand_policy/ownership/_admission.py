"""Decide whether the owner of a cell can take more jobs."""

from collections.abc import Mapping
import zlib

from oriolestand_policy.ownership import _election

REFUSE_DELAY_MS = 1_500
"""Delay of the owner from which on new jobs are refused. Its polls then come
late for the shortest leases, and accepted jobs would be broken off."""

ACCEPT_DELAY_MS = 700
"""Delay below which jobs are accepted again. It is lower, so that a refusal
lasts until the owner has caught up."""

REPORT_AGE_MS = _election.MAX_UNRENEWED_MS
"""A delay that was reported longer ago does not count: its owner may not act
any more, and the store accepts jobs without an owner."""

MAX_RETRY_AFTER_S = 5
MILLIS_PER_SECOND = 1_000


class OwnerAdmission:
    """Track the delay that the owner reports with its renewals.

    All times are milliseconds.

    >>> admission = OwnerAdmission()
    >>> admission.on_report(delay_ms=2_400, now_ms=10_000)
    True
    >>> admission.is_closed(10_500), admission.retry_after_s
    (True, 3)
    >>> admission.on_report(delay_ms=900, now_ms=11_000)
    False
    >>> admission.is_closed(11_000)
    True
    >>> admission.on_report(delay_ms=300, now_ms=12_000)
    True
    >>> admission.is_closed(12_000)
    False
    """

    def __init__(self) -> None:
        self._delay_ms = 0
        self._reported_ms: int | None = None
        self._is_closed = False
        self._full_pools: Mapping[str, int] = {}

    def on_report(self, delay_ms: int, now_ms: int) -> bool:
        """Apply a reported delay; return whether the decision changes."""
        self._delay_ms = delay_ms
        self._reported_ms = now_ms
        was_closed = self._is_closed
        limit_ms = ACCEPT_DELAY_MS if was_closed else REFUSE_DELAY_MS
        self._is_closed = delay_ms >= limit_ms
        return self._is_closed != was_closed

    def set_full_pools(self, full_pools: Mapping[str, int]) -> None:
        """Set the reported pools that accept no filling jobs.

        The values are after how many seconds to try again.
        """
        self._full_pools = full_pools

    def is_closed(self, now_ms: int) -> bool:
        """Return whether new jobs are to be refused."""
        return self._is_closed and self._is_recent(now_ms)

    def full_pool_retry_s(self, pool: str, job: str, now_ms: int) -> int:
        """Return after how many seconds a filling job should come again.

        It is 0 if the pool accepts such jobs. Callers are spread over the time
        that the owner has reported, so that they do not come at once.
        """
        longest_s = self._full_pools.get(pool, 0)
        if not longest_s or not self._is_recent(now_ms):
            return 0
        return 1 + zlib.crc32(job.encode()) % longest_s

    def _is_recent(self, now_ms: int) -> bool:
        """Return whether the last report counts."""
        return (
            self._reported_ms is not None
            and now_ms - self._reported_ms <= REPORT_AGE_MS
        )

    @property
    def retry_after_s(self) -> int:
        """Return after how many seconds a refused caller should return.

        The owner needs at least its delay to catch up.
        """
        delay_s = -(-self._delay_ms // MILLIS_PER_SECOND)
        return min(max(1, delay_s), MAX_RETRY_AFTER_S)
