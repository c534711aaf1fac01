"""Follow the operator's configuration."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import config as contracts
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.config import const


class ConfigTask(core.Task):
    """Own the configuration in force; it never goes back a version."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._log = core.get_logger(const.DOMAIN)
        self._config: store.FleetConfig | None = None
        self._cursor: int | None = None
        self._is_lost = False
        self._loop: Any = None

    def start(self) -> None:
        """Begin to follow the configuration."""
        self._loop = defer.ensureDeferred(self._follow())

    async def _follow(self) -> None:
        """Read the configuration, then wait for changes, for ever."""
        while not self.is_stopped:
            try:
                await self._step()
            except store.HistoryLostError as exc:
                self._log.warning('Changes lost, reading again', why=str(exc))
                self._cursor = None
            except core.OriolestandError as exc:
                self._note_lost(exc)
                await self.kernel.sleep(const.RETRY_MS)

    async def _step(self) -> None:
        """Make one call to the store and take over what it says."""
        message: object = store.ReadConfig()
        if self._cursor is not None:
            message = store.FollowConfig(
                after=self._cursor, wait_ms=const.FOLLOW_WAIT_MS
            )
        page: store.ConfigPage = await self.kernel.ask(store.SERVICE, message)
        if self._is_lost:
            self._is_lost = False
            self._log.info('Configuration is followed again')
        if page.config is not None:
            self._apply(page.config)
        if self._config is None and page.config is None:
            # No configuration yet: read it again, as reads are cheap.
            await self.kernel.sleep(const.RETRY_MS)
        self._cursor = max(self._cursor or 0, page.cursor)

    def _note_lost(self, exc: core.OriolestandError) -> None:
        """Log the first of a row of failures."""
        if not self._is_lost:
            self._is_lost = True
            self._log.warning('Configuration cannot be read', why=str(exc))

    def _apply(self, config: store.FleetConfig) -> None:
        """Put a newer configuration into force."""
        known = self._config
        if known is not None and config.version <= known.version:
            return
        self._config = config
        self._log.info(
            'Configuration in force',
            version=config.version,
            former=known.version if known else None,
            routes=len(config.routes),
        )
        self.kernel.post(
            telemetry.SERVICE,
            telemetry.SetGauge(
                name='config_version', label='', value=config.version
            ),
        )
        self.kernel.publish(
            contracts.ConfigChanged(config=config), is_state=True
        )
