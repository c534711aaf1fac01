"""Provide the admin HTTP interface for operators and health checks."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.admin._task import AdminTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> AdminTask:
    """Set up the admin service."""
    return AdminTask(kernel, cfg)
