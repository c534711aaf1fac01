"""Define the clock in milliseconds that all parts use."""

import abc
from collections.abc import Callable
import heapq
import time
from typing import NewType
from typing import Protocol

Millis = NewType('Millis', int)

MILLIS_PER_SECOND = 1000


class Timer(Protocol):
    """Represent a call that is due later."""

    def cancel(self) -> None:
        """Drop the call; a second cancel does nothing."""


class Clock(abc.ABC):
    """Tell the time and call back later, in milliseconds."""

    @abc.abstractmethod
    def now(self) -> Millis:
        """Return monotonic time; only differences have a meaning."""

    @abc.abstractmethod
    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""

    @abc.abstractmethod
    def call_later(self, delay: int, func: Callable[[], object]) -> Timer:
        """Call ``func`` once, ``delay`` milliseconds from now."""


class _ManualTimer:
    """Hold one due call of a ManualClock."""

    __slots__ = ('func',)

    def __init__(self, func: Callable[[], object] | None) -> None:
        self.func = func

    def cancel(self) -> None:
        """Drop the call."""
        self.func = None


class ManualClock(Clock):
    """Advance only when told to, for tests, models and the bench.

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
        self._due: list[tuple[int, int, _ManualTimer]] = []
        self._count = 0

    def now(self) -> Millis:
        """Return the virtual time."""
        return Millis(self._now)

    def wall(self) -> Millis:
        """Return the virtual wall time."""
        return Millis(self._now + self._wall_offset)

    def call_later(self, delay: int, func: Callable[[], object]) -> Timer:
        """Schedule a call in virtual time."""
        timer = _ManualTimer(func)
        self._count += 1
        heapq.heappush(self._due, (self._now + delay, self._count, timer))
        return timer

    def advance(self, delta: int) -> None:
        """Move time forward and make the calls that fall due in order."""
        end = self._now + delta
        while self._due and self._due[0][0] <= end:
            due, _, timer = heapq.heappop(self._due)
            self._now = max(self._now, due)
            if timer.func is not None:
                func, timer.func = timer.func, None
                func()
        self._now = end


class _ReactorLike(Protocol):
    """Describe what is used of a Twisted reactor or its test Clock."""

    def callLater(  # noqa: N802
        self, delay: float, func: Callable[[], object]
    ) -> 'object':
        """Call ``func`` after ``delay`` seconds."""


class _ReactorTimer:
    """Wrap a delayed call so that a late cancel does no harm."""

    __slots__ = ('_call',)

    def __init__(self, call: object) -> None:
        self._call = call

    def cancel(self) -> None:
        """Drop the call if it is still due."""
        if self._call.active():  # type: ignore[attr-defined]
            self._call.cancel()  # type: ignore[attr-defined]


class ReactorClock(Clock):
    """Tell the time of a Twisted reactor.

    :param reactor: a reactor, or ``twisted.internet.task.Clock`` in tests.
    """

    def __init__(self, reactor: _ReactorLike) -> None:
        self._reactor = reactor

    def now(self) -> Millis:
        """Return the time since boot, with the time spent suspended.

        ``time.monotonic`` stops while a machine is suspended, so that a
        lease would seem to hold after the machine wakes.
        """
        seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
        return Millis(int(seconds * MILLIS_PER_SECOND))

    def wall(self) -> Millis:
        """Return the machine's wall time."""
        return Millis(int(time.time() * MILLIS_PER_SECOND))

    def call_later(self, delay: int, func: Callable[[], object]) -> Timer:
        """Schedule a call in the reactor."""
        seconds = max(0, delay) / MILLIS_PER_SECOND
        return _ReactorTimer(self._reactor.callLater(seconds, func))
