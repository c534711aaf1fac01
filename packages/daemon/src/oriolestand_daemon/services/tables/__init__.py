"""Tables service: the configuration of routes and pools in force."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.tables._task import TablesTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> TablesTask:
    """Set up the tables service."""
    return TablesTask(kernel, cfg)
