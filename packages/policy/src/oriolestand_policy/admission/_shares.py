"""Share the slots of a pool between kinds of work."""

import dataclasses
import math

import oriolestand_core as core
from oriolestand_policy import tables

DEMAND_SMOOTHING = 0.05
"""Weight of a new sample in the moving average of the demand, per 50 ms
interval; the time constant is 1 s. It is the same for rising and falling
demand: with 0.3 for rising and 0.02 for falling, the estimate tracked peaks
and batch work got 42% of the work-conserving bound, with 0.05 about 90%."""
DEMAND_INTERVAL_MS = 50
UNMET_TTL_MS = 2_000
"""Time after which demand that could not be placed expires unless repeated."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareConfig:
    """Division of slots between service requests and batch work.

    ``service_share`` is the fraction of the slots, 0 to 1, that services
    may claim while batch work waits; batch may claim the rest.
    ``headroom_sigmas`` is the number of slots kept free for bursts of
    services, in standard deviations of their demand. It may be negative,
    since a slot of a busy pool is released within a fraction of a request's
    duration. ``service_wait`` and ``batch_wait`` bound the time in the
    queue, in multiples of the mean slot time.
    """

    service_share: float = 0.7
    headroom_sigmas: float = 0.0
    service_wait: float = 1.2
    batch_wait: float = 10.0


LATENCY_SHARES = ShareConfig(service_share=0.8, headroom_sigmas=-0.25)
"""Preset that favours the tail latency of services."""
THROUGHPUT_SHARES = ShareConfig(service_share=0.5, headroom_sigmas=-0.1)
"""Preset that favours batch throughput and few evictions."""


@dataclasses.dataclass(slots=True, kw_only=True)
class KindUsage:
    """Usage and demand of one kind of work, in slots.

    ``unmet`` is the demand of batch tasks that could not be placed, until
    ``unmet_expires_at``; ``demand`` is a moving average.
    """

    share: float
    in_use: int = 0
    waiting: int = 0
    unmet: int = 0
    unmet_expires_at: int = 0
    demand: float = 0.0


class KindShares:
    """Reserves slots for each kind up to its share and its demand.

    A kind within its share may take any free slot. Beyond its share it must
    leave free the slots that the other kind is expected to need, up to that
    kind's share.
    """

    def __init__(self, cfg: ShareConfig) -> None:
        self._cfg = cfg
        self.total = 0
        self._is_total_unset = True
        self._service = KindUsage(share=cfg.service_share)
        self._batch = KindUsage(share=1.0 - cfg.service_share)
        self._updated_at = core.Millis(0)

    def of(self, kind: tables.Kind) -> KindUsage:
        """Return the usage of a kind."""
        if kind is tables.Kind.SERVICE:
            return self._service
        return self._batch

    def set_total_slots(self, total: int) -> None:
        """Set the number of slots to share.

        The first estimate of service demand is the full service share, since
        batch tasks admitted to a new pool would hold its slots for long.
        """
        self.total = total
        if self._is_total_unset and total:
            self._is_total_unset = False
            self._service.demand = self._service.share * total

    def may_start(self, kind: tables.Kind, slots: int, free: int) -> bool:
        """Return whether work of a kind may take that many slots now."""
        if free < slots:
            return False
        own, other = self._service, self._batch
        if kind is tables.Kind.BATCH:
            own, other = other, own
        if own.in_use + slots <= own.share * self.total:
            return True
        claim = min(other.share * self.total, self._expected_need(other))
        if other is self._batch:
            # Rounding down would cost a small share a tenth or more.
            claim = math.ceil(claim)
        return free - slots >= int(claim) - other.in_use

    def _expected_need(self, usage: KindUsage) -> float:
        """Return the slots that a kind is expected to need soon."""
        if usage is self._batch:
            # The moving average stays just below the current demand, which
            # would deny a task its last slot, so use the latter as a lower
            # bound.
            return max(
                usage.demand, usage.in_use + usage.waiting + usage.unmet
            )
        headroom = self._cfg.headroom_sigmas * math.sqrt(usage.demand)
        return max(0.0, usage.demand + headroom)

    def tick(self, now: core.Millis) -> None:
        """Update the demand estimates once per ``DEMAND_INTERVAL_MS``."""
        intervals = min(100, (now - self._updated_at) // DEMAND_INTERVAL_MS)
        if intervals <= 0:
            return
        self._updated_at = now
        for usage in (self._service, self._batch):
            if usage.unmet_expires_at <= now:
                usage.unmet = 0
            wanted = usage.in_use + usage.waiting + usage.unmet
            decay = (1.0 - DEMAND_SMOOTHING) ** intervals
            usage.demand = wanted + decay * (usage.demand - wanted)

    def record_unmet_demand(self, kind: tables.Kind, slots: int) -> None:
        """Record demand that could not be placed, for a limited time."""
        usage = self.of(kind)
        usage.unmet = max(usage.unmet, slots)
        usage.unmet_expires_at = self._updated_at + UNMET_TTL_MS

    def is_underserved(self, kind: tables.Kind) -> bool:
        """Return whether a kind has queued work and less than its share."""
        usage = self.of(kind)
        return usage.waiting > 0 and usage.in_use < int(
            usage.share * self.total
        )
