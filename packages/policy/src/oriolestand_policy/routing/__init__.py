"""Find the route of a request."""

from oriolestand_policy.routing._router import RequestAttributes
from oriolestand_policy.routing._router import Router

__all__ = ['RequestAttributes', 'Router']
