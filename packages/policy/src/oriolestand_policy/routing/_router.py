"""Match requests against the routes."""

from collections.abc import Mapping
import dataclasses

from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestAttributes:
    """Attributes of a request to match; header names are lower-case."""

    host: str
    method: str
    path: str
    headers: Mapping[str, str]


class Router:
    """Find the route of a request.

    Routes are tried by longest path prefix, then by most conditions, then by
    name.

    >>> quick = tables.Route(name='quick', pool='p')
    >>> deep = tables.Route(
    ...     name='deep', pool='p', match=tables.Match(path_prefix='/a/')
    ... )
    >>> router = Router(tables.Tables(version=1, routes=(quick, deep)))
    >>> attributes = RequestAttributes(
    ...     host='h', method='GET', path='/a/b', headers={}
    ... )
    >>> router.find(attributes).name
    'deep'
    """

    def __init__(self, generation: tables.Tables) -> None:
        # Routes are indexed by prefix. A search looks up one prefix of each
        # length in use, so its cost does not grow with the number of routes.
        self._by_prefix: dict[str, list[tables.Route]] = {}
        for route in sorted(generation.routes, key=_rank):
            prefix = route.match.path_prefix
            self._by_prefix.setdefault(prefix, []).append(route)
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = sorted(lengths, reverse=True)

    def find(self, attributes: RequestAttributes) -> tables.Route | None:
        """Return the first route that matches, or None."""
        for length in self._lengths:
            for route in self._by_prefix.get(attributes.path[:length], ()):
                if _matches(route.match, attributes):
                    return route
        return None


def _rank(route: tables.Route) -> tuple[int, str]:
    """Return the sort key of a route among those with the same prefix."""
    match = route.match
    conditions = bool(match.host) + bool(match.methods) + len(match.headers)
    return (-conditions, route.name)


def _matches(match: tables.Match, attributes: RequestAttributes) -> bool:
    """Return whether a request meets all conditions except the prefix."""
    if match.host and match.host != attributes.host:
        return False
    if match.methods and attributes.method not in match.methods:
        return False
    return all(attributes.headers.get(k) == v for k, v in match.headers)
