"""Remember in a round which demands no worker can meet.

This answers bursts of jobs whose tasks differ in size: hundreds of them wait,
and to examine each on every worker would take longer than a round may. A task
that needs at least as much as one that fits nowhere is passed over unexamined.
"""

from collections.abc import Hashable

from oriolestand_policy.scheduling import _amounts
from oriolestand_policy.scheduling import _jobs

Amounts = _amounts.Amounts
amounts_of = _amounts.amounts_of


def group_of(task: _jobs.Task, pool: str) -> Hashable:
    """Return what tasks share whose demands differ in amounts only."""
    spec = task.spec
    return (
        pool,
        spec.image if spec.is_filling else None,
        spec.is_filling,
        spec.is_service,
        task.may_be_slowed,
        spec.label,
        task.key[:3] if spec.max_per_worker or spec.is_gang else None,
    )


class UnplaceableDemands:
    """Demands that fit nowhere, by groups that differ in amounts only.

    Capacity never becomes free within a round, so that what fits nowhere at
    first fits nowhere later.
    """

    def __init__(self) -> None:
        self._smallest: dict[Hashable, list[Amounts]] = {}

    def add(self, group: Hashable, amounts: Amounts) -> None:
        """Note that a demand fits nowhere."""
        known = self._smallest.get(group, [])
        self._smallest[group] = [
            other for other in known if not amounts.is_within(other)
        ]
        self._smallest[group].append(amounts)

    def includes(self, group: Hashable, amounts: Amounts) -> bool:
        """Return whether a demand needs at least as much as a known one."""
        return any(
            other.is_within(amounts) for other in self._smallest.get(group, ())
        )
