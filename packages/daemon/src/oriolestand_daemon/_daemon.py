"""Start the services of a daemon and shut them down."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants

SERVICES_PACKAGE = 'oriolestand_daemon.services'
SERVICES = (
    'telemetry',
    'platform',
    'tables',
    'membership',
    'grants',
    'peers',
    'dispatch',
    'upstreams',
    'frontend',
    'batch',
    'admin',
)


class Daemon:
    """Own the kernel of one daemon."""

    def __init__(
        self,
        cfg: settings.Settings,
        reactor: Any,
        ids: core.IdSource | None = None,
    ) -> None:
        self._cfg = cfg
        self._log = core.get_logger('daemon')
        self._is_stopping = False
        self.kernel = core.Kernel(
            core.ReactorClock(reactor), ids, reactor=reactor
        )

    def start(self) -> 'defer.Deferred[None]':
        """Set up and start all services."""
        return defer.ensureDeferred(
            self.kernel.load(SERVICES_PACKAGE, SERVICES, self._cfg)
        )

    async def shut_down(self) -> None:
        """Finish the requests in progress, give slots back and stop."""
        if self._is_stopping:
            return
        self._is_stopping = True
        admin: Any = self.kernel.find('admin')
        admin.is_leaving = True
        self._log.info('Shutting down')
        await self.kernel.sleep(self._cfg.limits.linger_ms)
        await defer.maybeDeferred(self.kernel.find('frontend').stop)
        await self.kernel.ask('dispatch', dispatch.DrainRequests())
        await self.kernel.ask('batch', batch.DrainTasks())
        try:
            await self.kernel.ask('grants', grants.ReleaseGrants())
        except core.OriolestandError as exc:
            self._log.warning('Grants not released', reason=str(exc))
        await self.kernel.stop()
