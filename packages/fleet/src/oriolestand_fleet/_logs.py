"""Write log lines to a file descriptor without blocking."""

import collections
from collections.abc import Callable
import os

FLUSH_DELAY_MS = 20
MAX_QUEUED_BYTES = 256 * 1024
"""Limit of the queue; further lines are dropped and counted while the reader
is slow."""


class NonBlockingLineWriter:
    """Queue log lines and write them without blocking.

    A limit of lines per second bounds the log volume under load. Dropped
    lines are counted, and the count is written before the next line.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: int,
        now_ms: Callable[[], int],
        call_later: Callable[[int, Callable[[], object]], object],
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._now_ms = now_ms
        self._call_later = call_later
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._current_second = 0
        self._lines_in_second = 0
        self.dropped_lines = 0
        self._is_scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Queue a line unless a limit is reached; return its length."""
        if text == '\n' or not text:
            return len(text)
        second = self._now_ms() // 1000
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        if self._lines_in_second >= self._lines_per_s or self._is_queue_full():
            self.dropped_lines += 1
            return len(text)
        self._lines_in_second += 1
        if self.dropped_lines:
            self._enqueue(
                f'{{"event":"log lines dropped: {self.dropped_lines}"}}\n'
            )
            self.dropped_lines = 0
        self._enqueue(text if text.endswith('\n') else text + '\n')
        return len(text)

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
