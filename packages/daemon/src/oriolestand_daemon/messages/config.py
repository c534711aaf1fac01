"""Define messages and events of the tables service."""

import dataclasses

from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesChanged:
    """Announce a new version of the tables; versions only rise."""

    tables: tables.Tables
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedTables:
    """Hand over a configuration document that a peer sent."""

    document: bytes
    peer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetDocument:
    """Ask for the current configuration as JSON bytes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyDocument:
    """Ask to replace the tables; ``base_version`` is what was edited."""

    document: bytes
    base_version: int
    edited_by: str
