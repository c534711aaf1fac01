"""Find workers on which tasks stand still."""

from oriolestand_policy.scheduling import _fleet

STALL_MS = 1_500
"""Time without progress after which a run stands still. A restart from a
checkpoint takes up to 0.6 s; looks come at least once a second."""

STALL_SHARE = 0.1
"""Share of its estimated time for which a run may show no progress, as it is
reported in whole percent and estimates are rough."""

MIN_FILLING_RUNS = 2
"""Filling tasks that must stand still together, as a single one may wait for
processors that other tasks use."""


def stalled_runs(worker: _fleet.Worker, now_ms: int) -> list[_fleet.Run]:
    """Return the runs to stop on a worker on which all tasks stand still.

    Empty while any task makes progress. Service tasks report no progress,
    members of a gang wait for each other, and slowed tasks may stand still.
    """
    candidates = [
        run
        for run in worker.runs.values()
        if run.phase is _fleet.RunPhase.RUNNING
        and run.stop_sent_ms < 0
        and not run.spec.is_service
        and not run.spec.is_gang
        and run.pace == 100
    ]
    old = [run for run in candidates if _age_ms(run, now_ms) >= STALL_MS]
    stalled = [run for run in old if _is_stalled(run, now_ms)]
    if not stalled or any(_is_moving(run, now_ms) for run in candidates):
        return []
    is_filling_only = all(run.spec.is_filling for run in stalled)
    if is_filling_only and len(stalled) < MIN_FILLING_RUNS:
        return []
    return stalled


def _age_ms(run: _fleet.Run, now_ms: int) -> int:
    """Return how long a run has worked at its present pace."""
    return now_ms - max(run.since_ms, run.paced_ms)


def _is_stalled(run: _fleet.Run, now_ms: int) -> bool:
    """Return whether a run has shown no progress for long."""
    limit = max(STALL_MS, int(STALL_SHARE * run.spec.estimate_ms))
    return now_ms - max(run.percent_ms, run.since_ms, run.paced_ms) >= limit


def _is_moving(run: _fleet.Run, now_ms: int) -> bool:
    """Return whether a run has shown progress lately."""
    return run.percent_ms > run.since_ms and (
        now_ms - run.percent_ms < STALL_MS
    )
