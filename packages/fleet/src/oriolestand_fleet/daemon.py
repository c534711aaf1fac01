"""Start the services of a fleet daemon and shut them down."""

from collections.abc import Callable
import dataclasses
import gc
import signal
from typing import Any

import structlog
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import _logs
from oriolestand_fleet import settings
from oriolestand_fleet.messages import lifecycle

SERVICES_PACKAGE = 'oriolestand_fleet.services'
SERVICES = ('telemetry', 'config', 'jobs', 'cell', 'frontend')

SHUTDOWN_MARGIN_MS = 700
"""Left of the time until the kill when waiting for callers ends."""

GC_THRESHOLDS = (20_000, 20, 50)
"""Collect rarely: requests leave few cycles, and a pause is tail latency."""

STDOUT = 1


class FleetDaemon:
    """Own the kernel of one fleet daemon.

    :param adapter: the package that contains the services ``store`` and
        ``orders`` of the platform.
    :param read_settings: reads the settings again; raises OriolestandError.
    """

    def __init__(
        self,
        cfg: settings.FleetSettings,
        adapter: str,
        reactor: Any,
        read_settings: Callable[[], settings.FleetSettings],
    ) -> None:
        self._cfg = cfg
        self._read_settings = read_settings
        self._adapter = adapter
        self._reactor = reactor
        self.kernel = core.Kernel(core.ReactorClock(reactor), reactor=reactor)
        self._log = core.get_logger('daemon')
        self._is_stopping = False
        self._sink = _logs.LineSink(
            STDOUT,
            cfg.log.lines_per_s,
            self.kernel.clock.now,
            self.kernel.clock.call_later,
        )

    def run(self) -> None:
        """Run the reactor until a signal ends the daemon."""
        core.configure_logs(
            'json',
            self._cfg.log.level,
            self.kernel.clock.now,
            stream=self._sink,
            repeat_limit=None,
        )
        structlog.contextvars.bind_contextvars(instance=self._cfg.instance)
        reactor = self._reactor
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(
                number, lambda *_: reactor.callFromThread(self._begin_stop)
            )
        signal.signal(
            signal.SIGHUP, lambda *_: reactor.callFromThread(self._reload)
        )
        reactor.callWhenRunning(self._start)
        reactor.run(installSignalHandlers=False)
        self._sink.close()

    def _start(self) -> None:
        """Set up all services."""
        fut = defer.ensureDeferred(self._set_up())
        fut.addErrback(self._on_start_failed)

    async def _set_up(self) -> None:
        """Load the adapter's services, then the daemon's own."""
        cfg = self._cfg
        self._log.info(
            'Daemon starts',
            failure_domain=cfg.failure_domain,
            incarnation=str(self.kernel.incarnation),
        )
        # The services of the adapter depend on no other.
        await self.kernel.load(self._adapter, ('store', 'orders'), cfg)
        await self.kernel.load(SERVICES_PACKAGE, SERVICES, cfg)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._log.info('Daemon runs')

    def _on_start_failed(self, reason: Any) -> None:
        """Log why the daemon cannot start and end it."""
        self._log.error('Start failed', reason=reason.getTraceback())
        self._reactor.stop()

    def _reload(self) -> None:
        """Check the settings again and log which need a restart."""
        try:
            fresh = self._read_settings()
        except core.OriolestandError as exc:
            self._log.error('Settings not usable, kept', why=str(exc))
            return
        changed = [
            field.name
            for field in dataclasses.fields(fresh)
            if field.name != 'codec'
            and getattr(fresh, field.name) != getattr(self._cfg, field.name)
        ]
        self._log.info('Settings read again', needs_restart=changed)

    def _begin_stop(self) -> None:
        """Shut down once; a second signal changes nothing."""
        if self._is_stopping:
            return
        self._is_stopping = True
        fut = defer.ensureDeferred(self._shut_down())
        fut.addErrback(
            lambda reason: self._log.error(
                'Shutdown failed', reason=reason.getTraceback()
            )
        )
        fut.addBoth(lambda _: self._reactor.stop())

    async def _shut_down(self) -> None:
        """Hand over the cell, let callers finish and stop the services."""
        self._log.info('Daemon shuts down')
        self.kernel.publish(lifecycle.ShutdownStarted(), is_state=True)
        limit = self._cfg.limits.shutdown_ms - SHUTDOWN_MARGIN_MS
        release = self.kernel.ask('cell', lifecycle.ReleaseCell())
        drain = self.kernel.ask('frontend', lifecycle.DrainConnections())
        work = defer.DeferredList([release, drain], consumeErrors=True)
        timer = self.kernel.clock.call_later(limit, work.cancel)
        await work.addErrback(lambda _: None)
        timer.cancel()
        await self.kernel.stop()
        self._log.info('Daemon ends')
