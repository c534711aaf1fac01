"""Policies for retrying failed attempts."""

import abc

BUDGET_SHARE = 0.1
"""Maximum ratio of retries to requests that the design allows."""
BUDGET_BURST = 5.0
"""Maximum number of unspent retries. With 20, eight entry instances without
ejection made 13% retries during a fault of 10 s."""
MAX_ATTEMPTS = 3


class RetryPolicy(abc.ABC):
    """Strategy that counts requests and allows retries."""

    max_attempts = MAX_ATTEMPTS

    @abc.abstractmethod
    def record_request(self) -> None:
        """Count a new request."""

    @abc.abstractmethod
    def allow(self) -> bool:
        """Return whether a retry may be made now; count it if so."""


class BudgetedRetries(RetryPolicy):
    """Allow retries up to a share of the requests.

    The budget starts with one retry, so that a new pool or one with few
    requests can retry at all. Retries never exceed the share by more than
    that one.

    >>> policy = BudgetedRetries()
    >>> policy.allow(), policy.allow()
    (True, False)
    >>> for _ in range(10):
    ...     policy.record_request()
    >>> policy.allow(), policy.allow()
    (True, False)
    """

    def __init__(
        self, share: float = BUDGET_SHARE, burst: float = BUDGET_BURST
    ) -> None:
        # The balance is kept in whole requests, as floating-point sums of 0.1
        # do not reach 1.0.
        self._retry_cost = round(1 / share)
        self._max_balance = int(burst * self._retry_cost)
        self._balance = self._retry_cost

    def record_request(self) -> None:
        """Add one request to the balance, up to its maximum."""
        if self._balance < self._max_balance:
            self._balance += 1

    def allow(self) -> bool:
        """Spend one retry if the balance covers it."""
        if self._balance < self._retry_cost:
            return False
        self._balance -= self._retry_cost
        return True


class FixedRetries(RetryPolicy):
    """Allow every retry; only ``max_attempts`` limits them."""

    def record_request(self) -> None:
        """Ignore the request, as retries have no budget."""

    def allow(self) -> bool:
        """Allow every retry."""
        return True
