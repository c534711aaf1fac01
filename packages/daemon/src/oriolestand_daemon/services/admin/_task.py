"""Run the admin listener."""

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
    """Serve the admin API for operators."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._port: Any = None
        # Set by the daemon when it begins to shut down.
        self.is_leaving = False

    @property
    def address(self) -> str:
        """Return the listening address as host:port, empty if closed."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def make_site(self) -> Any:
        """Return the HTTP site with all APIs."""
        kernel = self.kernel
        return _site.make_site(
            kernel.reactor,
            {
                'live': _probes.ProbeApi(kernel, self._get_liveness_problem),
                'ready': _probes.ProbeApi(kernel, self._get_readiness_problem),
                'status': _probes.StatusApi(kernel, self._get_status),
                'instances': _probes.InstancesApi(kernel),
                'traces': _probes.TracesApi(kernel),
                'metrics': _probes.MetricsApi(kernel),
                'tables': _tables.TablesApi(kernel),
                'jobs': _jobs.JobsApi(kernel),
            },
        )

    def start(self) -> object:
        """Open the listener for operators."""
        listener = self._cfg.admin
        self._port = self.kernel.reactor.listenTCP(
            listener.port, self.make_site(), interface=listener.host
        )
        self._log.info('Listening', address=self.address)
        return None

    async def _get_tables_status(self) -> config.TablesStatus:
        """Ask the tables service which version is in force."""
        status: config.TablesStatus = await self.kernel.ask(
            'tables', config.GetTablesStatus()
        )
        return status

    async def _get_liveness_problem(self) -> str:
        """Return an empty string: a daemon that responds is alive."""
        return ''

    async def _get_readiness_problem(self) -> str:
        """Return why this daemon is not ready, empty if it is."""
        if self.is_leaving:
            return 'shutting down'
        if not (await self._get_tables_status()).is_known:
            return 'no tables yet, neither from the store nor from a peer'
        return ''

    async def _get_status(self) -> dict[str, Any]:
        """Return the body of the response of the status API."""
        dispatch_status = await self.kernel.ask(
            'dispatch', dispatch.GetDispatchStatus()
        )
        tables = await self._get_tables_status()
        batch_status = None
        if 'batch' in self.kernel.services:
            batch_status = await self.kernel.ask(
                'batch', batch.GetBatchStatus()
            )
        return {
            'instance_id': self._cfg.instance_id,
            'incarnation': self.kernel.incarnation,
            'failure_domain': self._cfg.failure_domain,
            'region': self._cfg.region,
            'version': tables.version,
            'digest': tables.digest,
            'ready': not await self._get_readiness_problem(),
            'leaving': self.is_leaving,
            'services': sorted(self.kernel.services),
            'tables': tables,
            'pools': dispatch_status,
            'batch': batch_status,
        }

    def stop(self) -> object:
        """Close the listener."""
        super().stop()
        return self._port.stopListening() if self._port else None
