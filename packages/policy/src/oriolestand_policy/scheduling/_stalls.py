"""Detect workers on which tasks have stalled."""

from collections.abc import Iterator

from oriolestand_policy.scheduling import _capacity
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs

STALL_MS = 1_500
"""Least time without progress after which a run counts as stalled, for tasks
that are so short that a percent takes less. A restart from a checkpoint takes
up to 0.6 s, and polls are a second apart unless the owner is busy."""

STALL_SHARE = 0.1
"""Share of its length for which a run may show no progress. Progress is
reported in whole percent, and estimates are rough."""

FIRST_PERCENT_MS = 30_000
"""Time without progress after which a run of unknown length counts as stalled.
A percent of a task of 50 minutes takes as long. Longer tasks are started again
before they show one, each time with twice the time, so that each ends after a
few runs. A worker that hangs under such runs is found after this time."""

MAX_DOUBLINGS = 20
"""How often the time may double for a task whose restarts did not help. By
then it is over two weeks for any task."""

LONE_FACTOR = 10
"""Factor of the time without progress for a run beside others that progress,
whose worker does not hang. It makes that time the whole length of the task."""

PERCENTS_IN_TIME = 2
"""Time, in percents of a run, after which its next percent is overdue."""

MAX_RECENT_MS = 10_000
"""Longest time for which the progress of a run shows that its worker is sound,
as a worker that hangs gets new tasks until it is excluded."""

NOTES_PER_STALL = 4
"""How often the time without progress is stored until a run counts as stalled,
so that it goes on under the next owner. A run that progresses by a percent at
a time reaches none of these times."""

MIN_FILLING_RUNS = 2
"""Number of filling tasks that must stall together, as a single one may merely
be waiting for processors that other tasks use."""


def stalled_runs(worker: _fleet.Worker, now_ms: int) -> list[_fleet.Run]:
    """Return the stalled runs of a worker that seems to hang.

    There are none if any run has progressed. Service tasks, which report no
    progress, gang members, which wait for each other, and runs below full pace
    are not considered.
    """
    candidates = _candidates(worker)
    eligible = [run for run in candidates if _age_ms(run, now_ms) >= STALL_MS]
    stalled = [
        run for run in eligible if _is_stalled(run, worker.clock_ms, now_ms)
    ]
    if not stalled or any(_has_progressed(run, now_ms) for run in candidates):
        return []
    is_filling_only = all(run.spec.is_filling for run in stalled)
    if is_filling_only and len(stalled) < MIN_FILLING_RUNS:
        return []
    return stalled


def lone_stalled_runs(worker: _fleet.Worker, now_ms: int) -> list[_fleet.Run]:
    """Return the runs that have stalled whether or not others progress.

    Filling tasks are not considered, as they may wait for processors that the
    runs beside them use.
    """
    return [
        run
        for run in _candidates(worker)
        if not run.spec.is_filling
        and _is_stalled(run, worker.clock_ms, now_ms, LONE_FACTOR)
    ]


def note_first_percent(run: _fleet.Run, percent: int) -> None:
    """Note from which progress on the speed of a run is known.

    A run that was resumed or adopted has not made its first progress itself.
    """
    if run.first_percent < 0:
        run.first_percent = 0 if run.is_whole else percent


def _candidates(worker: _fleet.Worker) -> list[_fleet.Run]:
    """Return the runs that should show progress."""
    return [
        run
        for run in worker.runs.values()
        if run.phase is _fleet.RunPhase.RUNNING
        and run.stop_sent_ms < 0
        and not run.spec.is_service
        and not run.spec.is_gang
        and run.pace == _capacity.FULL_PACE
    ]


def idle_runs(
    worker: _fleet.Worker, now_ms: int
) -> Iterator[tuple[_fleet.Run, int]]:
    """Yield the runs without progress for a while, and how long, in steps."""
    for run in _candidates(worker):
        step_ms = _limit_ms(run) // NOTES_PER_STALL
        idle_ms = _idle_ms(run, now_ms) // step_ms * step_ms
        if idle_ms:
            yield run, idle_ms


def resume(
    run: _fleet.Run,
    idleness: _jobs.Idleness | None,
    percent: int,
    clock_ms: int,
    now_ms: int,
) -> None:
    """Count the time without progress that a former owner has stored.

    ``clock_ms`` is the present time of the worker's clock.
    """
    if (
        idleness is None
        or idleness.run != run.number
        or idleness.percent != percent
    ):
        return
    run.percent = percent
    run.since_ms = run.progress_changed_ms = now_ms - idleness.idle_ms
    run.progress_clock_ms = clock_ms - idleness.idle_ms


def _limit_ms(run: _fleet.Run) -> int:
    """Return the time without progress after which a run has stalled."""
    length_ms = max(run.spec.estimate_ms, _shown_length_ms(run))
    limit_ms = int(STALL_SHARE * length_ms) or FIRST_PERCENT_MS
    return max(STALL_MS, limit_ms) << min(run.stalls, MAX_DOUBLINGS)


def _shown_length_ms(run: _fleet.Run) -> int:
    """Return the length of a task by the speed of its run, 0 if unknown."""
    gained = run.percent - run.first_percent
    if run.first_percent < 0 or gained <= 0:
        return 0
    return 100 * (run.progress_changed_ms - run.since_ms) // gained


def _idle_ms(run: _fleet.Run, now_ms: int) -> int:
    """Return how long a run has shown no progress at its present pace."""
    return now_ms - max(run.progress_changed_ms, run.since_ms, run.paced_ms)


def _age_ms(run: _fleet.Run, now_ms: int) -> int:
    """Return how long a run has been at its present pace."""
    return now_ms - max(run.since_ms, run.paced_ms)


def _is_stalled(
    run: _fleet.Run, clock_ms: int, now_ms: int, factor: int = 1
) -> bool:
    """Return whether a run has shown no progress for too long.

    The clock of the worker has to show it as well: a busy owner may read the
    reports later than they were made, by more than the limit.
    """
    limit_ms = factor * _limit_ms(run)
    if clock_ms - run.progress_clock_ms < limit_ms:
        return False
    return _idle_ms(run, now_ms) >= limit_ms


def _has_progressed(run: _fleet.Run, now_ms: int) -> bool:
    """Return whether a run has shown progress recently.

    The next percent of a run is due after the time that one has taken so far.
    """
    recent_ms = PERCENTS_IN_TIME * _shown_length_ms(run) // 100
    recent_ms = max(STALL_MS, min(MAX_RECENT_MS, recent_ms))
    return run.progress_changed_ms > run.since_ms and (
        now_ms - run.progress_changed_ms < recent_ms
    )
