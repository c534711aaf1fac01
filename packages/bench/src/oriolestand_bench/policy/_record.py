"""Record what happened, by phase, and compute the measures."""

import collections
import dataclasses

from oriolestand_policy import tables

WARM_UP_MS = 6_000
CALM_MS = 10_000
SETTLE_MS = 2_000
"""Time after the event before the calm after it is measured."""

Team = tuple[str, tables.Kind]


@dataclasses.dataclass(slots=True)
class Phase:
    """Hold the counts of one phase."""

    begin: int
    end: int
    latencies: dict[Team, list[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    useful_ms: dict[Team, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    demand_ms: dict[Team, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    done: dict[Team, int] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(int)
    )
    refusal_delays: list[int] = dataclasses.field(default_factory=list)
    failed: int = 0
    evictions: int = 0
    lost_ms: float = 0.0
    task_ms: float = 0.0
    requests: int = 0
    retries: int = 0
    down_ms: float = 0.0

    @property
    def length(self) -> int:
        """Return the length in milliseconds."""
        return self.end - self.begin

    def percentile(self, part: float, *teams: str) -> float:
        """Return a percentile of the latencies of services."""
        merged = sorted(
            value
            for (team, kind), values in self.latencies.items()
            if kind is tables.Kind.SERVICE and (not teams or team in teams)
            for value in values
        )
        if not merged:
            return 0.0
        return float(merged[min(len(merged) - 1, int(part * len(merged)))])

    def useful(self, kind: tables.Kind | None = None) -> float:
        """Return the slot time of completed work, in milliseconds."""
        return sum(
            value
            for (_, own), value in self.useful_ms.items()
            if kind is None or own is kind
        )


class Record:
    """Hold the phases of one run; times outside of them are dropped."""

    def __init__(self, event_ms: int) -> None:
        calm_end = WARM_UP_MS + CALM_MS
        event_end = calm_end + event_ms
        after = event_end + SETTLE_MS
        self.calm = Phase(WARM_UP_MS, calm_end)
        self.event = Phase(calm_end, event_end)
        self.after = Phase(after, after + CALM_MS)
        self._gap = Phase(0, 0)
        self.series: list[tuple[int, int, bool]] = []
        self.over_limit = 0
        self.never_reported = 0
        self.failed_starts: list[int] = []
        self.new_failed_starts: list[int] = []

    @property
    def end(self) -> int:
        """Return the time at which the run ends."""
        return self.after.end

    @property
    def phases(self) -> tuple[Phase, Phase, Phase]:
        """Return the three phases."""
        return (self.calm, self.event, self.after)

    def at(self, now: int) -> Phase:
        """Return the phase of a time."""
        for phase in self.phases:
            if phase.begin <= now < phase.end:
                return phase
        return self._gap
