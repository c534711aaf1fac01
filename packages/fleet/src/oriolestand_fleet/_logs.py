"""Write log lines to a stream without ever waiting for it."""

import collections
from collections.abc import Callable
import os

FLUSH_DELAY_MS = 20
MAX_WAITING_BYTES = 256 * 1024
"""Lines beyond this are dropped and counted while the reader is slow."""


class LineSink:
    """Hold lines until the descriptor takes them.

    A line budget per second bounds the volume under load. Lines that were
    left out are counted, and the count is written with the next line.
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
        self._waiting: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._second = 0
        self._used = 0
        self.left_out = 0
        self._is_scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take a line if the budget allows; return its length."""
        if text == '\n' or not text:
            return len(text)
        second = self._now_ms() // 1000
        if second != self._second:
            self._second = second
            self._used = 0
        if self._used >= self._lines_per_s or self._is_full():
            self.left_out += 1
            return len(text)
        self._used += 1
        if self.left_out:
            self._push(f'{{"event":"lines left out: {self.left_out}"}}\n')
            self.left_out = 0
        self._push(text if text.endswith('\n') else text + '\n')
        return len(text)

    def flush(self) -> None:
        """Schedule the writing of what waits."""
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._call_later(FLUSH_DELAY_MS, self._drain)

    def _is_full(self) -> bool:
        """Return whether no more bytes may wait."""
        return self._bytes >= MAX_WAITING_BYTES

    def _push(self, line: str) -> None:
        """Queue a line."""
        data = line.encode()
        self._waiting.append(data)
        self._bytes += len(data)
        self.flush()

    def _drain(self) -> None:
        """Write what the descriptor takes now."""
        self._is_scheduled = False
        data = b''.join(self._waiting)
        self._waiting.clear()
        try:
            done = os.write(self._descriptor, data)
        except BlockingIOError:
            done = 0
        rest = data[done:]
        self._bytes = len(rest)
        if rest:
            self._waiting.append(rest)
            self.flush()

    def close(self) -> None:
        """Write what is left, as far as it is taken at once."""
        if self._waiting:
            self._drain()
