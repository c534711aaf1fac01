"""Serve the HTTP requests of callers and the load balancer."""

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.services.frontend._task import FrontendTask


def setup(kernel: core.Kernel, cfg: settings.FleetSettings) -> FrontendTask:
    """Set up the frontend service."""
    return FrontendTask(kernel, cfg)
