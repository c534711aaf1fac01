"""Test that the router agrees with a linear search."""

import hypothesis
from hypothesis import strategies as st

from oriolestand_policy import routing
from oriolestand_policy import tables

PREFIXES = st.sampled_from(('/', '/a', '/a/', '/a/b', '/b'))
METHODS = st.sampled_from((frozenset(), frozenset({'GET'})))
HOSTS = st.sampled_from(('', 'h'))


@st.composite
def routes(draw: st.DrawFn) -> tuple[tables.Route, ...]:
    """Draw routes with distinct names."""
    count = draw(st.integers(0, 6))
    return tuple(
        tables.Route(
            name=f'r{index}',
            pool='p',
            match=tables.Match(
                path_prefix=draw(PREFIXES),
                methods=draw(METHODS),
                host=draw(HOSTS),
            ),
        )
        for index in range(count)
    )


def linear_search(
    all_routes: tuple[tables.Route, ...], attributes: routing.RequestAttributes
) -> tables.Route | None:
    """Return the matching route by a search through all routes."""
    found = [
        route
        for route in all_routes
        if attributes.path.startswith(route.match.path_prefix)
        and route.match.host in ('', attributes.host)
        and (
            not route.match.methods or attributes.method in route.match.methods
        )
    ]
    return min(
        found,
        key=lambda r: (
            -len(r.match.path_prefix),
            -bool(r.match.host) - bool(r.match.methods),
            r.name,
        ),
        default=None,
    )


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    all_routes=routes(),
    path=st.sampled_from(('/', '/a', '/a/b/c', '/b', '/c')),
    method=st.sampled_from(('GET', 'POST')),
)
def test_router_agrees_with_linear_search(
    all_routes: tuple[tables.Route, ...], path: str, method: str
) -> None:
    """A wrong index would send requests to the wrong pool."""
    attributes = routing.RequestAttributes(
        host='h', method=method, path=path, headers={}
    )
    router = routing.Router(tables.Tables(version=1, routes=all_routes))
    assert router.find(attributes) == linear_search(all_routes, attributes)
