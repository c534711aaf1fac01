"""Share the slots of upstreams between entry instances."""

from oriolestand_policy.grants._planner import Demand
from oriolestand_policy.grants._planner import plan
from oriolestand_policy.grants._planner import release_all
from oriolestand_policy.grants._planner import target_slots
from oriolestand_policy.grants._row import Holder
from oriolestand_policy.grants._row import ShardRow
from oriolestand_policy.grants._row import Share
from oriolestand_policy.grants._row import UpstreamGrants

__all__ = [
    'Demand',
    'Holder',
    'ShardRow',
    'Share',
    'UpstreamGrants',
    'plan',
    'release_all',
    'target_slots',
]
