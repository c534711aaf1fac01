"""Age of the replica, and waits until it is recent."""

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.jobs import const


class ViewAge:
    """Tell how old the replica is at most."""

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel
        self._log = core.get_logger(const.DOMAIN)
        self._known_ms: int | None = None
        self._is_slow = False
        self._waiters: list[defer.Deferred[None]] = []

    @property
    def age_ms(self) -> int | None:
        """Return the age, or None if nothing was read yet."""
        if self._known_ms is None:
            return None
        return self._kernel.clock.now() - self._known_ms

    @property
    def is_recent(self) -> bool:
        """Return whether callers may be told what the replica says."""
        age = self.age_ms
        return age is not None and age <= const.MAX_VIEW_AGE_MS

    @property
    def pause_ms(self) -> int:
        """Return the pause before the next read."""
        return 0 if self._is_slow else const.FOLLOW_PAUSE_MS

    def on_read(self, known_ms: int) -> None:
        """Note that all changes that were stored before a time are known."""
        self._known_ms = known_ms
        now = self._kernel.clock.now()
        self._is_slow = now - known_ms > const.SLOW_READ_MS
        if self.is_recent:
            waiters, self._waiters = self._waiters, []
            for fut in waiters:
                fut.callback(None)

    async def wait_until_recent(self, deadline_ms: int) -> None:
        """Wait for the next read that makes the replica recent.

        :raises ViewOutdatedError: if there is none until ``deadline_ms``.
        """
        if not self.is_recent:
            fut: defer.Deferred[None] = defer.Deferred()
            self._waiters.append(fut)
            delay_ms = max(0, deadline_ms - self._kernel.clock.now())
            timer = self._kernel.clock.call_later(
                delay_ms, lambda: self._end_wait(fut)
            )
            await fut
            timer.cancel()
        age = self.age_ms
        if age is not None:
            self._kernel.post(
                telemetry.SERVICE,
                telemetry.Observe(
                    name='counted_view_age', label='', latency_ms=age
                ),
            )
        if self.is_recent:
            return
        self._log.warning('View is too old for an answer', view_age_ms=age)
        raise messages.ViewOutdatedError(
            'the store could not be read in time', age_ms=age
        )

    def _end_wait(self, fut: 'defer.Deferred[None]') -> None:
        """End a wait without a recent read."""
        if fut in self._waiters:
            self._waiters.remove(fut)
            fut.callback(None)
