"""Estimate from lagging reports which work slows which, and react."""

import abc
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

import oriolestand_core as core

LEARN_GAIN = 0.4
HARMFUL = 0.15
"""Slowdown of services by one task from which its team counts as noisy."""
THROTTLE_ABOVE = 1.3
"""Slowdown of services that the design page allows with batch."""
RELEASE_BELOW = 1.1
MIN_SERVICES = 3
"""Reports of fewer service requests lead to no step: where next to no
service runs, none is slowed."""
SETTLE_MS = 5_000
"""Time before the next step on an upstream. Reports lag by about 2 s, so
an earlier step would react to the state before the last one."""
MOVE_AFTER_MS = 15_000
"""A throttled task that still harms for this long is moved."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """Hold a lagging measurement of one upstream.

    ``slowdown`` is the time of services there relative to their usual
    time, ``services`` the number of service requests that it is based on.
    ``residents`` maps the key of each batch task that ran there at
    ``measured_at`` to its team, ``throttled`` holds those that ran slowed.
    """

    address: str
    measured_at: core.Millis
    slowdown: float
    services: int
    residents: Mapping[str, str]
    throttled: frozenset[str] = frozenset()


class Step(enum.Enum):
    """Name what to do with a task that slows others."""

    THROTTLE = 'throttle'
    RELEASE = 'release'
    MOVE = 'move'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Say what to do with one task."""

    key: str
    step: Step


class Interference(abc.ABC):
    """Learn from reports and advise."""

    @abc.abstractmethod
    def observe(
        self, report: UsageReport, owned: Container[str], now: core.Millis
    ) -> list[Advice]:
        """Learn from a report; return what to do about it.

        :param owned: keys of the tasks that this daemon controls; the other
            daemons, which see the same report, deal with theirs.
        """

    @abc.abstractmethod
    def harm(self, team: str) -> float:
        """Return by how much one task of a team slows services."""

    @abc.abstractmethod
    def is_known(self, team: str) -> bool:
        """Return whether tasks of a team have been measured."""

    @abc.abstractmethod
    def should_start_slow(self, key: str, team: str) -> bool:
        """Return whether to throttle a new task from its start."""

    @abc.abstractmethod
    def forget(self, key: str) -> None:
        """Forget a task that has ended."""


class NoInterference(Interference):
    """Ignore reports."""

    def observe(
        self, report: UsageReport, owned: Container[str], now: core.Millis
    ) -> list[Advice]:
        """Do nothing."""
        return []

    def harm(self, team: str) -> float:
        """Expect no harm."""
        return 0.0

    def is_known(self, team: str) -> bool:
        """Return True: nothing is measured."""
        return True

    def should_start_slow(self, key: str, team: str) -> bool:
        """Return False."""
        return False

    def forget(self, key: str) -> None:
        """Forget nothing."""


class LearnedInterference(Interference):
    """Split measured slowdowns between teams by normalised least squares.

    A report older than the last step on its upstream teaches nothing new
    about that step, so it leads to no further one.
    """

    def __init__(self) -> None:
        self._harm: dict[str, float] = {}
        self._stepped: dict[str, int] = {}
        self._throttled: dict[str, int] = {}
        self._now = 0

    def observe(
        self, report: UsageReport, owned: Container[str], now: core.Millis
    ) -> list[Advice]:
        """Learn, then throttle, release or move one resident."""
        self._now = now
        residents = report.residents
        running = {
            key: team
            for key, team in residents.items()
            if key not in self._throttled and key not in report.throttled
        }
        if len(running) == len(residents):
            self._learn(report.slowdown - 1.0, list(running.values()))
        last = self._stepped.get(report.address)
        if last is not None and report.measured_at < last + SETTLE_MS:
            return []
        advice = self._advise(report, running, owned, now)
        if advice:
            self._stepped[report.address] = now
        return advice

    def harm(self, team: str) -> float:
        """Return the learned slowdown for one task, 0 when unknown."""
        return self._harm.get(team, 0.0)

    def is_known(self, team: str) -> bool:
        """Return whether a report has covered the team."""
        return team in self._harm

    def should_start_slow(self, key: str, team: str) -> bool:
        """Throttle tasks of a team that is known to be noisy.

        A wave of them would be over before the first report on it.
        """
        if self.harm(team) < HARMFUL:
            return False
        self._throttled[key] = self._now
        return True

    def forget(self, key: str) -> None:
        """Forget a task that has ended."""
        self._throttled.pop(key, None)

    def _learn(self, excess: float, teams: list[str]) -> None:
        """Correct the estimates of the teams that were present."""
        if not teams:
            return
        expected = sum(self.harm(team) for team in teams)
        change = LEARN_GAIN * (max(0.0, excess) - expected) / len(teams)
        for team in teams:
            self._harm[team] = max(0.0, self.harm(team) + change)

    def _advise(
        self,
        report: UsageReport,
        running: Mapping[str, str],
        owned: Container[str],
        now: core.Millis,
    ) -> list[Advice]:
        """Return the mildest step that is left."""
        throttled = [k for k in report.residents if k in self._throttled]
        if report.services < MIN_SERVICES:
            return []
        if report.slowdown < RELEASE_BELOW:
            return self._release(report, throttled)
        if report.slowdown <= THROTTLE_ABOVE:
            return []
        worst = self._worst(running)
        if worst is not None:
            if worst not in owned:
                return []
            self._throttled[worst] = now
            return [Advice(key=worst, step=Step.THROTTLE)]
        for key in throttled:
            if now - self._throttled[key] >= MOVE_AFTER_MS:
                return [Advice(key=key, step=Step.MOVE)]
        return []

    def _release(
        self, report: UsageReport, throttled: Iterable[str]
    ) -> list[Advice]:
        """Release a task that would do little harm now."""
        for key in throttled:
            harm = self.harm(report.residents[key])
            if report.slowdown + harm < THROTTLE_ABOVE:
                del self._throttled[key]
                return [Advice(key=key, step=Step.RELEASE)]
        return []

    def _worst(self, running: Mapping[str, str]) -> str | None:
        """Return the task whose team does the most harm, if much."""
        if not running:
            return None
        key = max(running, key=lambda k: (self.harm(running[k]), k))
        return key if self.harm(running[key]) >= HARMFUL else None
