"""Decide what a lagging list and direct signals say of instances."""

from oriolestand_policy.membership._leaving import LeavingUpstreams
from oriolestand_policy.membership._list import ListTrust
from oriolestand_policy.membership._list import ListUse

__all__ = ['LeavingUpstreams', 'ListTrust', 'ListUse']
