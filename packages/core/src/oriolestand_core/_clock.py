"""Define clocks that tell the time and schedule calls, in milliseconds."""

import abc
from collections.abc import Callable
import heapq
import time
from typing import NewType
from typing import Protocol

Millis = NewType('Millis', int)

MILLIS_PER_SECOND = 1000
NANOS_PER_MILLI = 1_000_000


class Timer(Protocol):
    """Represent a scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call unless it was made or cancelled already."""


class Clock(abc.ABC):
    """Base of clocks; all times and delays are in milliseconds."""

    @abc.abstractmethod
    def now(self) -> Millis:
        """Return monotonic time; only differences are meaningful."""

    @abc.abstractmethod
    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""

    @abc.abstractmethod
    def call_later(self, delay: int, func: Callable[[], object]) -> Timer:
        """Call ``func`` once, ``delay`` milliseconds from now."""


class _ManualTimer:
    """A call of a ManualClock; ``func`` is None once made or cancelled."""

    __slots__ = ('func',)

    def __init__(self, func: Callable[[], object] | None) -> None:
        self.func = func

    def cancel(self) -> None:
        """Cancel the call."""
        self.func = None


class ManualClock(Clock):
    """Clock whose time is virtual and moves only when ``advance`` is called.

    Used by tests, protocol models and benchmarks.

    >>> clock = ManualClock()
    >>> seen = []
    >>> timer = clock.call_later(5, lambda: seen.append(clock.now()))
    >>> clock.advance(10)
    >>> seen
    [5]
    """

    def __init__(self, start: int = 0, wall: int = 0) -> None:
        self._now = start
        self._wall_offset = wall - start
        self._timers: list[tuple[int, int, _ManualTimer]] = []
        self._timer_count = 0

    def now(self) -> Millis:
        """Return the virtual time."""
        return Millis(self._now)

    def wall(self) -> Millis:
        """Return the virtual wall-clock time."""
        return Millis(self._now + self._wall_offset)

    def call_later(self, delay: int, func: Callable[[], object]) -> Timer:
        """Schedule a call in virtual time; ``delay`` is in milliseconds."""
        timer = _ManualTimer(func)
        self._timer_count += 1
        heapq.heappush(
            self._timers, (self._now + delay, self._timer_count, timer)
        )
        return timer

    def advance(self, delta: int) -> None:
        """Move time forward by ``delta`` ms and make due calls in order."""
        end = self._now + delta
        while self._timers and self._timers[0][0] <= end:
            due, _, timer = heapq.heappop(self._timers)
            self._now = max(self._now, due)
            if timer.func is not None:
                func, timer.func = timer.func, None
                func()
        self._now = end


class _ReactorLike(Protocol):
    """Describe the reactor interface that ReactorClock depends on."""

    def callLater(  # noqa: N802
        self, delay: float, func: Callable[[], object]
    ) -> 'object':
        """Call ``func`` after ``delay`` seconds."""


class _ReactorTimer:
    """Adapt a Twisted delayed call, which raises if it is cancelled late."""

    __slots__ = ('_call',)

    def __init__(self, call: object) -> None:
        self._call = call

    def cancel(self) -> None:
        """Cancel the call unless it was made or cancelled already."""
        if self._call.active():  # type: ignore[attr-defined]
            self._call.cancel()  # type: ignore[attr-defined]


class ReactorClock(Clock):
    """Read the system clocks and schedule calls in a Twisted reactor.

    :param reactor: a reactor, or ``twisted.internet.task.Clock`` in tests.
    """

    def __init__(self, reactor: _ReactorLike) -> None:
        self._reactor = reactor

    def now(self) -> Millis:
        """Return the time since boot, including time spent suspended.

        ``time.monotonic`` stops while a machine is suspended, so a lease
        that expired during that time would appear valid after resuming.
        """
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        # Without the call of NewType, as each request reads the clock often.
        return nanos // NANOS_PER_MILLI  # type: ignore[return-value]

    def wall(self) -> Millis:
        """Return the system's wall-clock time."""
        return Millis(int(time.time() * MILLIS_PER_SECOND))

    def call_later(self, delay: int, func: Callable[[], object]) -> Timer:
        """Schedule a call in the reactor."""
        seconds = max(0, delay) / MILLIS_PER_SECOND
        return _ReactorTimer(self._reactor.callLater(seconds, func))
