"""Routes and pools, as the daemon uses them."""

from collections.abc import Mapping
import dataclasses
import enum

import oriolestand_core as core


class Kind(enum.Enum):
    """Kind of work: latency-critical requests or batch work."""

    SERVICE = 'service'
    BATCH = 'batch'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Match:
    """Conditions on the requests of a route; empty fields match all.

    ``headers`` maps lower-case names to the exact value required.
    """

    host: str = ''
    methods: frozenset[str] = frozenset()
    path_prefix: str = '/'
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route, which sends matching requests to a pool.

    ``timeout_ms`` is the longest deadline that a request may have.
    """

    name: str
    pool: str
    match: Match = Match()
    team: str = 'default'
    kind: Kind = Kind.SERVICE
    priority: int = 0
    timeout_ms: int = 5_000
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """A back-end instance; ``address`` is ``ip:port``."""

    address: str
    failure_domain: str
    rack: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A group of upstreams and their limits."""

    name: str
    upstreams: tuple[Upstream, ...] = ()
    slots_per_upstream: int = 8
    connections_per_upstream: int = 64
    team_weights: tuple[tuple[str, int], ...] = ()
    queue_limit: int = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tables:
    """One version of both tables; pools are by name."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: Mapping[str, Pool] = dataclasses.field(default_factory=dict)

    def longest_timeout(self, pool: str) -> core.Millis:
        """Return the longest deadline of the routes to a pool, or 0."""
        return core.Millis(
            max(
                (r.timeout_ms for r in self.routes if r.pool == pool),
                default=0,
            )
        )
