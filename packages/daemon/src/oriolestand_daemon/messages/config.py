"""Define the messages and events of the tables service."""

import dataclasses

from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesChanged:
    """Event: a new version of the tables is in force; versions only rise.

    ``document`` is packed for sending to peers, with
    ``oriolestand_models.compress_document``.
    """

    tables: tables.Tables
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeliverTables:
    """Deliver a packed document that is in force at a peer."""

    document: bytes
    peer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetDocument:
    """Request a document as JSON bytes, by default the one in force."""

    version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyDocument:
    """Request to replace the tables; ``base_version`` is the edited version.

    ``edit_id`` may be set by the client of the operator, to find the edit in
    the history if the reply is lost.
    """

    document: bytes
    base_version: int
    edited_by: str
    edit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditEntry:
    """Request to replace or remove one route or pool.

    ``table`` is ``routes`` or ``pools``. ``entry`` is JSON, or None to remove
    the entry. Without ``base_version``, the current version is edited.
    """

    table: str
    name: str
    entry: bytes | None
    base_version: int | None
    edited_by: str
    edit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UndoEdit:
    """Request a new version with the content of an earlier ``version``.

    Without ``base_version``, the current version is replaced.
    """

    version: int
    base_version: int | None
    edited_by: str
    edit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetHistory:
    """Request the newest versions; replies ``tuple[HistoryEntry, ...]``."""

    limit: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEntry:
    """A version of the tables and its changes to the previous version."""

    version: int
    edited_by: str
    edit_id: str
    digest: str
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adoption:
    """When a version came into force here, in Unix time, and its source."""

    version: int
    digest: str
    wall_ms: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetTablesStatus:
    """Request the state of the tables; the reply is a ``TablesStatus``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesStatus:
    """The state of the tables in this daemon.

    ``is_known`` is False until a version is in force or the store has
    reported that there is none. ``store_error`` is the code of the last
    failed poll. ``conflicting_digest`` is the digest of a different document
    received with the version in force; it is empty unless there is a fault.
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
    """Request all entry instances; replies ``tuple[InstanceStatus, ...]``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """An entry instance and the version it has in force.

    Without a link, ``is_connected`` is False and ``version`` is the last one
    received, or 0. ``state`` comes from the instance list of the platform;
    it is empty if the instance is not listed.
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
