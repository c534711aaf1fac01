"""Counts and latencies of a simulation run, by phase."""

import collections
import dataclasses

from oriolestand_policy import tables

WARM_UP_MS = 6_000
CALM_MS = 10_000
SETTLE_MS = 2_000
"""Time to settle after the event, before the last phase is measured."""

Team = tuple[str, tables.Kind]


@dataclasses.dataclass(slots=True)
class Phase:
    """Counts and latencies of one phase; times are in milliseconds.

    ``refusal_delays`` holds the time from arrival to rejection.
    """

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
    def length_ms(self) -> int:
        """Return the length in milliseconds."""
        return self.end - self.begin

    def percentile(self, fraction: float, *teams: str) -> float:
        """Return a percentile of the service latencies of the given teams.

        Without teams, all count.
        """
        merged = sorted(
            value
            for (team, kind), values in self.latencies.items()
            if kind is tables.Kind.SERVICE and (not teams or team in teams)
            for value in values
        )
        if not merged:
            return 0.0
        return float(merged[min(len(merged) - 1, int(fraction * len(merged)))])

    def useful(self, kind: tables.Kind | None = None) -> float:
        """Return the slot time of useful work, in milliseconds."""
        return sum(
            value
            for (_, value_kind), value in self.useful_ms.items()
            if kind is None or value_kind is kind
        )


class Record:
    """Record of one run: a calm phase, the event and a phase after it.

    Counts outside of the phases are dropped. ``series`` has the time, the
    latency and the success of each service request.
    """

    def __init__(self, event_ms: int) -> None:
        calm_end = WARM_UP_MS + CALM_MS
        event_end = calm_end + event_ms
        after = event_end + SETTLE_MS
        self.calm = Phase(WARM_UP_MS, calm_end)
        self.event = Phase(calm_end, event_end)
        self.after = Phase(after, after + CALM_MS)
        self._unmeasured = Phase(0, 0)
        self.series: list[tuple[int, int, bool]] = []
        self.over_limit = 0
        self.impossible_jobs_reported = 0
        self.failed_starts: list[int] = []
        self.early_failed_starts: list[int] = []

    @property
    def end(self) -> int:
        """Return the time at which the run ends."""
        return self.after.end

    @property
    def phases(self) -> tuple[Phase, Phase, Phase]:
        """Return the three phases in order."""
        return (self.calm, self.event, self.after)

    def at(self, now: int) -> Phase:
        """Return the phase at a time."""
        for phase in self.phases:
            if phase.begin <= now < phase.end:
                return phase
        return self._unmeasured
