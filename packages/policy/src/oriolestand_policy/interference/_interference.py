"""Estimate the slowdown by batch tasks from delayed reports; mitigate it."""

import abc
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

import oriolestand_core as core

LEARNING_RATE = 0.4
"""Step size of the normalised least mean squares filter."""
NOISY_SLOWDOWN = 0.15
"""Slowdown of services by one task at or above which its team is noisy."""
THROTTLE_ABOVE = 1.3
"""Maximum slowdown of services beside batch work that the design allows; above
it a task is throttled."""
RELEASE_BELOW = 1.1
"""Slowdown below which the throttle of a task may be lifted."""
MIN_SERVICES = 3
"""Minimum number of service requests in a report that leads to a step. With
hardly any requests on an upstream, there is nothing to slow."""
SETTLE_MS = 5_000
"""Minimum time between two steps on an upstream. Reports lag by about 2 s, so
an earlier step would react to the load before the previous step."""
MOVE_AFTER_MS = 15_000
"""Time after which a throttled task is moved if services are still slowed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """Delayed measurement of one upstream.

    ``slowdown`` is the latency of services there relative to their usual
    latency; ``services`` is the number of service requests measured.
    ``residents`` maps the key of each batch task that ran there at
    ``measured_at`` to its team; ``throttled`` has those that ran throttled.
    """

    address: str
    measured_at: core.Millis
    slowdown: float
    services: int
    residents: Mapping[str, str]
    throttled: frozenset[str] = frozenset()


class Step(enum.Enum):
    """Mitigation step for a task; ``RELEASE`` lifts its throttle."""

    THROTTLE = 'throttle'
    RELEASE = 'release'
    MOVE = 'move'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Mitigation step advised for one task."""

    key: str
    step: Step


class Interference(abc.ABC):
    """Policy that estimates slowdowns and advises mitigation steps."""

    @abc.abstractmethod
    def observe(
        self, report: UsageReport, owned: Container[str], now: core.Millis
    ) -> list[Advice]:
        """Learn from a report; return the mitigation steps to take.

        :param owned: keys of the tasks that this daemon controls. Other
            daemons receive the same report and act on their own tasks.
        """

    @abc.abstractmethod
    def expected_slowdown(self, team: str) -> float:
        """Return the relative slowdown of services by one task of a team."""

    @abc.abstractmethod
    def is_measured(self, team: str) -> bool:
        """Return whether tasks of a team have been measured."""

    @abc.abstractmethod
    def should_start_throttled(self, key: str, team: str) -> bool:
        """Return whether to throttle a new task from its start."""

    @abc.abstractmethod
    def forget(self, key: str) -> None:
        """Drop the state of a task that has ended."""


class NoInterference(Interference):
    """Policy that ignores reports and never intervenes."""

    def observe(
        self, report: UsageReport, owned: Container[str], now: core.Millis
    ) -> list[Advice]:
        """Return no steps."""
        return []

    def expected_slowdown(self, team: str) -> float:
        """Return 0: no slowdown is estimated."""
        return 0.0

    def is_measured(self, team: str) -> bool:
        """Return True, so that no team waits for a measurement."""
        return True

    def should_start_throttled(self, key: str, team: str) -> bool:
        """Return False: tasks are never throttled."""
        return False

    def forget(self, key: str) -> None:
        """Do nothing, as no state is kept."""


class LearnedInterference(Interference):
    """Policy that attributes slowdowns to teams.

    It estimates them by normalised least mean squares. A report measured
    within ``SETTLE_MS`` of the last step on its upstream may not show the
    effect of that step, so it leads to no further step.
    """

    def __init__(self) -> None:
        self._slowdowns: dict[str, float] = {}
        self._last_step_at: dict[str, int] = {}
        self._throttled_at: dict[str, int] = {}
        self._now = 0

    def observe(
        self, report: UsageReport, owned: Container[str], now: core.Millis
    ) -> list[Advice]:
        """Learn from a report; throttle, unthrottle or move one task."""
        self._now = now
        residents = report.residents
        running = {
            key: team
            for key, team in residents.items()
            if key not in self._throttled_at and key not in report.throttled
        }
        if len(running) == len(residents):
            self._learn(report.slowdown - 1.0, list(running.values()))
        last_step_at = self._last_step_at.get(report.address)
        if (
            last_step_at is not None
            and report.measured_at < last_step_at + SETTLE_MS
        ):
            return []
        advice = self._advise(report, running, owned, now)
        if advice:
            self._last_step_at[report.address] = now
        return advice

    def expected_slowdown(self, team: str) -> float:
        """Return the estimated slowdown by one task, 0 if not measured."""
        return self._slowdowns.get(team, 0.0)

    def is_measured(self, team: str) -> bool:
        """Return whether a report has covered tasks of the team."""
        return team in self._slowdowns

    def should_start_throttled(self, key: str, team: str) -> bool:
        """Return whether the team is noisy, and record the throttle if so.

        A burst of its tasks could end before the first report that covers
        it.
        """
        if self.expected_slowdown(team) < NOISY_SLOWDOWN:
            return False
        self._throttled_at[key] = self._now
        return True

    def forget(self, key: str) -> None:
        """Drop the state of a task that has ended."""
        self._throttled_at.pop(key, None)

    def _learn(self, excess: float, teams: list[str]) -> None:
        """Update the estimates of the teams whose tasks were running.

        :param excess: slowdown of services beyond their usual latency.
        """
        if not teams:
            return
        expected = sum(self.expected_slowdown(team) for team in teams)
        change = LEARNING_RATE * (max(0.0, excess) - expected) / len(teams)
        for team in teams:
            self._slowdowns[team] = max(
                0.0, self.expected_slowdown(team) + change
            )

    def _advise(
        self,
        report: UsageReport,
        running: Mapping[str, str],
        owned: Container[str],
        now: core.Millis,
    ) -> list[Advice]:
        """Return the mildest step that applies, as a list of at most one."""
        throttled = [k for k in report.residents if k in self._throttled_at]
        if report.services < MIN_SERVICES:
            return []
        if report.slowdown < RELEASE_BELOW:
            return self._lift_throttle(report, throttled)
        if report.slowdown <= THROTTLE_ABOVE:
            return []
        noisiest = self._noisiest_task(running)
        if noisiest is not None:
            if noisiest not in owned:
                return []
            self._throttled_at[noisiest] = now
            return [Advice(key=noisiest, step=Step.THROTTLE)]
        for key in throttled:
            if now - self._throttled_at[key] >= MOVE_AFTER_MS:
                return [Advice(key=key, step=Step.MOVE)]
        return []

    def _lift_throttle(
        self, report: UsageReport, throttled: Iterable[str]
    ) -> list[Advice]:
        """Lift a throttle if the slowdown would stay below the threshold."""
        for key in throttled:
            added = self.expected_slowdown(report.residents[key])
            if report.slowdown + added < THROTTLE_ABOVE:
                del self._throttled_at[key]
                return [Advice(key=key, step=Step.RELEASE)]
        return []

    def _noisiest_task(self, running: Mapping[str, str]) -> str | None:
        """Return the running task of the noisiest team, or None."""
        if not running:
            return None
        key = max(
            running, key=lambda k: (self.expected_slowdown(running[k]), k)
        )
        return (
            key
            if self.expected_slowdown(running[key]) >= NOISY_SLOWDOWN
            else None
        )
