"""Hold what the dispatcher knows of upstreams, peers and pools."""

import dataclasses

from oriolestand_policy import admission

LATENCY_GAIN = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamState:
    """Count the slots of one upstream that this daemon uses.

    ``limit`` is granted by the table service; ``in_use`` may be above it
    only after the limit was lowered.
    """

    address: str
    pool: str
    limit: int = 0
    in_use: int = 0
    is_leaving: bool = False
    latency_ms: float = 0.0

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken."""
        if self.is_leaving:
            return 0
        return max(0, self.limit - self.in_use)

    def observe(self, latency_ms: float) -> None:
        """Fold a latency into the moving average."""
        self.latency_ms += LATENCY_GAIN * (latency_ms - self.latency_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Hold slots of one upstream for a batch task; ``key`` names it."""

    key: str
    pool: str
    address: str
    slots: int
    team: str
    priority: int


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerLoad:
    """Hold what a peer advertised for one pool.

    ``distance`` is 0 in the same failure domain, 1 in the same region and
    2 across the region link.
    """

    peer: str
    free: int
    distance: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolState:
    """Hold the queue, upstreams and peers of one pool."""

    name: str
    queue: admission.AdmissionQueue
    upstreams: dict[str, UpstreamState] = dataclasses.field(
        default_factory=dict
    )
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken now."""
        return sum(state.free for state in self.upstreams.values())
