"""Tell since when the data of a request may have waited to be read."""

import oriolestand_core as core
from oriolestand_fleet.services.frontend import const


class Arrivals:
    """Notice pauses of the process, in which the kernel received requests.

    A request that is read after a pause may have arrived at its beginning, so
    its deadline counts from then.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._beat_ms: int = clock.now()
        self._pause_start_ms: int = self._beat_ms
        self._pause_end_ms: int | None = None

    def start(self) -> None:
        """Start to watch for pauses."""
        self._on_beat()

    def _on_beat(self) -> None:
        """Note how much time has passed since the last call."""
        now = self._clock.now()
        if now - self._beat_ms > const.PAUSE_MS:
            self._pause_start_ms = self._beat_ms
            self._pause_end_ms = now
        self._beat_ms = now
        self._clock.call_later(const.BEAT_MS, self._on_beat)

    def earliest_ms(self) -> int:
        """Return the earliest arrival of data that is read now."""
        now = self._clock.now()
        if now - self._beat_ms > const.PAUSE_MS:
            # The reactor may read from sockets before it calls timers.
            return self._beat_ms
        end_ms = self._pause_end_ms
        if end_ms is not None and now - end_ms <= const.READ_AFTER_PAUSE_MS:
            return self._pause_start_ms
        return now
