"""Find what is wrong with tables beyond single fields."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.tables import _tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Problem:
    """Name a field by its path, such as ``routes.0.pool``, and its fault."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return path and message."""
        return f'{self.path}: {self.message}'


def find_problems(
    routes: Iterable[tuple[int, _tables.Route]],
    pools: Iterable[tuple[int, _tables.Pool]],
    pool_names: Collection[str],
) -> list[Problem]:
    """Return every problem of two tables that are joined by pool name.

    Entries come with their index in the document. ``pool_names`` also
    holds names of pools that have problems of their own, so that a route
    to such a pool is not reported as dangling.
    """
    return [
        *_find_taken_names('pools', ((i, p.name) for i, p in pools)),
        *_find_taken_names('routes', ((i, r.name) for i, r in routes)),
        *_find_dangling(routes, pool_names),
        *_find_shared_upstreams(pools),
    ]


def _find_taken_names(
    table: str, names: Iterable[tuple[int, str]]
) -> list[Problem]:
    """Return a problem for each repeated name."""
    first: dict[str, int] = {}
    found = []
    for index, name in names:
        if first.setdefault(name, index) != index:
            found.append(
                Problem(
                    path=f'{table}.{index}.name',
                    message=f'{name} is the name of {table}.{first[name]}',
                )
            )
    return found


def _find_dangling(
    routes: Iterable[tuple[int, _tables.Route]], pool_names: Collection[str]
) -> list[Problem]:
    """Return a problem for each route to a pool that does not exist."""
    return [
        Problem(
            path=f'routes.{index}.pool',
            message=f'no pool has the name {route.pool}',
        )
        for index, route in routes
        if route.pool not in pool_names
    ]


def _find_shared_upstreams(
    pools: Iterable[tuple[int, _tables.Pool]],
) -> list[Problem]:
    """Return a problem for each address that occurs more than once.

    An upstream has one capacity, so it can belong to one pool only.
    """
    first: dict[str, str] = {}
    found = []
    for index, pool in pools:
        for number, upstream in enumerate(pool.upstreams):
            path = f'pools.{index}.upstreams.{number}.address'
            owner = first.get(upstream.address)
            if owner is None:
                first[upstream.address] = pool.name
                continue
            found.append(
                Problem(
                    path=path,
                    message=f'{upstream.address} is in pool {owner} already',
                )
            )
    return found


def find_overcommitted(
    pools: Iterable[_tables.Pool], in_use: Mapping[str, int]
) -> list[Problem]:
    """Return the pools whose capacity is below what is in use now.

    ``in_use`` holds slots by upstream address. An upstream that the pools
    no longer name is not a problem: it gets no new work, and requests in
    progress end on the former tables.
    """
    found = []
    for index, pool in enumerate(pools):
        for upstream in pool.upstreams:
            used = in_use.get(upstream.address, 0)
            if used > pool.slots_per_upstream:
                found.append(
                    Problem(
                        path=f'pools.{index}.slots_per_upstream',
                        message=f'{pool.slots_per_upstream} is below the '
                        f'{used} slots in use at {upstream.address}',
                    )
                )
    return found
