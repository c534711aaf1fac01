"""Find the route of a request."""

from oriolestand_policy.routing._router import RequestFacts
from oriolestand_policy.routing._router import Router

__all__ = ['RequestFacts', 'Router']
