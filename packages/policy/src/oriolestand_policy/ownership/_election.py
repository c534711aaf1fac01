"""Decide when a daemon should claim a cell.

The owner of a cell is stored in a row that is written by conditional updates.
A second row, which the owner updates every second, renews its ownership. A
daemon claims the cell if it has no owner, if the owner released it, if the
owner is an earlier incarnation of the daemon itself, if the daemon is the
owner but does not act, or if the owner has not renewed for some time although
the store was reachable. A daemon may receive changes of the store late, so a
claim for the last reason is conditional on the renewal row too.
"""

from collections.abc import Mapping
import dataclasses
import enum

RENEW_INTERVAL_MS = 1_000

OWNER_TIMEOUT_MS = 2_600
"""Time without a renewal after which another daemon claims the cell. Two
renewals may be lost before that."""

MAX_UNRENEWED_MS = 10_000
"""How long an owner may act without a renewal.

This is longer than the store outages that users expect, so that tasks keep
their leases during an outage. The next owner waits at least as long for
workers that it cannot reach, unless no former owner can still act.
"""

CLOCK_SLACK_PERCENT = 102
"""A worker's clock may run up to 2% slow, which extends its leases."""

SETTLE_MARGIN_MS = 700

CLAIM_BACKOFF_MS = (300, 600, 1_200, 4_800)
"""Shortest times between successive claims of a daemon; the last one repeats.
It is longer than other daemons wait for a silent owner, so that they replace
one that owns the cell again and again without acting."""

CLAIM_BACKOFF_RESET_MS = 10_000
"""Time without a claim after which the shortest back-off applies again."""

FAR_LATENCY_MS = 25
"""Latency of the store above which a daemon counts as far from it."""

FAR_DELAY_MS = 500

AMPLE_PROCESSORS = 2.0
"""Processor time, in cores, above which a daemon does not delay its claims.
The owner of several hundred workers needs more than one core at times."""

MAX_PROCESSOR_DELAY_MS = 500
"""Longer than the differences in jitter and in when daemons learn that they
may claim, so that a much faster daemon claims first."""


class ClaimReason(enum.Enum):
    """Reason why a daemon claims a cell.

    ``INACTIVE``: the row names this incarnation, but it does not act as the
    owner, as the response to its claim was lost or its term has ended.
    """

    NO_OWNER = 'no_owner'
    RELEASED = 'released'
    SAME_INSTANCE = 'same_instance'
    INACTIVE = 'inactive'
    SILENT = 'silent'

    @property
    def depends_on_renewal(self) -> bool:
        """Return whether a renewal that the claimant missed voids the claim.

        Without an owner, or after a release, no renewal can be written. An
        earlier incarnation or term cannot act any more, although a last
        renewal of it may still arrive.
        """
        return self is ClaimReason.SILENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Owner:
    """Content of the owner row; an empty ``instance`` means released."""

    instance: str
    incarnation: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """Content of the renewal row.

    ``unsettled_ms`` is for how long at most, from when the renewal is sent,
    an owner of an earlier epoch may still act; 0 means settled. It never
    grows in later renewals of the same owner. ``delay_ms`` is how late the
    owner does its work. ``full_pools`` are the pools that accept no filling
    jobs, and after how many seconds to try again; None if they could not be
    read.
    """

    epoch: int
    count: int
    unsettled_ms: int
    delay_ms: int = 0
    full_pools: Mapping[str, int] | None = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_settled(self) -> bool:
        """Return whether no owner of an earlier epoch can still act."""
        return self.unsettled_ms == 0


class Election:
    """Track the owner of a cell to decide when to claim it.

    All times are milliseconds of one clock. Claims are delayed by
    ``delay_ms``, so that daemons do not all claim at once, except when the
    owner is this daemon or an earlier incarnation of it. Call
    ``claim_reason`` only while the daemon does not act as the owner.
    """

    def __init__(self, instance: str, incarnation: str, delay_ms: int) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self.delay_ms = delay_ms
        self.owner: Owner | None = None
        self.renewal: Renewal | None = None
        self._renewal_received_ms = 0
        self._silent_since_ms: int | None = None
        self._claim_count = 0
        self._next_claim_ms = 0

    @property
    def last_epoch(self) -> int:
        """Return the newest known epoch, also if the owner row lacks it."""
        owner_epoch = self.owner.epoch if self.owner is not None else 0
        renewal_epoch = self.renewal.epoch if self.renewal is not None else 0
        return max(owner_epoch, renewal_epoch)

    @property
    def renewal_of_owner(self) -> Renewal | None:
        """Return the last renewal by the current owner, or None."""
        if self.owner is None or self.renewal is None:
            return None
        if self.renewal.epoch != self.owner.epoch:
            return None
        return self.renewal

    def renewal_age_ms(self, now_ms: int) -> int:
        """Return how long ago at least the known renewal was sent."""
        return now_ms - self._renewal_received_ms

    def on_owner(self, owner: Owner | None, now_ms: int) -> None:
        """Apply a change of the owner row."""
        self.owner = owner
        self._silent_since_ms = now_ms
        if owner is None or owner.incarnation != self._incarnation:
            self._claim_count = 0
            self._next_claim_ms = 0

    def on_renewal(self, renewal: Renewal | None, now_ms: int) -> None:
        """Apply a change of the renewal row."""
        self.renewal = renewal
        self._renewal_received_ms = now_ms
        self._silent_since_ms = now_ms

    def on_store_contact(self, is_reachable: bool, now_ms: int) -> None:
        """Record whether the store answered.

        The time without a renewal counts only while the store answers
        without interruption, as the owner cannot renew during an outage.
        """
        if not is_reachable:
            self._silent_since_ms = None
        elif self._silent_since_ms is None:
            self._silent_since_ms = now_ms

    def on_claim(self, now_ms: int) -> None:
        """Record that this daemon sends a claim, which delays its next one."""
        if now_ms >= self._next_claim_ms + CLAIM_BACKOFF_RESET_MS:
            self._claim_count = 0
        index = min(self._claim_count, len(CLAIM_BACKOFF_MS) - 1)
        self._next_claim_ms = now_ms + CLAIM_BACKOFF_MS[index]
        self._claim_count += 1

    def on_given_up(self, now_ms: int) -> None:
        """Delay the next claim, so that another daemon can take the cell.

        This one could not load it or is too slow for it.
        """
        self._next_claim_ms = now_ms + CLAIM_BACKOFF_MS[-1]

    def silent_ms(self, now_ms: int) -> int:
        """Return the time since the last change while the store answered."""
        if self._silent_since_ms is None:
            return 0
        return now_ms - self._silent_since_ms

    def claim_reason(self, now_ms: int) -> ClaimReason | None:
        """Return the reason to claim the cell now, or None."""
        if self._silent_since_ms is None or now_ms < self._next_claim_ms:
            return None
        reason = self._possible_reason()
        if self.silent_ms(now_ms) < self._required_silence_ms(reason):
            return None
        return reason

    def _possible_reason(self) -> ClaimReason:
        """Return the reason for a claim after enough silence."""
        owner = self.owner
        if owner is None:
            return ClaimReason.NO_OWNER
        if not owner.instance:
            return ClaimReason.RELEASED
        if owner.incarnation == self._incarnation:
            return ClaimReason.INACTIVE
        if owner.instance == self._instance:
            return ClaimReason.SAME_INSTANCE
        return ClaimReason.SILENT

    def _required_silence_ms(self, reason: ClaimReason) -> int:
        """Return the time without a change after which to claim the cell."""
        if reason in (ClaimReason.INACTIVE, ClaimReason.SAME_INSTANCE):
            return 0
        if reason is ClaimReason.SILENT:
            return OWNER_TIMEOUT_MS + self.delay_ms
        return self.delay_ms


def claim_delay_ms(
    *, jitter_ms: int, store_latency_ms: int | None, processors: float
) -> int:
    """Return how long a daemon delays its claims in favour of others.

    :param jitter_ms: random part, so that equal daemons claim one by one.
    :param store_latency_ms: time of a read from the store; None if unknown,
        which counts as far.
    :param processors: processor time of the instance in cores.

    >>> claim_delay_ms(jitter_ms=7, store_latency_ms=4, processors=2.15)
    7
    >>> claim_delay_ms(jitter_ms=7, store_latency_ms=4, processors=0.3)
    432
    >>> claim_delay_ms(jitter_ms=7, store_latency_ms=None, processors=0.3)
    932
    """
    missing = max(0.0, 1.0 - processors / AMPLE_PROCESSORS)
    delay_ms = jitter_ms + round(MAX_PROCESSOR_DELAY_MS * missing)
    if store_latency_ms is None or store_latency_ms > FAR_LATENCY_MS:
        delay_ms += FAR_DELAY_MS
    return delay_ms


def unsettled_ms(
    reason: ClaimReason, former: Renewal | None, former_age_ms: int = 0
) -> int:
    """Return how long after a claim a former owner may still act.

    The result is in milliseconds; 0 means that the first renewal of the claim
    is settled. A former owner that released the cell, or whose process or
    term has ended, does not act any more. One that is merely disconnected may
    do so for up to ``MAX_UNRENEWED_MS``. An owner before it may act for as
    long as ``former``, the last known renewal of the former owner, tells.
    That renewal was sent at least ``former_age_ms`` before the claim, and
    later ones never end later, so an old view of them makes the result too
    long at worst. The same holds for the renewal of a claim that its daemon
    believed to have failed.

    >>> settled = Renewal(epoch=1, count=1, unsettled_ms=0)
    >>> unsettled_ms(ClaimReason.RELEASED, settled)
    0
    >>> unsettled_ms(ClaimReason.SILENT, settled)
    10000
    >>> unsettled_ms(ClaimReason.RELEASED, None)
    10000
    >>> partly = Renewal(epoch=1, count=1, unsettled_ms=4_000)
    >>> unsettled_ms(ClaimReason.RELEASED, partly)
    4000
    >>> unsettled_ms(ClaimReason.RELEASED, partly, former_age_ms=600)
    3400
    """
    if reason is ClaimReason.NO_OWNER:
        return 0
    if reason is ClaimReason.SILENT or former is None:
        return MAX_UNRENEWED_MS
    return max(0, min(former.unsettled_ms, MAX_UNRENEWED_MS) - former_age_ms)


def takeover_wait_ms(
    reason: ClaimReason,
    former: Renewal | None,
    lease_max_ms: int,
    former_age_ms: int = 0,
) -> int:
    """Return how long tasks of a former owner may run on unreachable workers.

    The result is in milliseconds after the claim: the time for which a former
    owner may request leases, and the longest lease.

    >>> settled = Renewal(epoch=1, count=1, unsettled_ms=0)
    >>> takeover_wait_ms(ClaimReason.RELEASED, settled, 6_000)
    6820
    >>> takeover_wait_ms(ClaimReason.SILENT, settled, 6_000)
    16820
    >>> unsettled = Renewal(epoch=2, count=0, unsettled_ms=10_000)
    >>> takeover_wait_ms(ClaimReason.INACTIVE, unsettled, 6_000)
    16820
    """
    if reason is ClaimReason.NO_OWNER:
        return 0
    lease = lease_max_ms * CLOCK_SLACK_PERCENT // 100 + SETTLE_MARGIN_MS
    return lease + unsettled_ms(reason, former, former_age_ms)
