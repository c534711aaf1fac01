"""Track the operator's configuration and evacuated failure domains."""

import random
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config as messages
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.config import _evacuations
from oriolestand_fleet.services.config import const
from oriolestand_policy import backoff


class ConfigTask(core.Task):
    """Publish the newest configuration; older versions are ignored.

    The evacuated failure domains are published after each read, as the owner
    must know until when they are known.
    """

    def __init__(self, kernel: core.Kernel, limits: settings.Limits) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._log = core.get_logger(const.DOMAIN)
        self._evacuations = _evacuations.Evacuations(self._log)
        self._evacuate_ms = limits.evacuate_ms
        self._reported_domains: frozenset[str] = frozenset()
        self._is_owner = False
        self._read_delay_ms = 0
        self._config: store.FleetConfig | None = None
        self._cursor: int | None = None
        self._is_unreachable = False
        self._is_burst = False
        self._changed_ms = -const.BURST_GAP_MS

    def start(self) -> None:
        """Start to follow the configuration."""
        self.kernel.subscribe(jobs.OwnershipChanged, self)
        self._run_loop()

    @core.handles(jobs.OwnershipChanged)
    def _on_ownership(self, msg: jobs.OwnershipChanged) -> None:
        """Read more often while this daemon starts tasks."""
        self._is_owner = msg.is_owner

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
        wait_ms = 0
        if self._cursor is not None and not self._is_burst:
            wait_ms = const.FOLLOW_WAIT_MS
            if self._is_owner and self._evacuate_ms is not None:
                wait_ms = _owner_wait_ms(
                    self._evacuate_ms, self._read_delay_ms
                )
            message = store.FollowConfig(after=self._cursor, wait_ms=wait_ms)
        sent_ms = self.kernel.clock.now()
        page = await self._read(message)
        elapsed_ms = self.kernel.clock.now() - sent_ms
        self._read_delay_ms = max(0, elapsed_ms - wait_ms)
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
            await self._pause(_burst_pause_ms(page.size_bytes))

    async def _read(self, message: object) -> store.ConfigPage:
        """Read a page, and publish the evacuated failure domains."""
        sent_ms = self.kernel.clock.now()
        page: store.ConfigPage = await self.kernel.ask(store.SERVICE, message)
        self._evacuations.apply(page, self.kernel.clock.now())
        event = self._evacuations.event(known_at_ms=sent_ms)
        self.kernel.post(
            telemetry.SERVICE,
            telemetry.SetGauge(
                name='evacuated_domains',
                label='',
                value=len(event.failure_domains),
            ),
        )
        self._report_domains(event.failure_domains)
        self.kernel.publish(event, is_state=True)
        return page

    def _report_domains(self, failure_domains: frozenset[str]) -> None:
        """Set the gauge of each domain that is evacuated or was before."""
        for domain in sorted(failure_domains | self._reported_domains):
            self.kernel.post(
                telemetry.SERVICE,
                telemetry.SetGauge(
                    name='domain_evacuated',
                    label=domain,
                    value=int(domain in failure_domains),
                ),
            )
        self._reported_domains = failure_domains

    async def _pause(self, pause_ms: int) -> None:
        """Wait during a burst, and go on to read the evacuations.

        The time within which an evacuation must take effect also holds while
        many large configurations are written.
        """
        until_ms = self.kernel.clock.now() + pause_ms
        while (left_ms := until_ms - self.kernel.clock.now()) > 0:
            await self.kernel.sleep(min(left_ms, const.EVACUATION_READ_MS))
            await self._read(store.ReadEvacuations())

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


def _owner_wait_ms(evacuate_ms: int, read_delay_ms: int) -> int:
    """Return how long the owner of the cell waits for a change.

    A response tells that there was no evacuation when its request was sent.
    Until the next response the state becomes as old as two reads take, of
    which the time in which an evacuation must take effect has to leave most.
    So the wait is shorter by what the last read took beside its wait.

    >>> _owner_wait_ms(4_000, 10), _owner_wait_ms(2_000, 10)
    (490, 240)
    >>> _owner_wait_ms(2_000, 1_000)
    0
    """
    wait_ms = min(const.FOLLOW_WAIT_MS, evacuate_ms // 8)
    return max(0, wait_ms - read_delay_ms)
