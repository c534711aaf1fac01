"""Test that shares move towards their targets safely."""

import hypothesis
from hypothesis import strategies as st

from oriolestand_policy import grants

ADDRESS = '10.0.0.1:80'
IDS = ('a', 'b', 'c', 'd')


def holder(name: str) -> grants.Holder:
    """Return the holder of an instance."""
    return grants.Holder(instance_id=name, incarnation='1')


def demand(
    ids: tuple[str, ...], capacity: int = 8, in_use: int = 0
) -> grants.Demand:
    """Return the demand for one upstream."""
    return grants.Demand(
        capacity={ADDRESS: capacity},
        horizon_ms={ADDRESS: 100},
        in_use={ADDRESS: in_use},
        entry_ids=ids,
    )


def plan_until_stable(
    row: grants.ShardRow, ids: tuple[str, ...], capacity: int = 8
) -> grants.ShardRow:
    """Let all instances plan in turn until the row is stable."""
    for _ in range(3):
        for name in ids:
            row = grants.plan(
                row, holder(name), demand(ids, capacity), gone=()
            )
    return row


@hypothesis.settings(derandomize=True)
@hypothesis.given(count=st.integers(1, 4), capacity=st.integers(0, 64))
def test_all_slots_are_granted_once(count: int, capacity: int) -> None:
    """Slots without a holder are wasted; slots held twice overload."""
    row = plan_until_stable(grants.ShardRow(), IDS[:count], capacity)
    assert row.upstreams[ADDRESS].granted == capacity


def test_death_of_one_holder_keeps_the_shares_of_the_others() -> None:
    """The other holders must keep serving before the death is proven."""
    row = plan_until_stable(grants.ShardRow(), IDS[:3])
    remaining = {h: s.slots for h, s in row.upstreams[ADDRESS].shares.items()}
    del remaining[holder('a')]
    assert sum(remaining.values()) >= 8 * (1 - 1 / 3) - 1


def test_a_live_holder_keeps_its_share() -> None:
    """Only a holder that is proven gone may lose its share to another."""
    row = plan_until_stable(grants.ShardRow(), ('a',))
    row = grants.plan(row, holder('b'), demand(('b',)), gone=())
    assert row.slots_of(holder('a')) == {ADDRESS: 8}
    assert row.slots_of(holder('b')) == {}
    row = grants.plan(row, holder('b'), demand(('b',)), gone={holder('a')})
    assert row.slots_of(holder('b')) == {ADDRESS: 8}


def test_reduced_capacity_keeps_slots_in_use() -> None:
    """Releasing a slot in use would let another holder use it as well."""
    row = plan_until_stable(grants.ShardRow(), ('a',))
    row = grants.plan(
        row, holder('a'), demand(('a',), capacity=2, in_use=5), gone=()
    )
    assert row.slots_of(holder('a')) == {ADDRESS: 5}
    assert row.upstreams[ADDRESS].capacity == 5


def test_horizon_never_falls_while_slots_are_held() -> None:
    """Requests sent under the longer horizon may still be in progress."""
    row = plan_until_stable(grants.ShardRow(), ('a',))
    short = grants.Demand(
        capacity={ADDRESS: 8},
        horizon_ms={ADDRESS: 1},
        in_use={},
        entry_ids=('a',),
    )
    row = grants.plan(row, holder('a'), short, gone=())
    assert row.upstreams[ADDRESS].shares[holder('a')].horizon_ms == 100
