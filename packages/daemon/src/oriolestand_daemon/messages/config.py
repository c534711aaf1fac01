"""Define messages and events of the tables service."""

import dataclasses

from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesChanged:
    """Announce a new version of the tables; versions only rise.

    ``document`` is packed for peers; see ``oriolestand_models.pack``.
    """

    tables: tables.Tables
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedTables:
    """Hand over a packed document that a peer has in force."""

    document: bytes
    peer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetDocument:
    """Ask for a document as JSON bytes; the one in force by default."""

    version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyDocument:
    """Ask to replace the tables; ``base_version`` is what was edited.

    ``edit_id`` may be chosen by the operator's client, to find the edit in
    the history when the answer is lost.
    """

    document: bytes
    base_version: int
    edited_by: str
    edit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditEntry:
    """Ask to replace one route or pool, or to remove it.

    ``table`` is ``routes`` or ``pools``; ``entry`` is JSON, None removes.
    Without ``base_version`` the current version is edited.
    """

    table: str
    name: str
    entry: bytes | None
    base_version: int | None
    edited_by: str
    edit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UndoEdit:
    """Ask for a new version with the content of version ``version``.

    Without ``base_version`` the current version is replaced.
    """

    version: int
    base_version: int | None
    edited_by: str
    edit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetHistory:
    """Ask for the newest versions, as ``tuple[HistoryEntry, ...]``."""

    limit: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEntry:
    """Describe a version; ``changes`` are against the version before."""

    version: int
    edited_by: str
    edit_id: str
    digest: str
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adoption:
    """Record when a version came into force here, in Unix time."""

    version: int
    digest: str
    wall_ms: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetTablesStatus:
    """Ask for a TablesStatus."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesStatus:
    """Describe what is in force here.

    ``is_known`` is False until there is a version or the store said that
    there is none. ``store_error`` is the code of the last failed poll.
    ``conflicting_digest`` is that of a second document seen with the
    version in force; empty unless something is broken.
    """

    version: int
    digest: str
    is_known: bool
    store_version: int | None
    store_error: str
    conflicting_digest: str
    adoptions: tuple[Adoption, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetInstances:
    """Ask for all entry instances, as ``tuple[InstanceStatus, ...]``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """Describe an entry instance and the version it has in force.

    ``is_connected`` is False without a link; the version is then the last
    one heard, 0 when none was. ``state`` is that of the platform's list,
    empty when the instance is not listed.
    """

    instance_id: str
    incarnation: str
    failure_domain: str
    region: str
    version: int
    digest: str
    is_connected: bool
    is_self: bool
    state: str
    admin_address: str
