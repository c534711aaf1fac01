"""Decide which tasks a crash of a worker counts against.

Everything that ran on a crashed worker is lost with it, and most of it is
harmless. A task that crashes its workers does so soon after its start, so
only runs that no report has shown to run for longer are suspect.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs

PROBATION_MS = 500
"""Time that a run must be seen to survive. Tasks that crash their workers do
so within tens of milliseconds; a slow worker or link makes it longer."""

PROMPT_MS = 300
"""Age of a run at the first failed poll up to which its task is the likely
cause. Later, a crash of the worker by chance is about as likely."""

RESTARTED = 'restarted'
CRASH_REASONS = frozenset({RESTARTED, 'replaced'})
"""Why a worker was removed although it did not leave: another incarnation
reports or registered in its place."""

LOSS_REASONS = frozenset({'lease over', 'never answered'})
"""Why a worker was removed that nobody has heard of: its entry is gone, so
that it reaches neither the owner nor the store. It may run on."""

MIN_ALONE_ADDRESSES = 2
"""Number of addresses at which workers must crash under a task alone."""

MIN_ALONE_CRASHES = 3
"""Number of such crashes at a single address. A worker that keeps crashing by
itself crashes under any task."""

MIN_LATE_ADDRESSES = 3
"""As ``MIN_ALONE_ADDRESSES``, with crashes that were noticed late, as those of
workers that do not refuse connections are."""

MIN_CRASHES_IN_A_ROW = 4
"""Number of crashes of any kind, without a run that a worker survived, if the
task was the only suspect of one of them."""

MAX_CRASHES_IN_A_ROW = 5
"""As above, for any task. While many workers crash, each crash seems to have a
common cause."""

MIN_ADDRESSES_IN_A_ROW = 3

MIN_BEGUN_ADDRESSES = 2
"""Number of addresses at which workers must crash under a task that has begun,
before doubtful crashes are counted beside them up to
``MAX_CRASHES_IN_A_ROW``. Callers are told that a task may be given up after
two crashes, and that it is not started three times more after three."""

MAX_RESTART_MS = 10_000
"""Longest time from the start of a run to the start of the next incarnation
of its worker, if the run crashed the worker. Crashed workers are back after
3.0 s to 3.4 s. Later, the worker may have run on until its lease was over, and
ended for another reason."""


FREE_DOUBTFUL_CRASHES = 2
"""Number of crashes of workers that may never have read the start, after which
a task starts again as soon as it has a worker of its own. Few workers die by
chance in the second in which a silent crash is not noticed yet."""

DOUBTFUL_PAUSE_MS = 10_000
MAX_DOUBTFUL_PAUSE_MS = 60_000
"""Time from a further such crash to the next start; it doubles with each one.
A task that crashes its workers before they can answer starts five times within
87 s, and then costs a worker some 3.4 s in each minute. A harmless one is
delayed by it only if three workers in a row die as they get its start."""


class Suspect(NamedTuple):
    """How the crash of a worker counts against a task.

    ``began_ms`` is when the run began in Unix time, 0 if unknown.
    ``has_begun`` is as in ``Run``.
    """

    kind: _jobs.CrashKind
    began_ms: int
    has_begun: bool


def mark_proven(run: _fleet.Run, worker: _fleet.Worker, now_ms: int) -> None:
    """Note that a report that is read at ``now_ms`` lists a run.

    The report of a worker that a slow owner polls late may have been made as
    much earlier, just after the run began.
    """
    late_ms = worker.max_report_age_ms - _fleet.MAX_REPORT_AGE_MS
    if now_ms - late_ms - run.since_ms >= PROBATION_MS:
        run.is_proven = True


def unproven_runs(worker: _fleet.Worker) -> list[_fleet.Run]:
    """Return the runs that may be about to crash a worker."""
    return [run for run in worker.runs.values() if not run.is_proven]


def suspect_runs(worker: _fleet.Worker) -> list[_fleet.Run]:
    """Return the runs that may have crashed a worker.

    A run whose start order still waits to be sent cannot be the cause.
    """
    return [run for run in unproven_runs(worker) if run.is_sent]


def is_single_suspect(runs: Sequence[_fleet.Run]) -> bool:
    """Return whether runs belong to one task, or to one gang."""
    units = {run.key[:3] if run.spec.is_gang else run.key for run in runs}
    return len(units) == 1


def is_prompt(worker: _fleet.Worker, runs: Iterable[_fleet.Run]) -> bool:
    """Return whether a worker was lost right after the start of runs."""
    return all(
        worker.unreachable_ms - run.since_ms <= PROMPT_MS for run in runs
    )


def pause_ms(crashes: Sequence[_jobs.Crash]) -> int:
    """Return how long a task waits after the last of its doubtful crashes."""
    further = len(crashes) - FREE_DOUBTFUL_CRASHES
    if further <= 0:
        return 0
    # The limit is reached long before the power is large.
    power = min(further - 1, 10)
    return min(DOUBTFUL_PAUSE_MS << power, MAX_DOUBTFUL_PAUSE_MS)


def may_have_crashed(began_ms: int, gone_ms: int) -> bool:
    """Return whether a run may have crashed a worker that is gone.

    The run began at ``began_ms``, and the worker was gone at ``gone_ms`` at
    the latest: Unix times, 0 if unknown.
    """
    if began_ms <= 0 or gone_ms <= 0:
        return True
    return gone_ms - began_ms <= MAX_RESTART_MS


def is_cause(
    crashes: Sequence[_jobs.Crash], doubtful: Sequence[_jobs.Crash] = ()
) -> bool:
    """Return whether the crashes of a task can only be its own fault.

    Doubtful ones do not show that. But once workers have crashed under it at
    ``MIN_BEGUN_ADDRESSES``, they use up the starts that it may have.
    """
    prompt = [c.address for c in crashes if c.kind is _jobs.CrashKind.ALONE]
    late = [c.address for c in crashes if c.kind is _jobs.CrashKind.LATE]
    is_cause_alone = (
        len(set(prompt)) >= MIN_ALONE_ADDRESSES
        or len(prompt) >= MIN_ALONE_CRASHES
        or len({*prompt, *late}) >= MIN_LATE_ADDRESSES
        or len(prompt) + len(late) >= MAX_CRASHES_IN_A_ROW
    )
    if is_cause_alone:
        return True
    needed = MAX_CRASHES_IN_A_ROW
    if prompt or late:
        needed = MIN_CRASHES_IN_A_ROW
    addresses = {crash.address for crash in crashes}
    if len(crashes) >= needed and len(addresses) >= MIN_ADDRESSES_IN_A_ROW:
        return True
    if not doubtful or len(addresses) < MIN_BEGUN_ADDRESSES:
        return False
    return len(crashes) + len(doubtful) >= MAX_CRASHES_IN_A_ROW
