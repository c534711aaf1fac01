"""Decide which last policies of routes the next owner must find stored."""

import collections
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum

from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _known_routes
from oriolestand_policy.scheduling import _specs

MAX_REPLACED = 50
"""Most policies that a stored one lists as replaced, so that it fits in a row;
with more it holds for all jobs of the route."""


class _Missing(enum.Enum):
    """Stands for the policy of a job whose row has not been received."""

    AWAITED = 'awaited'


_Accepted = _specs.RoutePolicy | _Missing | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredPolicy:
    """The last policy of a route, as an owner has stored it.

    ``version`` is a version of the configuration that has it. It holds for
    jobs that were accepted under one of the ``replaces``, of which None stands
    for jobs without a policy, and for all jobs if ``replaces`` is None. Jobs
    with another policy may have been accepted later, while the owner was of a
    version that stores no policies of routes.
    """

    policy: _specs.RoutePolicy
    version: int
    replaces: frozenset[_specs.RoutePolicy | None] | None = None

    def holds_for(self, accepted: _specs.RoutePolicy | None) -> bool:
        """Return whether it replaces the policy of a job."""
        return self.replaces is None or accepted in self.replaces


class AcceptedPolicies:
    """Count the jobs that a later owner may load, by route and policy."""

    def __init__(self) -> None:
        self._counts: dict[str, collections.Counter[_Accepted]] = {}

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the routes that have such jobs."""
        return iter(self._counts)

    def add(self, job: _jobs.Job) -> None:
        """Count a job."""
        counts = self._counts.setdefault(job.spec.route, collections.Counter())
        counts[_accepted_policy(job)] += 1

    def discard(self, job: _jobs.Job) -> None:
        """Count a job no longer; its policy is the one it was added with."""
        counts = self._counts[job.spec.route]
        accepted = _accepted_policy(job)
        counts[accepted] -= 1
        if not counts[accepted]:
            del counts[accepted]
        if not counts:
            del self._counts[job.spec.route]

    def others_than(
        self, policy: _specs.RoutePolicy
    ) -> frozenset[_specs.RoutePolicy | None]:
        """Return other policies that jobs of its route were accepted under.

        Those of jobs whose rows have not been received are not known yet.
        """
        return frozenset(
            accepted
            for accepted in self._counts.get(policy.name, ())
            if not isinstance(accepted, _Missing) and accepted != policy
        )


def _accepted_policy(job: _jobs.Job) -> _Accepted:
    """Return the policy that a job is counted under."""
    return _Missing.AWAITED if job.is_policy_awaited else job.policy


def policies_to_store(
    accepted: AcceptedPolicies,
    known: _known_routes.KnownRoutes,
    stored: Mapping[str, StoredPolicy],
) -> dict[str, StoredPolicy]:
    """Return the policies by route that must be stored, or stored anew.

    The policy of a route is stored only if an accepted job has another one,
    or none. So nothing is written while the configuration does not change. A
    stored policy of a later configuration is not replaced.
    """
    found = {}
    for route in accepted:
        last = known.find(route)
        if last is None:
            continue
        former = stored.get(route)
        if former is not None and former.version > last.version:
            continue
        others = accepted.others_than(last.policy)
        if not _is_outdated(former, last.policy, others):
            continue
        found[route] = StoredPolicy(
            policy=last.policy,
            version=last.version,
            replaces=others if len(others) <= MAX_REPLACED else None,
        )
    return found


def _is_outdated(
    former: StoredPolicy | None,
    policy: _specs.RoutePolicy,
    others: Collection[_specs.RoutePolicy | None],
) -> bool:
    """Return whether a later owner would not find the policy of each job."""
    if former is None:
        return bool(others)
    if former.policy != policy:
        return True
    return not all(map(former.holds_for, others))
