"""Track the operator's configuration and evacuated failure domains."""

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.services.config._task import ConfigTask


def setup(kernel: core.Kernel, cfg: settings.FleetSettings) -> ConfigTask:
    """Set up the config service."""
    return ConfigTask(kernel, cfg.limits)
