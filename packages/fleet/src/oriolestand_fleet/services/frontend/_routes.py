"""Match requests to routes."""

from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling


class RouteTable:
    """Find routes by host and longest path prefix."""

    def __init__(self, config: store.FleetConfig) -> None:
        self.config = config
        self._by_host: dict[str, list[store.Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)

    def find(self, host: str, path: str) -> tuple[store.Route, str] | None:
        """Return the matching route and the rest of the path, or None."""
        for route in self._by_host.get(_name_of(host), ()):
            if path.startswith(route.prefix):
                return route, path[len(route.prefix) :]
        return None


def route_of_job(host: str, path: str, job: str) -> store.Route:
    """Return the place of a job as a route without a policy."""
    return store.Route(
        host=_name_of(host),
        prefix=path.removesuffix(job),
        policy=scheduling.RoutePolicy(name='', pool=''),
    )


def _name_of(host: str) -> str:
    """Return the name in a Host header.

    >>> _name_of('Jobs.test:80'), _name_of('jobs.test')
    ('jobs.test', 'jobs.test')
    """
    return host.rsplit(':', 1)[0].lower()
