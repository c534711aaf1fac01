"""Define the messages to the service ``store``, which an adapter provides.

Every message is a question. A failed one raises StoreError; its verdict says
whether a write may have been applied or may still be.
"""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import scheduling

SERVICE = 'store'


class StoreError(core.OriolestandError):
    """Raise when the store gave no usable answer."""

    code = 'store_unavailable'
    http_status = 503


class HistoryLostError(StoreError):
    """Raise when the changes after a version are no longer kept."""

    code = 'store_history_lost'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Hold one row; ``value`` is None when the row was removed."""

    part: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowPage:
    """Hold rows; ``version`` is the newest version of the whole store."""

    rows: tuple[Row, ...]
    version: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRows:
    """Ask for the rows of a part by key; the reply is a RowPage.

    The range excludes ``end``; an empty ``end`` means no bound.
    """

    table: str
    part: str
    start: str = ''
    end: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowRows:
    """Ask for the changes of a table after a version.

    The reply is a RowPage, at the latest after ``wait_ms``. Raises
    HistoryLostError.
    """

    table: str
    after: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """Require a row to have a version; 0 means that there is no row."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Replace a row, or remove it when the value is None."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitRows:
    """Apply all puts if all checks hold; the reply is a CommitResult."""

    table: str
    part: str
    checks: tuple[Check, ...]
    puts: tuple[Put, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitResult:
    """Say whether a commit was applied; ``current`` are the checked rows.

    ``version`` is that of all rows written by an applied commit.
    """

    is_applied: bool
    version: int
    current: tuple[Row, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Match requests by host and path prefix."""

    host: str
    prefix: str
    policy: scheduling.RoutePolicy


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfig:
    """Hold the operator's configuration of routes and limits."""

    version: int
    routes: tuple[Route, ...]
    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigPage:
    """Hold the configuration if it was read or has changed."""

    config: FleetConfig | None
    cursor: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadConfig:
    """Ask for the configuration; the reply is a ConfigPage."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowConfig:
    """Ask for a change of the configuration after a cursor.

    The reply is a ConfigPage. Raises HistoryLostError.
    """

    after: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkersPage:
    """Hold workers by id; None stands for one that is no longer listed."""

    workers: dict[str, scheduling.WorkerInfo | None]
    cursor: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadWorkers:
    """Ask for all registered workers; the reply is a WorkersPage."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowWorkers:
    """Ask for changes of the registered workers after a cursor.

    The reply is a WorkersPage. Raises HistoryLostError.
    """

    after: int
    wait_ms: int
