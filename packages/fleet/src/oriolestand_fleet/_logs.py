"""Limit log lines, and write them to a file descriptor without blocking."""

import collections
from collections.abc import Callable
import os

import oriolestand_core as core

FLUSH_DELAY_MS = 20
MAX_QUEUED_BYTES = 256 * 1024
"""Limit of the queue; further lines are dropped and counted while the reader
is slow."""


COMMON_LEVELS = frozenset({'debug', 'info'})
FIRST_LINES = 3
"""Lines of each event text that are written in each second, so that an event
that is rare, such as a change of owner, is not lost in a flood of others."""


class LineLimit:
    """Limit the log lines per second.

    Levels above info have a budget of their own. The first lines of an event
    text in a second are written even if the budget of their level is used up;
    the texts are constants, so that there are only a few dozen.
    """

    def __init__(self, lines_per_s: int, now_ms: Callable[[], int]) -> None:
        self._lines_per_s = lines_per_s
        self._now_ms = now_ms
        self._current_second = 0
        self._lines: collections.Counter[bool] = collections.Counter()
        self._lines_of_event: collections.Counter[str] = collections.Counter()

    def second(self) -> int:
        """Return the current second; begin its budgets if it is new."""
        second = self._now_ms() // 1000
        if second != self._current_second:
            self._current_second = second
            self._lines.clear()
            self._lines_of_event.clear()
        return second

    def admits(self, level: str, event: str | None) -> bool:
        """Count a line; return whether it is to be written.

        ``event`` is None if its text is unknown.
        """
        self.second()
        is_common = level in COMMON_LEVELS
        is_first = False
        if event is not None:
            self._lines_of_event[event] += 1
            is_first = self._lines_of_event[event] <= FIRST_LINES
        if self._lines[is_common] >= self._lines_per_s and not is_first:
            return False
        self._lines[is_common] += 1
        return True


class NonBlockingLineWriter(core.LimitedStream):
    """Queue log lines and write them without blocking.

    A limit of lines per second bounds the log volume under load. Dropped
    lines are counted, and the count is written before the first line of a
    later second.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: int,
        now_ms: Callable[[], int],
        call_later: Callable[[int, Callable[[], object]], object],
    ) -> None:
        self._descriptor = descriptor
        self._limit = LineLimit(lines_per_s, now_ms)
        self._call_later = call_later
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._is_next_admitted = False
        self._last_drop_second = -1
        self.dropped_lines = 0
        self._is_scheduled = False
        os.set_blocking(descriptor, False)

    def admits(self, level: str, event: str) -> bool:
        """Return whether the next line is to be rendered and written."""
        self._is_next_admitted = self._limit.admits(level, event)
        if not self._is_next_admitted:
            self._count_dropped()
        return self._is_next_admitted

    def write(self, text: str) -> int:
        """Queue a line unless a limit is reached; return its length."""
        if text == '\n' or not text:
            return len(text)
        is_admitted = self._is_next_admitted
        self._is_next_admitted = False
        if not is_admitted:
            is_admitted = self._limit.admits('info', None)
        if not is_admitted or self._is_queue_full():
            self._count_dropped()
            return len(text)
        if self.dropped_lines and (
            self._limit.second() != self._last_drop_second
        ):
            self._enqueue(
                f'{{"event":"log lines dropped: {self.dropped_lines}"}}\n'
            )
            self.dropped_lines = 0
        self._enqueue(text if text.endswith('\n') else text + '\n')
        return len(text)

    def _count_dropped(self) -> None:
        """Count a dropped line."""
        self.dropped_lines += 1
        self._last_drop_second = self._limit.second()

    def flush(self) -> None:
        """Schedule a write of the queued lines."""
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            self._call_later(FLUSH_DELAY_MS, self._drain)

    def _is_queue_full(self) -> bool:
        """Return whether the queue has reached its size limit."""
        return self._queued_bytes >= MAX_QUEUED_BYTES

    def _enqueue(self, line: str) -> None:
        """Append a line to the queue."""
        data = line.encode()
        self._queue.append(data)
        self._queued_bytes += len(data)
        self.flush()

    def _drain(self) -> None:
        """Write as many queued bytes as the descriptor accepts."""
        self._is_scheduled = False
        data = b''.join(self._queue)
        self._queue.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        rest = data[written:]
        self._queued_bytes = len(rest)
        if rest:
            self._queue.append(rest)
            self.flush()

    def close(self) -> None:
        """Write the queued lines once, without waiting for the reader."""
        if self._queue:
            self._drain()
