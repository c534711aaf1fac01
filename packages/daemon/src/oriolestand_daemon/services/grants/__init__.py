"""Grants service: shares the slots of upstreams between daemons."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.grants._task import GrantsTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> GrantsTask:
    """Set up the grants service."""
    return GrantsTask(kernel, cfg)
