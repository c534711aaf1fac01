"""Limit the load that retries add."""

from oriolestand_policy.retries._retries import BudgetedRetries
from oriolestand_policy.retries._retries import FixedRetries
from oriolestand_policy.retries._retries import RetryPolicy

__all__ = ['BudgetedRetries', 'FixedRetries', 'RetryPolicy']
