"""Match requests to routes."""

from oriolestand_fleet.messages import store


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
        name = host.rsplit(':', 1)[0] if ':' in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route, path[len(route.prefix) :]
        return None
