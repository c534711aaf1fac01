"""Collect metrics and serve them over HTTP."""

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.services.telemetry._task import TelemetryTask


def setup(kernel: core.Kernel, cfg: settings.FleetSettings) -> TelemetryTask:
    """Set up the telemetry service."""
    return TelemetryTask(kernel, cfg)
