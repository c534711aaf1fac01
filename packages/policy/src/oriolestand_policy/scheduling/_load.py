"""Fit the work of an owner to the processor time that it gets."""

from oriolestand_policy import delays

WINDOW_MS = 2_000
"""A delay of the event loop counts for this long, as the passes of a busy
owner are not all long."""

BUSY_DELAY_MS = 250
"""Delay of the event loop from which on an owner saves work. Rounds in a fleet
of some hundred workers stay below it if the owner has a core."""

ROUND_TIME_FACTOR = 2
"""A round comes at the earliest this many times its own duration after the
last one, so that rounds take a third of the processor at most."""

MAX_ROUND_DELAY_MS = 500
"""Longest time between rounds: a task that could start waits for it."""

MAX_POLL_WAIT_MS = 2_000
"""Longest time for which workers delay the answer to a poll."""

LEASED_SHARE_PERCENT = 40
"""Share of a lease after which a busy owner renews it at the latest, so that
there is time for another after one that takes its whole timeout."""

IDLE_SHARE_PERCENT = 66
"""The same for workers without runs, which have no lease to lose."""

TICK_MS = 200
"""Delay of the timer that measures the event loop."""

PASSES_PER_POLL = 3
"""Passes of the event loop from one poll to the next: the poll is written in
one, its answer is read in another, and the next poll waits for a third."""

MAX_STARTS_PER_ROUND = 200
"""Starts decided in a round while the owner is not busy."""

MAX_STARTS_WHEN_BUSY = 16
"""Starts decided in a round of a busy owner. Each takes a few milliseconds of
a slow processor, and reports and stops wait behind them."""


class OwnerLoad:
    """Measure how late an owner runs, and derive the limits of its work.

    Work is done in this order when there is more than the processor can do:
    stops, then the polls that renew leases, then starts of service tasks,
    then other starts. ``OrderQueue`` has the order of orders. This class
    keeps polls and rounds from using up the processor.

    All times are milliseconds.

    :param lease_max_ms: the longest lease that workers grant.

    >>> load = OwnerLoad(lease_max_ms=6_000)
    >>> load.on_tick(late_ms=20, now_ms=200)
    >>> load.poll_wait_ms(1_000, now_ms=200, has_runs=False)
    1000
    >>> load.on_tick(late_ms=300, now_ms=1_100)
    >>> load.poll_wait_ms(1_000, now_ms=1_100, has_runs=False)
    2000
    >>> load.poll_pause_ms(now_ms=1_100, has_runs=False)
    460
    >>> load.poll_wait_ms(1_000, now_ms=1_100, has_runs=True)
    900
    """

    def __init__(self, lease_max_ms: int) -> None:
        self._lease_max_ms = lease_max_ms
        self._delays = delays.DelayWindow(WINDOW_MS)
        self._round_ms = 0
        self._round_end_ms: int | None = None

    def on_tick(self, late_ms: int, now_ms: int) -> None:
        """Note how much later than due the event loop called a timer."""
        self._delays.add(late_ms, now_ms)

    def delay_ms(self, now_ms: int) -> int:
        """Return the longest recent delay of the event loop."""
        return self._delays.longest_ms(now_ms)

    def is_busy(self, now_ms: int) -> bool:
        """Return whether the owner has more to do than it can do in time."""
        return self.delay_ms(now_ms) >= BUSY_DELAY_MS

    # Rounds.

    @property
    def round_ms(self) -> int:
        """Return how long the last round took."""
        return self._round_ms

    def on_round(self, duration_ms: int, now_ms: int) -> None:
        """Note how long the round took that has just ended."""
        self._round_ms = duration_ms
        self._round_end_ms = now_ms

    def round_delay_ms(self, delay_ms: int, now_ms: int) -> int:
        """Return the delay of a round that would be due in ``delay_ms``."""
        if self._round_end_ms is None:
            return delay_ms
        pause_ms = min(ROUND_TIME_FACTOR * self._round_ms, MAX_ROUND_DELAY_MS)
        return max(delay_ms, self._round_end_ms + pause_ms - now_ms)

    def batch_size(self, now_ms: int, unsent_starts: int) -> int:
        """Return how many starts a round may decide.

        Starts that are decided long before they are sent hold capacity that
        others could use, so those that wait count.
        """
        limit = (
            MAX_STARTS_WHEN_BUSY
            if self.is_busy(now_ms)
            else MAX_STARTS_PER_ROUND
        )
        return max(0, limit - unsent_starts)

    # Polls.

    def poll_wait_ms(
        self, wait_ms: int, now_ms: int, *, has_runs: bool
    ) -> int:
        """Return for how long a worker may delay its answer to a poll.

        ``wait_ms`` is the time for an owner that is not busy, and ``has_runs``
        whether the poll renews a lease that runs depend on.
        """
        if not self.is_busy(now_ms):
            return wait_ms
        # A wait within a pass costs no time. Without it the report, and the
        # clock of the worker in it, is older when it is read.
        shortest_ms = min(wait_ms, self.delay_ms(now_ms))
        return min(
            MAX_POLL_WAIT_MS,
            max(shortest_ms, self._time_between_polls(now_ms, has_runs)),
        )

    def poll_pause_ms(self, now_ms: int, *, has_runs: bool) -> int:
        """Return the pause between a report and the next poll."""
        if not self.is_busy(now_ms):
            return 0
        time_ms = self._time_between_polls(now_ms, has_runs)
        return max(0, time_ms - MAX_POLL_WAIT_MS)

    def _time_between_polls(self, now_ms: int, has_runs: bool) -> int:
        """Return how long a poll and the pause after it may last."""
        # A timer that is late by less than a pass was due within that pass.
        pass_ms = self.delay_ms(now_ms) + TICK_MS
        passes_ms = PASSES_PER_POLL * pass_ms
        percent = LEASED_SHARE_PERCENT if has_runs else IDLE_SHARE_PERCENT
        return max(0, self._lease_max_ms * percent // 100 - passes_ms)
