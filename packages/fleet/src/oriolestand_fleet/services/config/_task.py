"""Track the operator's configuration."""

import random
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import config as messages
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.config import const
from oriolestand_policy import backoff


class ConfigTask(core.Task):
    """Publish the newest configuration; older versions are ignored."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._log = core.get_logger(const.DOMAIN)
        self._config: store.FleetConfig | None = None
        self._cursor: int | None = None
        self._is_unreachable = False
        self._is_burst = False
        self._changed_ms = -const.BURST_GAP_MS

    def start(self) -> None:
        """Start to follow the configuration."""
        self._run_loop()

    def _run_loop(self) -> None:
        """Follow the configuration; start again after an unexpected error."""

        def on_failed(reason: Any) -> None:
            self._log.error(
                'Following the configuration failed',
                reason=reason.getTraceback(),
            )
            self.kernel.clock.call_later(const.RESTART_MS, self._run_loop)

        defer.ensureDeferred(self._follow()).addErrback(on_failed)

    async def _follow(self) -> None:
        """Read the configuration, then apply changes until the task stops."""
        rng = random.Random(f'{self.kernel.incarnation} {const.DOMAIN}')
        retries = backoff.ExponentialBackoff(const.RETRY_MS, rng=rng)
        while not self.is_stopped:
            try:
                await self._read_next()
                retries.reset()
            except store.HistoryLostError as exc:
                self._log.warning(
                    'Change history lost, reading again', why=str(exc)
                )
                self._cursor = None
            except core.OriolestandError as exc:
                self._on_read_failed(exc)
                await self.kernel.sleep(retries.next_delay_ms())

    async def _read_next(self) -> None:
        """Read the configuration or its next change and advance the cursor."""
        message: object = store.ReadConfig()
        if self._cursor is not None and not self._is_burst:
            message = store.FollowConfig(
                after=self._cursor, wait_ms=const.FOLLOW_WAIT_MS
            )
        page: store.ConfigPage = await self.kernel.ask(store.SERVICE, message)
        if self._is_unreachable:
            self._is_unreachable = False
            self._log.info('Configuration can be read again')
        is_new = page.config is not None and self._apply(page.config)
        if self._config is None and page.config is None:
            # There is no configuration yet; retry soon, as reads are cheap.
            await self.kernel.sleep(const.RETRY_MS)
        self._cursor = max(self._cursor or 0, page.cursor)
        self._is_burst = is_new and self._starts_burst(page.size_bytes)
        if self._is_burst:
            await self.kernel.sleep(_burst_pause_ms(page.size_bytes))

    def _starts_burst(self, size_bytes: int) -> bool:
        """Return whether further changes are to be skipped after a change."""
        now = self.kernel.clock.now()
        gap_ms, self._changed_ms = now - self._changed_ms, now
        return (
            gap_ms < const.BURST_GAP_MS
            or size_bytes >= const.LARGE_CONFIG_BYTES
        )

    def _on_read_failed(self, exc: core.OriolestandError) -> None:
        """Log the first of consecutive failures."""
        if not self._is_unreachable:
            self._is_unreachable = True
            self._log.warning('Configuration cannot be read', why=str(exc))

    def _apply(self, config: store.FleetConfig) -> bool:
        """Publish a configuration and return True if it is a newer one."""
        current = self._config
        if current is not None and config.version <= current.version:
            return False
        self._config = config
        self._log.info(
            'Configuration in force',
            version=config.version,
            former=current.version if current else None,
            routes=len(config.routes),
        )
        self.kernel.post(
            telemetry.SERVICE,
            telemetry.SetGauge(
                name='config_version', label='', value=config.version
            ),
        )
        self.kernel.publish(
            messages.ConfigChanged(config=config), is_state=True
        )
        return True


def _burst_pause_ms(size_bytes: int) -> int:
    """Return the pause after a change of a size during a burst.

    >>> _burst_pause_ms(5_000), _burst_pause_ms(180_000)
    (200, 500)
    """
    pause_ms = size_bytes // const.BURST_BYTES_PER_MS
    return max(
        const.MIN_BURST_PAUSE_MS, min(pause_ms, const.MAX_BURST_PAUSE_MS)
    )
