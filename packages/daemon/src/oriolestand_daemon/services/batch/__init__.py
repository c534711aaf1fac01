"""Batch service: queues, starts, evicts, adopts and hands over tasks."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.batch._task import BatchTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> BatchTask:
    """Set up the batch service."""
    return BatchTask(kernel, cfg)
