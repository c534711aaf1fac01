"""Define the validated form of the configuration document."""

import json
from typing import Annotated
from typing import Any

import pydantic

from oriolestand_daemon.services.tables import errors
from oriolestand_policy import tables

Name = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9._-]{1,64}$')]
MAX_TIMEOUT_MS = 3_600_000


class _Model(pydantic.BaseModel):
    """Refuse unknown keys and changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class MatchModel(_Model):
    """Say which requests a route takes; an empty field matches all."""

    host: str = ''
    methods: tuple[str, ...] = ()
    path_prefix: str = pydantic.Field(default='/', pattern='^/')
    headers: dict[str, str] = {}


class RouteModel(_Model):
    """Send matching requests to a pool."""

    name: Name
    pool: Name
    match: MatchModel = MatchModel()
    team: Name = 'default'
    kind: tables.Kind = tables.Kind.SERVICE
    priority: int = pydantic.Field(default=0, ge=-100, le=100)
    timeout_ms: int = pydantic.Field(default=5_000, ge=1, le=MAX_TIMEOUT_MS)
    idempotent: bool = False


class UpstreamModel(_Model):
    """Name an upstream; the address is ``ip:port``."""

    address: str = pydantic.Field(pattern=r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$')
    failure_domain: str = pydantic.Field(min_length=1)
    rack: str = ''


class PoolModel(_Model):
    """Describe a group of upstreams."""

    name: Name
    upstreams: tuple[UpstreamModel, ...] = ()
    slots_per_upstream: int = pydantic.Field(default=8, ge=0, le=10_000)
    connections_per_upstream: int = pydantic.Field(default=64, ge=1)
    team_weights: dict[str, Annotated[int, pydantic.Field(ge=1)]] = {}
    queue_limit: int = pydantic.Field(default=256, ge=0, le=1_000_000)


class DocumentModel(_Model):
    """Hold both tables, one version of them."""

    version: int = pydantic.Field(default=0, ge=0)
    routes: tuple[RouteModel, ...] = ()
    pools: tuple[PoolModel, ...] = ()
    edited_by: str = ''
    edit_id: str = ''

    def problems(self) -> list[str]:
        """Return what is wrong beyond single fields, with paths."""
        found = []
        names = [pool.name for pool in self.pools]
        for index, name in enumerate(names):
            if name in names[:index]:
                found.append(f'pools.{index}.name: {name} is taken')
        seen: set[str] = set()
        for index, route in enumerate(self.routes):
            if route.name in seen:
                found.append(f'routes.{index}.name: {route.name} is taken')
            seen.add(route.name)
            if route.pool not in names:
                found.append(f'routes.{index}.pool: no pool {route.pool}')
        addresses: dict[str, str] = {}
        for index, pool in enumerate(self.pools):
            for number, upstream in enumerate(pool.upstreams):
                other = addresses.setdefault(upstream.address, pool.name)
                path = f'pools.{index}.upstreams.{number}.address'
                if other != pool.name:
                    found.append(f'{path}: already in pool {other}')
        return found


def parse_document(data: Any) -> DocumentModel:
    """Return a validated document, or raise InvalidTablesError."""
    try:
        document = DocumentModel.model_validate(data)
    except pydantic.ValidationError as exc:
        raise errors.InvalidTablesError(
            [
                f'{".".join(str(p) for p in e["loc"]) or "."}: {e["msg"]}'
                for e in exc.errors()
            ]
        ) from exc
    problems = document.problems()
    if problems:
        raise errors.InvalidTablesError(problems)
    return document


def parse_bytes(data: bytes) -> DocumentModel:
    """Return the document in JSON bytes."""
    try:
        return parse_document(json.loads(data))
    except ValueError as exc:
        raise errors.InvalidTablesError([f'.: {exc}']) from exc


def to_tables(document: DocumentModel) -> tables.Tables:
    """Return the tables as the decision code uses them."""
    return tables.Tables(
        version=document.version,
        routes=tuple(_to_route(route) for route in document.routes),
        pools={pool.name: _to_pool(pool) for pool in document.pools},
    )


def _to_route(model: RouteModel) -> tables.Route:
    """Return a route."""
    return tables.Route(
        name=model.name,
        pool=model.pool,
        match=tables.Match(
            host=model.match.host,
            methods=frozenset(model.match.methods),
            path_prefix=model.match.path_prefix,
            headers=tuple(
                sorted((k.lower(), v) for k, v in model.match.headers.items())
            ),
        ),
        team=model.team,
        kind=model.kind,
        priority=model.priority,
        timeout_ms=model.timeout_ms,
        idempotent=model.idempotent,
    )


def _to_pool(model: PoolModel) -> tables.Pool:
    """Return a pool."""
    return tables.Pool(
        name=model.name,
        upstreams=tuple(
            tables.Upstream(
                address=item.address,
                failure_domain=item.failure_domain,
                rack=item.rack,
            )
            for item in model.upstreams
        ),
        slots_per_upstream=model.slots_per_upstream,
        connections_per_upstream=model.connections_per_upstream,
        team_weights=tuple(sorted(model.team_weights.items())),
        queue_limit=model.queue_limit,
    )
