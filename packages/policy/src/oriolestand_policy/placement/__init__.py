"""Choose upstreams for work, using an index of free slots."""

from oriolestand_policy.placement._placement import Placement
from oriolestand_policy.placement._placement import TaskCost
from oriolestand_policy.placement._placement import TwoChoicesPlacement
from oriolestand_policy.placement._placement import Upstreams
from oriolestand_policy.placement._upstream import FreeSlotIndex
from oriolestand_policy.placement._upstream import UpstreamState

__all__ = [
    'FreeSlotIndex',
    'Placement',
    'TaskCost',
    'TwoChoicesPlacement',
    'UpstreamState',
    'Upstreams',
]
