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
    'batch',
    'admin',
)

FINAL_STEP_TIMEOUT_MS = 5_000
"""Timeout of each final step: storing keys, releasing grants and closing.

No request is in progress by then, so only the store or a caller that does
not read its response can cause a delay.
"""


class Daemon:
    """Run the services of a daemon in a kernel."""

    def __init__(
        self,
        cfg: settings.Settings,
        reactor: Any,
        ids: core.IdSource | None = None,
    ) -> None:
        self._cfg = cfg
        self._log = core.get_logger('daemon')
        self._wait_cancelled: defer.Deferred[None] | None = None
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
        """Return whether a shutdown has started."""
        return self._wait_cancelled is not None

    def stop_waiting(self, reason: str) -> None:
        """Stop waiting for requests in progress."""
        if (
            self._wait_cancelled is not None
            and not self._wait_cancelled.called
        ):
            self._log.error('Shutdown does not wait on', reason=reason)
            self._wait_cancelled.callback(None)

    async def shut_down(self) -> bool:
        """Finish the work in progress, release all slots and stop.

        Return whether all work ended in time. The wait for it ends with
        ``shutdown_timeout_ms`` or a call of ``stop_waiting``.
        """
        self._wait_cancelled = defer.Deferred()
        limits = self._cfg.limits
        timer = self.kernel.clock.call_later(
            limits.shutdown_timeout_ms,
            lambda: self.stop_waiting('shutdown_timeout_ms has passed'),
        )
        self._log.info('Shutting down')
        admin: Any = self.kernel.services.get('admin')
        if admin is not None:
            admin.is_leaving = True
        self.kernel.publish(lifecycle.ShutdownStarted(), is_state=True)
        is_clean = await self._wait_for(defer.ensureDeferred(self._drain()))
        timer.cancel()
        await self._ask_with_timeout(
            'Keys', 'idempotency', idempotency.FlushKeys()
        )
        await self._ask_with_timeout(
            'Grants', 'grants', grants.ReleaseGrants()
        )
        await self._ask_with_timeout(
            'Connections', 'frontend', lifecycle.CloseConnections()
        )
        await self.kernel.stop()
        return is_clean

    async def _drain(self) -> None:
        """Wait until no request and no batch task is left."""
        await self.kernel.sleep(self._cfg.limits.linger_ms)
        await self.kernel.ask('frontend', lifecycle.CloseListener())
        if 'batch' in self.kernel.services:
            try:
                await self.kernel.ask('batch', batch.DrainTasks())
            except core.OriolestandError as exc:
                self._log.error(
                    'Batch tasks were not handed over', reason=str(exc)
                )
        # Keys are drained first, because a keyed request reaches dispatch
        # only after its key is stored.
        await self.kernel.ask('idempotency', idempotency.DrainKeys())
        await self.kernel.ask('dispatch', dispatch.DrainRequests())

    async def _wait_for(self, work: 'defer.Deferred[None]') -> bool:
        """Return whether work succeeds before the wait is cancelled."""
        assert self._wait_cancelled is not None
        waits: list[defer.Deferred[bool]] = [
            work.addCallbacks(lambda _: True, self._on_drain_failed),
            self._wait_cancelled.addCallback(lambda _: False),
        ]
        is_clean, _ = await defer.DeferredList(waits, fireOnOneCallback=True)
        work.cancel()
        return bool(is_clean)

    def _on_drain_failed(self, reason: failure.Failure) -> bool:
        """Log why waiting for the work in progress failed."""
        if not reason.check(defer.CancelledError):
            self._log.error('Drain failed', reason=reason.getErrorMessage())
        return False

    async def _ask_with_timeout(
        self, step: str, service: str, message: object
    ) -> None:
        """Run a final step of a service; log if it fails or times out."""
        fut = self.kernel.ask(service, message)
        timer = self.kernel.clock.call_later(FINAL_STEP_TIMEOUT_MS, fut.cancel)
        try:
            await fut
        except (core.OriolestandError, defer.CancelledError) as exc:
            self._log.warning(
                'Final step of the shutdown not completed',
                step=step,
                reason=repr(exc),
            )
        timer.cancel()
