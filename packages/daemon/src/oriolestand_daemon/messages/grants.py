"""Define messages and events of the grants service."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantsChanged:
    """Announce the slots that this daemon may use, by upstream address.

    ``horizon_ms`` bounds the deadline that may be sent to each upstream.
    """

    slots: Mapping[str, int]
    horizon_ms: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseGrants:
    """Give all slots back; the reply comes when that is recorded."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CoverTasks:
    """Ask to record that a task may outlive this daemon at an upstream.

    The reply is True once the row says that, after this daemon's death,
    its slots there are not free before ``horizon_ms`` have passed.
    """

    address: str
    horizon_ms: int
