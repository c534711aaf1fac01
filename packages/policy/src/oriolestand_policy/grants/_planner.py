"""Plan the next row of a shard from the demand of one holder."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import hashlib

from oriolestand_policy.grants import _row

MAX_HOLDERS_PER_UPSTREAM = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Configuration and slot usage from which a holder plans a row.

    ``capacity`` and ``horizon_ms`` come from the pools and routes, and
    ``in_use`` is the number of slots that cannot be released yet. These three
    are by upstream address. ``entry_ids`` are the entry instances that may
    hold slots. ``address`` is that of this daemon's peer listener.
    """

    capacity: Mapping[str, int]
    horizon_ms: Mapping[str, int]
    in_use: Mapping[str, int]
    entry_ids: Sequence[str]
    address: str = ''


def _weight(address: str, instance_id: str) -> bytes:
    """Return the rendezvous weight of an instance for an upstream."""
    return hashlib.blake2b(
        f'{address}|{instance_id}'.encode(), digest_size=8
    ).digest()


def target_slots(
    address: str, capacity: int, entry_ids: Sequence[str], instance_id: str
) -> int:
    """Return the slots of an upstream that an instance should hold.

    >>> ids = ['a', 'b', 'c']
    >>> sum(target_slots('10.0.0.1:80', 8, ids, i) for i in ids)
    8
    """
    ranked = sorted(entry_ids, key=lambda i: _weight(address, i))
    holders = ranked[:MAX_HOLDERS_PER_UPSTREAM]
    if instance_id not in holders:
        return 0
    base, extra = divmod(capacity, len(holders))
    return base + (1 if holders.index(instance_id) < extra else 0)


def plan(
    row: _row.ShardRow,
    local_holder: _row.Holder,
    demand: Demand,
    gone: Collection[_row.Holder],
) -> _row.ShardRow:
    """Return the row with this holder's shares moved towards their targets.

    Shares of ``gone`` holders are dropped, so these must be proven to have
    ended, and their horizons must have passed. Shares of other holders stay
    unchanged. This holder's share is not lowered below the slots in use, and
    not raised by more than the free slots. ``demand`` must cover only
    upstreams of this shard.
    """
    addresses = sorted({*row.upstreams, *demand.capacity})
    planned = {}
    for address in addresses:
        grants = _plan_upstream(address, row, local_holder, demand, gone)
        if grants.shares or address in demand.capacity:
            planned[address] = grants
    return _row.ShardRow(upstreams=planned)


def _plan_upstream(
    address: str,
    row: _row.ShardRow,
    local_holder: _row.Holder,
    demand: Demand,
    gone: Collection[_row.Holder],
) -> _row.UpstreamGrants:
    """Return the planned grants of one upstream."""
    current = row.upstreams.get(address, _row.UpstreamGrants(capacity=0))
    configured_capacity = demand.capacity.get(address, 0)
    others = {
        holder: share
        for holder, share in current.shares.items()
        if holder != local_holder and holder not in gone
    }
    held_by_others = sum(share.slots for share in others.values())
    target = target_slots(
        address,
        configured_capacity,
        demand.entry_ids,
        local_holder.instance_id,
    )
    target = min(target, max(0, configured_capacity - held_by_others))
    old = current.shares.get(local_holder)
    in_use = min(demand.in_use.get(address, 0), old.slots if old else 0)
    own_slots = max(target, in_use)
    shares = dict(others)
    if own_slots > 0:
        horizon = demand.horizon_ms.get(address, 0)
        if old is not None and old.slots > 0:
            # Requests sent under the former horizon may still be in progress.
            horizon = max(horizon, old.horizon_ms)
        shares[local_holder] = _row.Share(
            slots=own_slots, horizon_ms=horizon, address=demand.address
        )
    # A reduced capacity takes effect as the holders release their shares.
    capacity = max(configured_capacity, held_by_others + own_slots)
    return _row.UpstreamGrants(capacity=capacity, shares=shares)
