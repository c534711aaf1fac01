"""Messages of the ``config`` service."""

from collections.abc import Mapping
import dataclasses

from oriolestand_fleet.messages import store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigChanged:
    """State event: a configuration took effect."""

    config: store.FleetConfig


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationsRead:
    """State event: the operator's evacuations were read from the store.

    ``failure_domains`` are the evacuated ones. All requests that the store
    had acknowledged by ``known_at_ms``, on the daemon's clock, are included.
    ``returned_ms`` is when evacuated domains were found to be taken back.
    """

    failure_domains: frozenset[str]
    known_at_ms: int
    returned_ms: Mapping[str, int]
