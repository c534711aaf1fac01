"""Divide the slots of upstreams among entry instances.

An entry instance may send requests to an upstream only within the slots that
it holds there. Shares are recorded in rows, one for each shard of upstreams.
"""

from oriolestand_policy.grants._ledger import Ledger
from oriolestand_policy.grants._ledger import PendingWrite
from oriolestand_policy.grants._planner import Demand
from oriolestand_policy.grants._planner import plan
from oriolestand_policy.grants._planner import target_slots
from oriolestand_policy.grants._row import Holder
from oriolestand_policy.grants._row import ShardRow
from oriolestand_policy.grants._row import Share
from oriolestand_policy.grants._row import UpstreamGrants
from oriolestand_policy.grants._shards import SHARDS_PER_DOMAIN
from oriolestand_policy.grants._shards import shard_key

__all__ = [
    'Demand',
    'Holder',
    'Ledger',
    'PendingWrite',
    'SHARDS_PER_DOMAIN',
    'ShardRow',
    'Share',
    'UpstreamGrants',
    'plan',
    'shard_key',
    'target_slots',
]
