"""Remember the last policies of routes that have left the configuration."""

from collections.abc import Iterable
from collections.abc import Iterator

from oriolestand_policy.scheduling import _specs

MAX_REMOVED_ROUTES = 10_000
"""Most removed routes that are remembered; the first removed are forgotten. At
39,000 changes a day this lasts for hours, and jobs seldom do."""


class KnownRoutes:
    """The last policy of each route that a daemon has seen, by name.

    A daemon keeps it also while it does not own the cell: the policy that is
    stored with a job is that of its acceptance, and its pool may have been
    replaced before the route was removed.

    >>> known = KnownRoutes()
    >>> known.update([_specs.RoutePolicy(name='a', pool='old')])
    >>> known.update([_specs.RoutePolicy(name='a', pool='new')])
    >>> known.update([])
    >>> [policy.pool for policy in known.policies()]
    ['new']
    """

    def __init__(self) -> None:
        self._configured: dict[str, _specs.RoutePolicy] = {}
        self._removed: dict[str, _specs.RoutePolicy] = {}

    def update(self, routes: Iterable[_specs.RoutePolicy]) -> None:
        """Apply the routes of a configuration."""
        former = self._configured
        self._configured = {route.name: route for route in routes}
        for name, policy in former.items():
            if name not in self._configured:
                self._removed[name] = policy
        for name in self._configured:
            self._removed.pop(name, None)
        while len(self._removed) > MAX_REMOVED_ROUTES:
            del self._removed[next(iter(self._removed))]

    def policies(self) -> Iterator[_specs.RoutePolicy]:
        """Yield the policies of removed and of configured routes."""
        yield from self._removed.values()
        yield from self._configured.values()
