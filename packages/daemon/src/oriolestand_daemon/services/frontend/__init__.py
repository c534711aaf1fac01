"""Accept HTTP/1.1 requests of callers."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.frontend._task import FrontendTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> FrontendTask:
    """Set up the frontend service."""
    return FrontendTask(kernel, cfg)
