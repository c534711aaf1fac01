"""Track which upstreams are leaving and must get no new work."""

from collections.abc import Set

import oriolestand_core as core

RETURN_MARGIN_MS = 10_000
"""How much newer than a leaving signal a list must be to override it.

The platform may learn of a departure later than the upstream itself, and the
clocks of the platform and this daemon may differ.
"""


class LeavingUpstreams:
    """Merge the instance list with leaving signals from upstreams and peers.

    An upstream gets work again only when a list reports it as live and is
    newer than its last leaving signal by more than the margin.

    >>> leaving = LeavingUpstreams()
    >>> leaving.record_signal('10.0.0.1:80', core.Millis(1_000))
    True
    >>> leaving.apply_list(5_000, live={'10.0.0.1:80'}, leaving=set())
    >>> sorted(leaving.addresses)
    ['10.0.0.1:80']
    >>> leaving.apply_list(11_001, live={'10.0.0.1:80'}, leaving=set())
    >>> sorted(leaving.addresses)
    []
    """

    def __init__(self, margin_ms: int = RETURN_MARGIN_MS) -> None:
        self._margin_ms = margin_ms
        self._as_of_ms = 0
        self._signals: dict[str, int] = {}
        self._listed: frozenset[str] = frozenset()

    @property
    def addresses(self) -> frozenset[str]:
        """Return the upstreams that must get no new work."""
        return self._listed | self._signals.keys()

    def record_signal(self, address: str, wall: core.Millis) -> bool:
        """Record a leaving signal; return whether it changes ``addresses``.

        The signal counts as at least as new as the last list, so that it is
        not discarded if this daemon's clock is behind the platform's.
        """
        is_new = address not in self.addresses
        self._signals[address] = max(wall, self._as_of_ms)
        return is_new

    def apply_list(
        self, as_of_ms: int, live: Set[str], leaving: Set[str]
    ) -> None:
        """Apply a list; addresses that it does not have keep their state."""
        self._as_of_ms = max(self._as_of_ms, as_of_ms)
        kept = self._listed - live
        self._listed = kept | frozenset(leaving)
        for address in live - leaving:
            signal_ms = self._signals.get(address)
            if (
                signal_ms is not None
                and as_of_ms > signal_ms + self._margin_ms
            ):
                del self._signals[address]
