"""Space out the retries of failed requests."""

from oriolestand_policy.backoff._backoff import ExponentialBackoff

__all__ = ['ExponentialBackoff']
