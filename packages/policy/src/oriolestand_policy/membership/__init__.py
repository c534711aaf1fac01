"""Combine the platform's instance list, which may lag, with direct signals."""

from oriolestand_policy.membership._leaving import LeavingUpstreams
from oriolestand_policy.membership._list import ListFreshness
from oriolestand_policy.membership._list import ListUse

__all__ = ['LeavingUpstreams', 'ListFreshness', 'ListUse']
