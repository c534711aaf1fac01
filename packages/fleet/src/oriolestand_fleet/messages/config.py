"""Messages of the ``config`` service."""

import dataclasses

from oriolestand_fleet.messages import store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigChanged:
    """State event: a configuration took effect."""

    config: store.FleetConfig
