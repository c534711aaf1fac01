"""Test the index of free slots and the choice of upstreams from it."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oriolestand_policy import placement


def upstream(
    name: str, limit: int, **values: float
) -> placement.UpstreamState:
    return placement.UpstreamState(
        address=name,
        pool='p',
        limit=limit,
        **values,  # type: ignore[arg-type]
    )


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3))))
def test_index_equals_a_list(changes: list[tuple[int, int]]) -> None:
    """The index must contain exactly the upstreams with a free slot.

    Draws must not return the excluded one.
    """
    index: placement.Upstreams = placement.FreeSlotIndex()
    upstreams = [upstream(f'u{n}', 0) for n in range(6)]
    rng = random.Random(1)
    for number, limit in changes:
        upstreams[number].limit = limit
        index.update(upstreams[number])
        free = {u.address for u in upstreams if u.free}
        assert {u.address for u in index.values()} == free
        assert index.total_free == sum(u.free for u in upstreams)
        for address in [*free, '']:
            drawn = index.draw(rng, exclude=address)
            assert (drawn is None) == (not free - {address})
            assert drawn is None or drawn.address in free - {address}


def test_slow_upstreams_get_fewer_requests() -> None:
    """Requests must prefer fast upstreams without all going to them."""
    index: placement.Upstreams = placement.FreeSlotIndex()
    for name, latency in (('slow', 100.0), ('fast', 10.0)):
        index.update(upstream(name, 8, latency_ms=latency))
    policy = placement.TwoChoicesPlacement(random.Random(1))
    chosen = [policy.choose(index) for _ in range(400)]
    slow = sum(u is not None and u.address == 'slow' for u in chosen)
    assert 50 < slow < 150
