"""Divide the slots of a pool between kinds of work."""

import dataclasses
import math

import oriolestand_core as core
from oriolestand_policy import tables

FOLLOW_GAIN = 0.05
"""Gain of the demand estimate for each 50 ms, a time constant of 1 s. A gain
that rises faster than it falls follows the peaks: with 0.3 and 0.02, batch
work got 42% of the work-conserving bound, with 0.05 about 90%."""
FOLLOW_INTERVAL_MS = 50
UNMET_MEMORY_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareConfig:
    """Say what each kind is worth.

    ``service_share`` is the part of the slots that services may claim
    while batch work waits, 0 to 1; batch may claim the rest.
    ``headroom_sigmas`` scales the slots kept free for bursts of services,
    in standard deviations of their demand; it may be negative, since a
    slot of a busy pool comes back within a fraction of a request's time.
    ``service_wait`` and ``batch_wait`` bound the time in the queue, in mean
    slot times.
    """

    service_share: float = 0.7
    headroom_sigmas: float = 0.0
    service_wait: float = 1.2
    batch_wait: float = 10.0


TAIL_FIRST = ShareConfig(service_share=0.8, headroom_sigmas=-0.25)
"""For users to whom tail latency matters most."""
BATCH_FIRST = ShareConfig(service_share=0.5, headroom_sigmas=-0.1)
"""For users to whom batch throughput and evictions matter most."""


@dataclasses.dataclass(slots=True, kw_only=True)
class KindUse:
    """Count what one kind uses and wants, in slots."""

    share: float
    in_use: int = 0
    waiting: int = 0
    unmet: int = 0
    unmet_until: int = 0
    demand: float = 0.0


class KindShares:
    """Keep slots for each kind up to its share and its demand.

    A kind within its share may take any free slot. Beyond its share it
    has to leave free what the other kind is likely to need, up to that
    kind's share.
    """

    def __init__(self, cfg: ShareConfig) -> None:
        self._cfg = cfg
        self.total = 0
        self._is_new = True
        self._service = KindUse(share=cfg.service_share)
        self._batch = KindUse(share=1.0 - cfg.service_share)
        self._followed = core.Millis(0)

    def of(self, kind: tables.Kind) -> KindUse:
        """Return the counts of a kind."""
        if kind is tables.Kind.SERVICE:
            return self._service
        return self._batch

    def set_total(self, total: int) -> None:
        """Set the slots to share.

        Until demand is known, services are expected to need their share:
        batch tasks that fill a new pool would stay for long.
        """
        self.total = total
        if self._is_new and total:
            self._is_new = False
            self._service.demand = self._service.share * total

    def may_start(self, kind: tables.Kind, slots: int, free: int) -> bool:
        """Return whether a kind may take slots now."""
        if free < slots:
            return False
        own, other = self._service, self._batch
        if kind is tables.Kind.BATCH:
            own, other = other, own
        if own.in_use + slots <= own.share * self.total:
            return True
        claim = min(other.share * self.total, self._need(other))
        if other is self._batch:
            # Rounded down, a small share lost a tenth and more.
            claim = math.ceil(claim)
        return free - slots >= int(claim) - other.in_use

    def _need(self, use: KindUse) -> float:
        """Return the slots that a kind is likely to need soon."""
        if use is self._batch:
            # A mean never reaches the last slot that a task waits for.
            return max(use.demand, use.in_use + use.waiting + use.unmet)
        spare = self._cfg.headroom_sigmas * math.sqrt(use.demand)
        return max(0.0, use.demand + spare)

    def tick(self, now: core.Millis) -> None:
        """Follow the demand of both kinds, in steps of constant length."""
        steps = min(100, (now - self._followed) // FOLLOW_INTERVAL_MS)
        if steps <= 0:
            return
        self._followed = now
        for use in (self._service, self._batch):
            if use.unmet_until <= now:
                use.unmet = 0
            wanted = use.in_use + use.waiting + use.unmet
            keep = (1.0 - FOLLOW_GAIN) ** steps
            use.demand = wanted + keep * (use.demand - wanted)

    def note_unmet(self, kind: tables.Kind, slots: int) -> None:
        """Remember demand that found no place."""
        use = self.of(kind)
        use.unmet = max(use.unmet, slots)
        use.unmet_until = self._followed + UNMET_MEMORY_MS

    def is_owed(self, kind: tables.Kind) -> bool:
        """Return whether a kind waits and has less than its share."""
        use = self.of(kind)
        return use.waiting > 0 and use.in_use < int(use.share * self.total)
