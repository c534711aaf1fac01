"""Maintain links to the other daemons and forward requests over them."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.peers._task import PeersTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> PeersTask:
    """Set up the peers service."""
    return PeersTask(kernel, cfg)
