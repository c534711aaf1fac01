"""Start the services of a daemon and shut them down."""

from typing import Any

from twisted.internet import defer
from twisted.python import failure

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import idempotency
from oriolestand_daemon.messages import lifecycle

SERVICES_PACKAGE = 'oriolestand_daemon.services'
SERVICES = (
    'telemetry',
    'platform',
    'tables',
    'membership',
    'grants',
    'peers',
    'dispatch',
    'idempotency',
    'upstreams',
    'frontend',
    'admin',
)

FINAL_TIMEOUT_MS = 5_000
"""Bounds the release of grants and the closing of connections.

By then no request is in progress, so that only the store or a caller that
does not read its answer can be slow.
"""


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
        self._cut: defer.Deferred[None] | None = None
        self.kernel = core.Kernel(
            core.ReactorClock(reactor), ids, reactor=reactor
        )

    def start(self) -> 'defer.Deferred[None]':
        """Set up and start all services."""
        return defer.ensureDeferred(
            self.kernel.load(SERVICES_PACKAGE, SERVICES, self._cfg)
        )

    @property
    def is_stopping(self) -> bool:
        """Return whether a shutdown has begun."""
        return self._cut is not None

    def cut_wait(self, reason: str) -> None:
        """Stop waiting for requests in progress."""
        if self._cut is not None and not self._cut.called:
            self._log.error('Shutdown does not wait on', reason=reason)
            self._cut.callback(None)

    async def shut_down(self) -> bool:
        """Finish what is in progress, give slots back and stop.

        Return whether everything ended by itself. The wait is bounded by
        ``shutdown_timeout_ms`` and by ``cut_wait``.
        """
        self._cut = defer.Deferred()
        limits = self._cfg.limits
        timer = self.kernel.clock.call_later(
            limits.shutdown_timeout_ms,
            lambda: self.cut_wait('shutdown_timeout_ms is over'),
        )
        self._log.info('Shutting down')
        admin: Any = self.kernel.services.get('admin')
        if admin is not None:
            admin.is_leaving = True
        self.kernel.publish(lifecycle.ShutdownStarted(), is_state=True)
        is_whole = await self._wait(defer.ensureDeferred(self._drain()))
        timer.cancel()
        await self._bounded('Keys', 'idempotency', idempotency.FlushKeys())
        await self._bounded('Grants', 'grants', grants.ReleaseGrants())
        await self._bounded(
            'Connections', 'frontend', lifecycle.CloseConnections()
        )
        await self.kernel.stop()
        return is_whole

    async def _drain(self) -> None:
        """Wait until no request and no batch task is left here."""
        await self.kernel.sleep(self._cfg.limits.linger_ms)
        await self.kernel.ask('frontend', lifecycle.CloseListener())
        if 'batch' in self.kernel.services:
            try:
                await self.kernel.ask('batch', batch.DrainTasks())
            except core.OriolestandError as exc:
                self._log.error('Tasks not handed over', reason=str(exc))
        # A keyed request reaches dispatch only after its key is recorded.
        await self.kernel.ask('idempotency', idempotency.DrainKeys())
        await self.kernel.ask('dispatch', dispatch.DrainRequests())

    async def _wait(self, work: 'defer.Deferred[None]') -> bool:
        """Return whether work ended before the wait was cut."""
        assert self._cut is not None
        waits: list[defer.Deferred[bool]] = [
            work.addCallbacks(lambda _: True, self._on_drain_failed),
            self._cut.addCallback(lambda _: False),
        ]
        is_whole, _ = await defer.DeferredList(waits, fireOnOneCallback=True)
        work.cancel()
        return bool(is_whole)

    def _on_drain_failed(self, reason: failure.Failure) -> bool:
        """Log why the wait ended early."""
        if not reason.check(defer.CancelledError):
            self._log.error('Drain failed', reason=reason.getErrorMessage())
        return False

    async def _bounded(self, what: str, service: str, message: object) -> None:
        """Ask a service for a last step and log when it does not end."""
        fut = self.kernel.ask(service, message)
        timer = self.kernel.clock.call_later(FINAL_TIMEOUT_MS, fut.cancel)
        try:
            await fut
        except (core.OriolestandError, defer.CancelledError) as exc:
            self._log.warning(
                'Last step not done', step=what, reason=repr(exc)
            )
        timer.cancel()
