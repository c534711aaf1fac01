"""Simulate the reactor of a daemon that is short of processor time."""

from collections.abc import Callable

from twisted.internet import defer

import oriolestand_core as core

RECEIPT_MS = 1
"""A pass of the reactor reads from sockets after it has called the timers."""

NEXT_PASS_MS = 2
"""A call that is made in a pass comes after the reads of that pass."""


class SlowClock(core.Clock):
    """Clock of a daemon whose reactor begins a pass every ``pass_ms``.

    As in Twisted, each pass first calls the timers that are due and then
    delivers what was received before the pass began.

    >>> site_clock = core.ManualClock()
    >>> clock = SlowClock(site_clock, pass_ms=500)
    >>> calls = []
    >>> clock.call_on_receipt(3, lambda: calls.append('read'))
    >>> timer = clock.call_later(4, lambda: calls.append('timer'))
    >>> site_clock.advance(499)
    >>> calls
    []
    >>> site_clock.advance(2)
    >>> calls
    ['timer', 'read']
    """

    def __init__(self, clock: core.ManualClock, pass_ms: int) -> None:
        self._clock = clock
        self._pass_ms = pass_ms

    def now(self) -> core.Millis:
        """Return the time of the simulation."""
        return self._clock.now()

    def wall(self) -> core.Millis:
        """Return the wall-clock time of the simulation."""
        return self._clock.wall()

    def call_later(self, delay: int, func: Callable[[], object]) -> core.Timer:
        """Call ``func`` in the first pass after ``delay`` milliseconds."""
        return self._clock.call_later(
            self._to_next_pass(max(delay, NEXT_PASS_MS)), func
        )

    def call_on_receipt(self, delay: int, func: Callable[[], object]) -> None:
        """Call ``func`` when data that arrives after ``delay`` ms is read."""
        self._clock.call_later(self._to_next_pass(delay) + RECEIPT_MS, func)

    def set_pass_ms(self, pass_ms: int) -> None:
        """Change how long each pass takes; calls keep their times."""
        self._pass_ms = pass_ms

    def _to_next_pass(self, delay: int) -> int:
        """Return the time until the first pass after a delay."""
        until_pass_ms = -(self._clock.now() + delay) % self._pass_ms
        return delay + until_pass_ms


def receive(kernel: core.Kernel, delay_ms: int) -> 'defer.Deferred[None]':
    """Return a Deferred that fires when data that is on its way is read."""
    clock = kernel.clock
    fut: defer.Deferred[None] = defer.Deferred()
    if isinstance(clock, SlowClock):
        clock.call_on_receipt(delay_ms, lambda: fut.callback(None))
    else:
        clock.call_later(delay_ms, lambda: fut.callback(None))
    return fut
