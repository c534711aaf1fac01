"""Hold the two tables that operators edit: routes and pools."""

from oriolestand_policy.tables._tables import Kind
from oriolestand_policy.tables._tables import Match
from oriolestand_policy.tables._tables import Pool
from oriolestand_policy.tables._tables import Route
from oriolestand_policy.tables._tables import Tables
from oriolestand_policy.tables._tables import Upstream

__all__ = ['Kind', 'Match', 'Pool', 'Route', 'Tables', 'Upstream']
