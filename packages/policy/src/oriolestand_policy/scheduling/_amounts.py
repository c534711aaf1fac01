"""Amounts of processors, memory and accelerators.

Processors are in thousandths of a core, memory in MB.
"""

from collections.abc import Iterable
from typing import NamedTuple

from oriolestand_policy.scheduling import _specs


class Amounts(NamedTuple):
    """Amounts of each resource."""

    cpu: int
    memory_mb: int
    accelerators: int

    def plus(self, other: 'Amounts') -> 'Amounts':
        """Return the sum of two amounts."""
        return Amounts(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Amounts') -> 'Amounts':
        """Return what is left without other amounts; it may be negative."""
        return Amounts(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def is_within(self, other: 'Amounts') -> bool:
        """Return whether no amount is higher than the other one."""
        return (
            self.cpu <= other.cpu
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


NOTHING = Amounts(0, 0, 0)


def amounts_of(spec: _specs.StepSpec) -> Amounts:
    """Return the resources that each task of a step requests."""
    return Amounts(spec.cpu, spec.memory_mb, spec.accelerators)


def claim_of(spec: _specs.StepSpec) -> Amounts:
    """Return what a run takes from plain, gang and service tasks.

    Filling tasks use processors that others leave idle and claim none.
    """
    cpu = 0 if spec.is_filling else spec.cpu
    return Amounts(cpu, spec.memory_mb, spec.accelerators)


def total(amounts: Iterable[Amounts]) -> Amounts:
    """Return the sum of amounts.

    >>> total([Amounts(1, 2, 3), Amounts(4, 5, 6)])
    Amounts(cpu=5, memory_mb=7, accelerators=9)
    """
    result = NOTHING
    for other in amounts:
        result = result.plus(other)
    return result
