"""Give services access to rows, objects and instances of the platform."""

from typing import Any

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.platform._task import PlatformTask
import oriolestand_platform as platform


def setup(kernel: core.Kernel, cfg: settings.Settings) -> PlatformTask:
    """Set up the platform service."""
    return PlatformTask(kernel, make_client(kernel, cfg))


def make_client(
    kernel: core.Kernel, cfg: settings.Settings
) -> platform.PlatformClient:
    """Return the HTTP or in-memory client, depending on the settings."""
    if isinstance(cfg.platform, settings.HttpPlatformSettings):
        reactor: Any = kernel.reactor
        return platform.HttpPlatform(
            reactor, cfg.platform.url, cfg.platform.timeout_ms
        )
    store = platform.MemoryStore()
    return platform.MemoryPlatform(store, kernel.clock.wall)
