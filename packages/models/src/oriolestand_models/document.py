"""Define and validate the configuration document: routes and pools."""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import json
from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic

import oriolestand_core as core
from oriolestand_models import _address
from oriolestand_models import _json
from oriolestand_policy import tables

Entry = TypeVar('Entry', bound=pydantic.BaseModel)
Result = TypeVar('Result')

Name = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9._-]{1,64}$')]
Method = Annotated[str, pydantic.Field(pattern=r'^[A-Z]{1,20}$')]
HeaderName = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9-]{1,64}$')]
MAX_TIMEOUT_MS = 3_600_000
DIGEST_HEX_DIGITS = 16
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
"""Enough for about 28,000 pairs of a route and an upstream, 280 bytes each."""


class InvalidTablesError(core.OriolestandError):
    """Raised for an invalid document; each problem names its field's path."""

    code = 'invalid_tables'
    http_status = 400

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__('; '.join(problems))
        self.problems = tuple(problems)


class _StrictModel(pydantic.BaseModel):
    """Base of immutable models that reject unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class MatchModel(_StrictModel):
    """Conditions on requests that a route matches; empty ones match all."""

    host: str = ''
    methods: tuple[Method, ...] = ()
    path_prefix: str = pydantic.Field(default='/', pattern='^/')
    headers: dict[HeaderName, str] = {}


class RouteModel(_StrictModel):
    """A route, which sends matching requests to a pool."""

    name: Name
    pool: Name
    match: MatchModel = MatchModel()
    team: Name = 'default'
    kind: tables.Kind = tables.Kind.SERVICE
    priority: int = pydantic.Field(default=0, ge=-100, le=100)
    timeout_ms: int = pydantic.Field(default=5_000, ge=1, le=MAX_TIMEOUT_MS)
    idempotent: bool = False


class UpstreamModel(_StrictModel):
    """An upstream; the address is ``ip:port``."""

    address: _address.Address
    failure_domain: str = pydantic.Field(min_length=1)
    rack: str = ''


class PoolModel(_StrictModel):
    """A group of upstreams and their limits."""

    name: Name
    upstreams: tuple[UpstreamModel, ...] = ()
    slots_per_upstream: int = pydantic.Field(default=8, ge=0, le=10_000)
    connections_per_upstream: int = pydantic.Field(default=64, ge=1)
    team_weights: dict[Name, Annotated[int, pydantic.Field(ge=1)]] = {}
    queue_limit: int = pydantic.Field(default=256, ge=0, le=1_000_000)


class DocumentModel(_StrictModel):
    """A version of the configuration: all routes and pools."""

    version: int = pydantic.Field(default=0, ge=0)
    routes: tuple[RouteModel, ...] = ()
    pools: tuple[PoolModel, ...] = ()
    edited_by: str = pydantic.Field(default='', max_length=200)
    edit_id: str = pydantic.Field(default='', max_length=64)

    def dump(self) -> bytes:
        """Return the document as UTF-8 encoded JSON."""
        return self.model_dump_json().encode()

    def digest(self) -> str:
        """Return a digest of the document's content.

        Fields with default values are left out. Daemons of different
        releases therefore compute the same digest as long as the document
        does not use a field that only one of them has.
        """
        data = self.model_dump(mode='json', exclude_defaults=True)
        text = json.dumps(data, sort_keys=True, separators=(',', ':'))
        return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_HEX_DIGITS]

    def stamp(self) -> tables.Stamp:
        """Return the version and the digest of the document."""
        return tables.Stamp(version=self.version, digest=self.digest())


def parse_document(data: Any) -> DocumentModel:
    """Return a validated document, or raise InvalidTablesError.

    The error lists all problems at once: those of single fields, and
    inconsistencies between entries, such as a route to an unknown pool.
    """
    try:
        document = DocumentModel.model_validate(data)
    except pydantic.ValidationError as exc:
        raw = data if isinstance(data, dict) else {}
        found = tables.find_problems(
            _valid_entries(RouteModel, _to_route, raw.get('routes')),
            _valid_entries(PoolModel, _to_pool, raw.get('pools')),
            _entry_names(raw.get('pools')),
        )
        problems = [*_json.format_problems(exc), *map(str, found)]
        raise InvalidTablesError(problems) from exc
    found = tables.find_problems(
        [(i, _to_route(route)) for i, route in enumerate(document.routes)],
        [(i, _to_pool(pool)) for i, pool in enumerate(document.pools)],
        {pool.name for pool in document.pools},
    )
    if found:
        raise InvalidTablesError([str(problem) for problem in found])
    return document


def _valid_entries(
    model: type[Entry], convert: Callable[[Entry], Result], entries: Any
) -> list[tuple[int, Result]]:
    """Convert the valid entries of a list; return them with their indexes."""
    converted = []
    for index, entry in enumerate(_as_list(entries)):
        try:
            converted.append((index, convert(model.model_validate(entry))))
        except pydantic.ValidationError:
            continue
    return converted


def _as_list(entries: Any) -> Sequence[Any]:
    """Return the entries, or an empty sequence if they are not a list."""
    return entries if isinstance(entries, list | tuple) else ()


def _entry_names(entries: Any) -> set[str]:
    """Return the names of all entries in a list, including invalid ones."""
    return {
        entry['name']
        for entry in _as_list(entries)
        if isinstance(entry, dict) and isinstance(entry.get('name'), str)
    }


def document_too_large(size: int, limit: int) -> InvalidTablesError:
    """Return the error for a document that exceeds a limit in bytes."""
    return InvalidTablesError([f'.: {size} bytes exceed the limit of {limit}'])


def parse_bytes(data: bytes) -> DocumentModel:
    """Parse and validate a document in UTF-8 encoded JSON.

    Raises InvalidTablesError when it is too large or invalid.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise document_too_large(len(data), MAX_DOCUMENT_BYTES)
    try:
        parsed = _json.parse(data)
    except ValueError as exc:
        raise InvalidTablesError([f'.: not valid JSON: {exc}']) from exc
    return parse_document(parsed)


def to_tables(document: DocumentModel) -> tables.Tables:
    """Convert a document to the tables of the policy package."""
    return tables.Tables(
        version=document.version,
        routes=tuple(_to_route(route) for route in document.routes),
        pools={pool.name: _to_pool(pool) for pool in document.pools},
    )


def diff(old: DocumentModel, new: DocumentModel) -> list[str]:
    """Return the changes between two documents as text, pools first."""
    changes = tables.diff(to_tables(old), to_tables(new))
    return [str(change) for change in changes]


def _to_route(model: RouteModel) -> tables.Route:
    """Convert a route of the document to a route of the tables."""
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
    """Convert a pool of the document to a pool of the tables."""
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
