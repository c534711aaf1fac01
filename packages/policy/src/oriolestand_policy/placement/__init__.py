"""Choose upstreams from delayed data, using an index of free slots."""

from oriolestand_policy.placement._placement import Placement
from oriolestand_policy.placement._placement import TaskCost
from oriolestand_policy.placement._placement import TwoChoicesPlacement
from oriolestand_policy.placement._placement import Upstreams
from oriolestand_policy.placement._upstream import FreeIndex
from oriolestand_policy.placement._upstream import UpstreamState

__all__ = [
    'FreeIndex',
    'Placement',
    'TaskCost',
    'TwoChoicesPlacement',
    'UpstreamState',
    'Upstreams',
]
