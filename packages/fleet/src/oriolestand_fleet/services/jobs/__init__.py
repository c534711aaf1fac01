"""Accept jobs and serve their state."""

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.services.jobs._task import JobsTask


def setup(kernel: core.Kernel, cfg: settings.FleetSettings) -> JobsTask:
    """Set up the jobs service."""
    return JobsTask(kernel, cfg)
