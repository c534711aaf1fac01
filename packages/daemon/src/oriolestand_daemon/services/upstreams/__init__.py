"""Send requests to upstreams over pooled connections."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.upstreams._task import UpstreamsTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> UpstreamsTask:
    """Set up the upstreams service."""
    return UpstreamsTask(kernel, cfg.limits.abort_grace_ms)
