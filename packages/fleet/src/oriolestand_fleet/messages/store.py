"""Messages to the ``store`` service, which an adapter provides.

Every message is a request. A failed request raises StoreError, whose verdict
tells whether a write may have been applied, or may yet be applied.

A ``part`` is a partition of a table. A commit changes rows of one part.
"""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import scheduling

SERVICE = 'store'


class StoreError(core.OriolestandError):
    """Raised when the store sent no valid response or refused a request."""

    code = 'store_unavailable'
    http_status = 503


class HistoryLostError(StoreError):
    """Raised when the store no longer keeps the requested changes."""

    code = 'store_history_lost'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row; ``value`` is None if the row was removed."""

    part: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowPage:
    """Rows of a response; ``version`` is the newest version of the store."""

    rows: tuple[Row, ...]
    version: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRows:
    """Read the rows of a part in key order; the reply is a RowPage.

    The range excludes ``end``; an empty ``end`` means no upper bound.
    """

    table: str
    part: str
    start: str = ''
    end: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowRows:
    """Wait for changes of a table after a version.

    The reply is a RowPage, at the latest after ``wait_ms``. Fails with
    HistoryLostError.
    """

    table: str
    after: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """Condition on the version of a row; 0 requires that it is absent.

    An empty ``table`` means that of the commit.
    """

    key: str
    version: int
    table: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Write a row, or remove it if the value is None.

    An empty ``table`` means that of the commit.
    """

    key: str
    value: bytes | None
    table: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitRows:
    """Apply all puts if all checks hold; the reply is a CommitResult.

    With ``send_by_ms``, a time of the daemon's clock, it is not sent later.
    """

    table: str
    part: str
    checks: tuple[Check, ...]
    puts: tuple[Put, ...]
    send_by_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitResult:
    """The outcome of a commit; ``current`` holds the checked rows.

    All rows written by an applied commit have ``version``. ``now_ms`` is the
    time of the store's steady clock, 0 if unknown.
    """

    is_applied: bool
    version: int
    current: tuple[Row, ...] = ()
    now_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route of requests, matched by host and path prefix."""

    host: str
    prefix: str
    policy: scheduling.RoutePolicy

    @property
    def path(self) -> str:
        """Return the host and the path prefix, which identify a place."""
        return self.host + self.prefix


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfig:
    """The operator's configuration of routes and request limits."""

    version: int
    routes: tuple[Route, ...]
    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """Whether the operator requests the evacuation of a failure domain."""

    failure_domain: str
    is_requested: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigPage:
    """The configuration, or None if it is missing or unchanged.

    ``size_bytes`` is the size of all versions that the response carried.
    ``evacuations`` are changes in their order. If the page is complete, they
    are all requested evacuations as of ``cursor``.
    """

    config: FleetConfig | None
    cursor: int
    size_bytes: int = 0
    evacuations: tuple[Evacuation, ...] = ()
    is_complete: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadConfig:
    """Read the configuration and all evacuations.

    The reply is a complete ConfigPage.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadEvacuations:
    """Read all evacuations; the reply is a complete ConfigPage.

    It has no configuration, which may be large.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowConfig:
    """Wait for a change of the configuration or evacuations after a cursor.

    The reply is a ConfigPage. Fails with HistoryLostError.
    """

    after: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkersPage:
    """Registered workers by id; None marks one that is not registered."""

    workers: dict[str, scheduling.WorkerInfo | None]
    cursor: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadWorkers:
    """Read all registered workers; the reply is a WorkersPage."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowWorkers:
    """Wait for changes of the registered workers after a cursor.

    The reply is a WorkersPage. Fails with HistoryLostError.
    """

    after: int
    wait_ms: int
