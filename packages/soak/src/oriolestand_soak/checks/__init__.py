"""Checks of the daemons' promises on a recorded history."""

from collections.abc import Iterable

from oriolestand_soak import history
from oriolestand_soak.checks import _config
from oriolestand_soak.checks import _jobs
from oriolestand_soak.checks import _liveness
from oriolestand_soak.checks import _processes
from oriolestand_soak.checks import _runs
from oriolestand_soak.checks import _timeline
from oriolestand_soak.checks._base import Check
from oriolestand_soak.checks._base import Violation

CHECKS: tuple[Check, ...] = (
    _runs.RunsOnce(),
    _runs.KeepsOrder(),
    _runs.KeepsCapacity(),
    _runs.KeepsPlacement(),
    _runs.KeepsAttempts(),
    _runs.CompletesGangs(),
    _jobs.RunsOnlyRequested(),
    _jobs.RunsNothingRefused(),
    _jobs.RunsNothingCancelled(),
    _jobs.ReportsTrueStates(),
    _jobs.KnowsAcceptedJobs(),
    _liveness.RunsWaitingTasks(),
    _liveness.AcknowledgesInTime(),
    _liveness.Recovers(),
    _config.AppliesConfigs(),
    _processes.AnswersWhileStopping(),
    _processes.ExitsOnlyOnSignals(),
    _processes.LeavesDrainingWorkers(),
)


def check(events: Iterable[history.Event]) -> list[Violation]:
    """Return the violations of all promises, in order of time."""
    timeline = _timeline.Timeline(events)
    violations = [
        violation
        for promise in CHECKS
        for violation in promise.find_violations(timeline)
    ]
    return sorted(violations, key=lambda violation: violation.at_ms)


__all__ = ['CHECKS', 'Check', 'Violation', 'check']
