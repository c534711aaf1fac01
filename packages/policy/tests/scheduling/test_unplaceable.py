"""Tests of the demands that fit nowhere in a round."""

import random

import pytest

from oriolestand_policy.scheduling import _unplaceable


def amounts(cpu, memory_mb=0, accelerators=0):
    return _unplaceable.Amounts(cpu, memory_mb, accelerators)


def test_only_demands_that_need_as_much_are_included():
    # Guards against a task that is passed over although it fits.
    demands = _unplaceable.UnplaceableDemands()
    demands.add('a', amounts(5, 5))
    assert demands.includes('a', amounts(5, 5, 1))
    assert not demands.includes('a', amounts(4, 9, 9))
    assert not demands.includes('a', amounts(9, 4, 9))
    assert not demands.includes('b', amounts(9, 9, 9))


@pytest.mark.parametrize('seed', range(20))
def test_smallest_demands_stand_for_all(seed):
    # Guards against demands that are forgotten when smaller ones are added.
    rng = random.Random(seed)
    demands = _unplaceable.UnplaceableDemands()
    added = []
    for _ in range(200):
        probe = amounts(*(rng.randrange(8) for _ in range(3)))
        is_covered = any(
            all(x <= y for x, y in zip(other, probe, strict=True))
            for other in added
        )
        assert demands.includes('a', probe) is is_covered
        if rng.random() < 0.1:
            demands.add('a', probe)
            added.append(probe)
