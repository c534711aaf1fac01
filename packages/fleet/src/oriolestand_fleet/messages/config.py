"""Define the messages of the service ``config``."""

import dataclasses

from oriolestand_fleet.messages import store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigChanged:
    """Announce the configuration in force; a state event."""

    config: store.FleetConfig
