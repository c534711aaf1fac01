"""Decide whether a failed attempt may be repeated."""

import abc

BUDGET_SHARE = 0.1
"""Retries per request that the design page allows."""
BUDGET_BURST = 5.0
"""Unspent retries kept. With 20, eight entry instances without ejection made
13% retries in the 10 s of a fault."""
MAX_ATTEMPTS = 3


class RetryPolicy(abc.ABC):
    """Count requests and allow retries."""

    max_attempts = MAX_ATTEMPTS

    @abc.abstractmethod
    def note_request(self) -> None:
        """Count a new request."""

    @abc.abstractmethod
    def allow(self) -> bool:
        """Return whether a retry may be made now, and count it."""


class BudgetedRetries(RetryPolicy):
    """Allow retries up to a share of the requests.

    One retry is saved at the start, so that a new or quiet pool can retry
    at all; retries never exceed the share by more than that one.

    >>> policy = BudgetedRetries()
    >>> policy.allow(), policy.allow()
    (True, False)
    >>> for _ in range(10):
    ...     policy.note_request()
    >>> policy.allow(), policy.allow()
    (True, False)
    """

    def __init__(
        self, share: float = BUDGET_SHARE, burst: float = BUDGET_BURST
    ) -> None:
        # Whole requests are counted, as sums of 0.1 fall short of 1.0.
        self._cost = round(1 / share)
        self._most = int(burst * self._cost)
        self._saved = self._cost

    def note_request(self) -> None:
        """Save a part of a retry."""
        if self._saved < self._most:
            self._saved += 1

    def allow(self) -> bool:
        """Spend one retry if one is saved."""
        if self._saved < self._cost:
            return False
        self._saved -= self._cost
        return True


class FixedRetries(RetryPolicy):
    """Allow every retry up to the number of attempts."""

    def note_request(self) -> None:
        """Count nothing."""

    def allow(self) -> bool:
        """Allow every retry."""
        return True
