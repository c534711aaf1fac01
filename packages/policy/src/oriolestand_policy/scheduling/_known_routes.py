"""Remember the last policies of routes that have left the configuration."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.scheduling import _specs

MAX_REMOVED_ROUTES = 10_000
"""Most removed routes that are remembered; the first removed are forgotten. At
39,000 changes a day this lasts for hours, and jobs seldom do."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownRoute:
    """The last known policy of a route.

    ``version`` is that of the last configuration that had the route.
    """

    policy: _specs.RoutePolicy
    version: int


class KnownRoutes:
    """The last policy of each route that a daemon has seen, by name.

    A daemon keeps it also while it does not own the cell: the policy that is
    stored with a job is that of its acceptance, and its pool may have been
    replaced before the route was removed.

    >>> known = KnownRoutes()
    >>> known.update([_specs.RoutePolicy(name='a', pool='old')], 1)
    >>> known.update([_specs.RoutePolicy(name='a', pool='new')], 2)
    >>> known.update([], 3)
    >>> [policy.pool for policy in known.policies()]
    ['new']
    >>> known.find('a').version
    2
    """

    def __init__(self) -> None:
        self._version = 0
        self._configured: dict[str, _specs.RoutePolicy] = {}
        self._removed: dict[str, KnownRoute] = {}

    def update(
        self, routes: Iterable[_specs.RoutePolicy], version: int
    ) -> None:
        """Apply the routes of a version of the configuration."""
        former = self._configured
        self._configured = {route.name: route for route in routes}
        for name, policy in former.items():
            if name not in self._configured:
                self._removed[name] = KnownRoute(
                    policy=policy, version=self._version
                )
        for name in self._configured:
            self._removed.pop(name, None)
        while len(self._removed) > MAX_REMOVED_ROUTES:
            del self._removed[next(iter(self._removed))]
        self._version = version

    def find(self, name: str) -> KnownRoute | None:
        """Return the last policy of a route, or None if it is not known."""
        policy = self._configured.get(name)
        if policy is not None:
            return KnownRoute(policy=policy, version=self._version)
        return self._removed.get(name)

    def policies(
        self, stored_versions: Mapping[str, int] | None = None
    ) -> Iterator[_specs.RoutePolicy]:
        """Yield the policies of removed and of configured routes.

        ``stored_versions`` are those of policies in the store, by route.
        Removed routes of which a later one is stored are left out.
        """
        for name, route in self._removed.items():
            if (stored_versions or {}).get(name, 0) <= route.version:
                yield route.policy
        yield from self._configured.values()
