"""Divide the slots of a pool between kinds of work."""

import dataclasses
import math

import oriolestand_core as core
from oriolestand_policy import tables

RISE_GAIN = 0.3
FALL_GAIN = 0.02
"""Gains of the demand estimate for each 50 ms: it follows a rise in 0.2 s
and a fall in 2.5 s, so that a short lull does not give headroom away."""
FOLLOW_INTERVAL_MS = 50
UNMET_MEMORY_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareConfig:
    """Say what each kind is worth.

    ``service_share`` is the part of the slots that services may claim
    while batch work waits, 0 to 1; batch may claim the rest.
    ``headroom_sigmas`` scales the slots kept free for bursts of services,
    in standard deviations of their demand. ``service_wait`` and
    ``batch_wait`` bound the time in the queue, in mean slot times.
    """

    service_share: float = 0.7
    headroom_sigmas: float = 1.5
    service_wait: float = 1.0
    batch_wait: float = 20.0


TAIL_FIRST = ShareConfig(
    service_share=0.8, headroom_sigmas=2.0, service_wait=0.7
)
"""For users to whom tail latency matters most."""
BATCH_FIRST = ShareConfig(
    service_share=0.5, headroom_sigmas=0.5, service_wait=1.5
)
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
        self._service = KindUse(share=cfg.service_share)
        self._batch = KindUse(share=1.0 - cfg.service_share)
        self._followed = core.Millis(0)

    def of(self, kind: tables.Kind) -> KindUse:
        """Return the counts of a kind."""
        if kind is tables.Kind.SERVICE:
            return self._service
        return self._batch

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
        return free - slots >= int(claim) - other.in_use

    def _need(self, use: KindUse) -> float:
        """Return the slots that a kind is likely to need soon."""
        if use is self._batch:
            return use.demand
        return use.demand + self._cfg.headroom_sigmas * math.sqrt(use.demand)

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
            gain = RISE_GAIN if wanted > use.demand else FALL_GAIN
            keep = (1.0 - gain) ** steps
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
