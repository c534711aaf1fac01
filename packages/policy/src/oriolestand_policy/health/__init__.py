"""Eject failing upstreams and probe them."""

from oriolestand_policy.health._health import MAX_FAILURES
from oriolestand_policy.health._health import FailureHealth
from oriolestand_policy.health._health import Health
from oriolestand_policy.health._health import NeverEject

__all__ = ['FailureHealth', 'Health', 'MAX_FAILURES', 'NeverEject']
