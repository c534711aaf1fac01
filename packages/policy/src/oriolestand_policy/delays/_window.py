"""Keep the longest delay of recent times."""

import collections


class DelayWindow:
    """The delays of the last ``window_ms`` milliseconds, and the last one.

    The last delay counts until the next: the loop of a very slow process
    turns less often than the window.

    >>> window = DelayWindow(window_ms=2_000)
    >>> window.add(300, now_ms=1_000)
    >>> window.add(20, now_ms=1_200)
    >>> window.longest_ms(3_000), window.longest_ms(3_001)
    (300, 20)
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        # Times and delays; each delay is longer than all later ones.
        self._delays: collections.deque[tuple[int, int]] = collections.deque()

    def add(self, delay_ms: int, now_ms: int) -> None:
        """Add a delay that was measured now."""
        delays = self._delays
        while delays and delays[-1][1] <= delay_ms:
            delays.pop()
        delays.append((now_ms, delay_ms))

    def longest_ms(self, now_ms: int) -> int:
        """Return the longest delay, 0 if there is none."""
        delays = self._delays
        while len(delays) > 1 and delays[0][0] < now_ms - self._window_ms:
            delays.popleft()
        return max(0, delays[0][1]) if delays else 0
