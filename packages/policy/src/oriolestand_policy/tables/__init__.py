"""The two tables that operators edit: routes and pools.

This package describes, checks and compares them, and orders their versions.
"""

from oriolestand_policy.tables._diff import Change
from oriolestand_policy.tables._diff import diff
from oriolestand_policy.tables._problems import Problem
from oriolestand_policy.tables._problems import find_overcommitted
from oriolestand_policy.tables._problems import find_problems
from oriolestand_policy.tables._tables import Kind
from oriolestand_policy.tables._tables import Match
from oriolestand_policy.tables._tables import Pool
from oriolestand_policy.tables._tables import Route
from oriolestand_policy.tables._tables import Tables
from oriolestand_policy.tables._tables import Upstream
from oriolestand_policy.tables._versions import Choice
from oriolestand_policy.tables._versions import Stamp
from oriolestand_policy.tables._versions import WriteState
from oriolestand_policy.tables._versions import compare_stamps
from oriolestand_policy.tables._versions import resolve_write

__all__ = [
    'Change',
    'Choice',
    'Kind',
    'Match',
    'Pool',
    'Problem',
    'Route',
    'Stamp',
    'Tables',
    'Upstream',
    'WriteState',
    'compare_stamps',
    'diff',
    'find_overcommitted',
    'find_problems',
    'resolve_write',
]
