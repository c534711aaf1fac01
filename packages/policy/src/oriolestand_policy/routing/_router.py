"""Match requests against the table of routes."""

from collections.abc import Mapping
import dataclasses

from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """Hold what routes may look at; header names are in lower case."""

    host: str
    method: str
    path: str
    headers: Mapping[str, str]


class Router:
    """Try routes by longest prefix, then most conditions, then name.

    >>> quick = tables.Route(name='quick', pool='p')
    >>> deep = tables.Route(
    ...     name='deep', pool='p', match=tables.Match(path_prefix='/a/')
    ... )
    >>> router = Router(tables.Tables(version=1, routes=(quick, deep)))
    >>> facts = RequestFacts(host='h', method='GET', path='/a/b', headers={})
    >>> router.find(facts).name
    'deep'
    """

    def __init__(self, generation: tables.Tables) -> None:
        self._routes = sorted(generation.routes, key=_rank)

    def find(self, facts: RequestFacts) -> tables.Route | None:
        """Return the first route that matches, or None."""
        for route in self._routes:
            if _matches(route.match, facts):
                return route
        return None


def _rank(route: tables.Route) -> tuple[int, int, str]:
    """Return the place of a route in the order of trial."""
    match = route.match
    conditions = bool(match.host) + bool(match.methods) + len(match.headers)
    return (-len(match.path_prefix), -conditions, route.name)


def _matches(match: tables.Match, facts: RequestFacts) -> bool:
    """Return whether a request meets all conditions."""
    if not facts.path.startswith(match.path_prefix):
        return False
    if match.host and match.host != facts.host:
        return False
    if match.methods and facts.method not in match.methods:
        return False
    return all(facts.headers.get(k) == v for k, v in match.headers)
