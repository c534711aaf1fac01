"""Idempotency service: runs a request with a key at most once."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.idempotency._task import IdempotencyTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> IdempotencyTask:
    """Set up the idempotency service."""
    return IdempotencyTask(kernel)
