"""Own the admin listener."""

from typing import Any

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.services.admin import _jobs
from oriolestand_daemon.services.admin import _probes
from oriolestand_daemon.services.admin import _site
from oriolestand_daemon.services.admin import _tables
from oriolestand_daemon.services.admin import const


class AdminTask(core.Task):
    """Answer operators' requests by asking the other services."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._port: Any = None
        self.is_leaving = False

    @property
    def address(self) -> str:
        """Return where operators connect."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def make_site(self) -> Any:
        """Return the site with all parts of the interface."""
        kernel = self.kernel
        return _site.make_site(
            kernel.reactor,
            {
                'live': _probes.ProbeApi(kernel, self._liveness),
                'ready': _probes.ProbeApi(kernel, self._readiness),
                'status': _probes.StatusApi(kernel, self._status),
                'instances': _probes.InstancesApi(kernel),
                'traces': _probes.TracesApi(kernel),
                'metrics': _probes.MetricsApi(kernel),
                'tables': _tables.TablesApi(kernel),
                'jobs': _jobs.JobsApi(kernel),
            },
        )

    def start(self) -> object:
        """Listen for operators."""
        listener = self._cfg.admin
        self._port = self.kernel.reactor.listenTCP(
            listener.port, self.make_site(), interface=listener.host
        )
        self._log.info('Listening', address=self.address)
        return None

    async def _tables(self) -> config.TablesStatus:
        """Return what is in force here."""
        status: config.TablesStatus = await self.kernel.ask(
            'tables', config.GetTablesStatus()
        )
        return status

    async def _liveness(self) -> str:
        """Return no reason: a process that answers is alive."""
        return ''

    async def _readiness(self) -> str:
        """Return why the balancer must not send callers here."""
        if self.is_leaving:
            return 'shutting down'
        if not (await self._tables()).is_known:
            return 'no tables yet, neither from the store nor from a peer'
        return ''

    async def _status(self) -> dict[str, Any]:
        """Return what this daemon knows and does."""
        pools = await self.kernel.ask('dispatch', dispatch.GetDispatchStatus())
        tables = await self._tables()
        tasks = None
        if 'batch' in self.kernel.services:
            tasks = await self.kernel.ask('batch', batch.GetBatchStatus())
        return {
            'instance_id': self._cfg.instance_id,
            'incarnation': self.kernel.incarnation,
            'failure_domain': self._cfg.failure_domain,
            'region': self._cfg.region,
            'version': tables.version,
            'digest': tables.digest,
            'ready': not await self._readiness(),
            'leaving': self.is_leaving,
            'services': sorted(self.kernel.services),
            'tables': tables,
            'pools': pools,
            'batch': tasks,
        }

    def stop(self) -> object:
        """Close the listener."""
        super().stop()
        return self._port.stopListening() if self._port else None
