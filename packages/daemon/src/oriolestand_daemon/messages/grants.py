"""Define the messages and events of the grants service."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantsChanged:
    """Event: the slots that this daemon may use, by upstream address.

    ``horizon_ms`` is the longest deadline that may be sent to each upstream.
    """

    slots: Mapping[str, int]
    horizon_ms: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseGrants:
    """Request to release all slots; replies when the release is stored."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EnsureHorizon:
    """Request to record that a task may outlive this daemon at an upstream.

    The reply is True once the row states that the slots there stay occupied
    for ``horizon_ms`` after this daemon has died.
    """

    address: str
    horizon_ms: int
