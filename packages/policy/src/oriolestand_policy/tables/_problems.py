"""Validate the tables across entries."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.tables import _tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Problem:
    """A validation error; ``path`` is a field such as ``routes.0.pool``."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return the path and the message."""
        return f'{self.path}: {self.message}'


def find_problems(
    routes: Iterable[tuple[int, _tables.Route]],
    pools: Iterable[tuple[int, _tables.Pool]],
    pool_names: Collection[str],
) -> list[Problem]:
    """Return all problems that involve several entries of the tables.

    Entries come with their index in the document. ``pool_names`` also
    includes pools that are invalid themselves, so that a route to such a
    pool is not reported as a route to an unknown one.
    """
    return [
        *_find_duplicate_names('pools', ((i, p.name) for i, p in pools)),
        *_find_duplicate_names('routes', ((i, r.name) for i, r in routes)),
        *_find_unknown_pools(routes, pool_names),
        *_find_shared_upstreams(pools),
    ]


def _find_duplicate_names(
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
                    message=f'{name} is already the name of '
                    f'{table}.{first[name]}',
                )
            )
    return found


def _find_unknown_pools(
    routes: Iterable[tuple[int, _tables.Route]], pool_names: Collection[str]
) -> list[Problem]:
    """Return a problem for each route to a pool that does not exist."""
    return [
        Problem(
            path=f'routes.{index}.pool',
            message=f'there is no pool named {route.pool}',
        )
        for index, route in routes
        if route.pool not in pool_names
    ]


def _find_shared_upstreams(
    pools: Iterable[tuple[int, _tables.Pool]],
) -> list[Problem]:
    """Return a problem for each address that occurs more than once.

    An upstream has a single capacity, so it can belong to only one pool.
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
                    message=f'{upstream.address} is already in pool {owner}',
                )
            )
    return found


def find_overcommitted(
    pools: Iterable[_tables.Pool], in_use: Mapping[str, int]
) -> list[Problem]:
    """Return a problem for each upstream with more slots in use than allowed.

    ``in_use`` is the number of slots by upstream address. An upstream that
    is no longer in any pool is not a problem: it gets no new work, and
    requests in progress finish under the former tables.
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
