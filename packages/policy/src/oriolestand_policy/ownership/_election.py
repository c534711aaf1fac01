"""Decide when a daemon should claim a cell.

The owner of a cell is a row that is changed under a condition. The owner
renews another row each second. A daemon claims the cell when there is no
owner, when the owner released it, when the owner is a former life of the
daemon itself, or when the store answers but shows no renewal for a while.
"""

import dataclasses
import enum

RENEW_INTERVAL_MS = 1_000

SILENCE_MS = 2_600
"""Two renewals may be lost before another daemon claims the cell."""

BLIND_LIMIT_MS = 10_000
"""How long an owner acts without a renewal.

Longer than the outages of the store that users expect, so that tasks keep
their leases; a successor waits as long for workers that it cannot reach.
"""

CLOCK_SLACK_PERCENT = 102
"""A worker's clock may be 2% slow."""

SETTLE_MARGIN_MS = 700


class ClaimReason(enum.Enum):
    """Say why a daemon claims a cell."""

    NO_OWNER = 'no_owner'
    RELEASED = 'released'
    SAME_INSTANCE = 'same_instance'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Owner:
    """Hold the owner's row; an empty ``instance`` means released."""

    instance: str
    incarnation: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """Hold the renewal row.

    ``is_settled`` is whether no former owner can act any more.
    """

    epoch: int
    count: int
    is_settled: bool


class Election:
    """Watch the owner of a cell; all times are the caller's clock."""

    def __init__(self, instance: str, incarnation: str, delay_ms: int) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self.delay_ms = delay_ms
        self.owner: Owner | None = None
        self.renewal: Renewal | None = None
        self._since: int | None = None

    def on_owner(self, owner: Owner | None, now_ms: int) -> None:
        """Take over a change of the owner's row."""
        self.owner = owner
        self._since = now_ms

    def on_renewal(self, renewal: Renewal | None, now_ms: int) -> None:
        """Take over a renewal."""
        self.renewal = renewal
        self._since = now_ms

    def on_synced(self, is_reachable: bool, now_ms: int) -> None:
        """Note an answer of the store, or that there was none.

        Silence counts only while the store answers without a break, as the
        owner cannot renew while the store is away.
        """
        if not is_reachable:
            self._since = None
        elif self._since is None:
            self._since = now_ms

    def claim_reason(self, now_ms: int) -> ClaimReason | None:
        """Return why the cell should be claimed now, or None."""
        if self._since is None:
            return None
        quiet = now_ms - self._since
        owner = self.owner
        if owner is not None and owner.instance == self._instance:
            if owner.incarnation == self._incarnation:
                return None
            return ClaimReason.SAME_INSTANCE
        if owner is None or not owner.instance:
            if quiet < self.delay_ms:
                return None
            if owner is None:
                return ClaimReason.NO_OWNER
            return ClaimReason.RELEASED
        if quiet >= SILENCE_MS + self.delay_ms:
            return ClaimReason.SILENT
        return None


def settle_delay_ms(
    reason: ClaimReason, former: Renewal | None, lease_max_ms: int
) -> int:
    """Return how long a former owner's tasks may run out of reach.

    An owner that released the cell, or whose process has ended, asks for no
    further lease. One that is only cut off may go on for a while.

    >>> settled = Renewal(epoch=1, count=1, is_settled=True)
    >>> settle_delay_ms(ClaimReason.RELEASED, settled, 6_000)
    6820
    >>> settle_delay_ms(ClaimReason.SILENT, settled, 6_000)
    16820
    """
    if reason is ClaimReason.NO_OWNER:
        return 0
    lease = lease_max_ms * CLOCK_SLACK_PERCENT // 100 + SETTLE_MARGIN_MS
    is_ended = reason in (ClaimReason.RELEASED, ClaimReason.SAME_INSTANCE)
    if is_ended and former is not None and former.is_settled:
        return lease
    return lease + BLIND_LIMIT_MS
