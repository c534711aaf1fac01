"""Order ready tasks by urgency.

A job has its full value if it completes within its objective, little value up
to three times the objective, and none later. Under overload, first come, first
served would make every job late, so jobs that can still be on time go first.
Among them, those with the least work left to start go first: a job earns
nothing until all of it has run, and by due time alone most jobs under overload
were begun and then left for younger ones.
A service job keeps its value for as long as it runs, so the oldest goes first.
The times follow from the run times learned for the route of a job.
"""

import dataclasses
import enum

from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _ready
from oriolestand_policy.scheduling import _run_times
from oriolestand_policy.scheduling import _specs

START_MARGIN = 0.35
"""Share of its initial slack that a job should have left when it starts.
Without a margin, ordering by due time starts each job under overload when it
can only just be on time, so that any delay makes it late."""

LATE_FACTOR = 3
"""A job that takes longer than this many times its objective has no value."""

LATE_VALUE_PERCENT = 15
"""Value of a job that completes late, relative to one in time. It is that of
the routes of both users."""

AMPLE_SLACK_MS = 10_000
"""Slack above which a begun job can wait, as one that was not begun. A job of
many steps would otherwise take all room from short jobs for minutes, and so
would one with far too long an estimate."""

ALL_LEFT = 1_000
"""Work left to start of a job that was not begun, in thousandths."""


class Tier(enum.IntEnum):
    """Value that a job can still reach; the lowest tier goes first.

    IN_TIME: the job can meet its objective with enough slack, or only late,
    but with so little work left that it has more value for that work than one
    in time. AT_RISK: it can meet its objective, but with little slack. LATE:
    it can only reach the little value that is left up to ``LATE_FACTOR`` times
    the objective.
    LOST: it can reach none. OVERDUE: it has filling tasks, and either can
    reach none, or is LATE and has waited too long. Such jobs go on in
    rotation.
    """

    IN_TIME = 0
    AT_RISK = 1
    LATE = 2
    LOST = 3
    OVERDUE = 4


def remaining_ms(
    job: _jobs.Job, occurrence: int, run_times: _run_times.RunTimeModel
) -> int:
    """Return the expected time for the longest chain of unfinished steps."""
    ends: list[int] = []
    for number, spec in enumerate(job.spec.steps):
        begin = max((ends[dependency] for dependency in spec.after), default=0)
        is_done = job.is_step_done(occurrence, number)
        expected_ms = run_times.expected_ms(job.spec.route, spec)
        ends.append(begin + (0 if is_done else expected_ms))
    return max(ends)


def objective_ms(
    job: _jobs.Job,
    route: _specs.RoutePolicy,
    run_times: _run_times.RunTimeModel,
) -> int:
    """Return the time allowed for a job, from its submission or due time."""
    ends: list[int] = []
    for spec in job.spec.steps:
        begin = max((ends[dependency] for dependency in spec.after), default=0)
        ends.append(begin + run_times.expected_ms(job.spec.route, spec))
    return int(route.stretch * max(ends)) + route.target_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Times:
    """Times of an occurrence, until a task is done or others are expected.

    ``due_ms`` is Unix time; the others are durations. ``task_work`` is the
    processor time of a task of each step, ``total_work`` that of all tasks,
    and ``later_work`` that of the steps which wait for others, in thousandths
    of a core times milliseconds.
    """

    job: _jobs.Job
    route: _specs.RoutePolicy
    completions: int
    revision: int
    due_ms: int
    objective_ms: int
    remaining_ms: int
    is_service: bool
    task_work: tuple[int, ...]
    total_work: int
    later_work: int


class UrgencyRanks:
    """Rank occurrences of jobs; their times are kept between rounds."""

    def __init__(
        self, run_times: _run_times.RunTimeModel, ready: _ready.ReadyQueue
    ) -> None:
        self._run_times = run_times
        self._ready = ready
        self._former: dict[tuple[str, int], _Times] = {}
        self._times: dict[tuple[str, int], _Times] = {}

    def begin_round(self) -> None:
        """Forget the times of occurrences that the last round did not rank."""
        self._former, self._times = self._times, {}

    def rank(
        self,
        job: _jobs.Job,
        occurrence: int,
        route: _specs.RoutePolicy,
        wall_ms: int,
    ) -> tuple[int, ...]:
        """Return the sort key of a job.

        It has its tier, then how much of its work is left to start, then its
        deadline.
        """
        key = (job.spec.id, occurrence)
        times = self._former.get(key)
        if (
            times is None
            or times.job is not job
            or times.route is not route
            or times.completions != job.completions
            or times.revision != self._run_times.revision
        ):
            times = self._times_of(job, occurrence, route)
        self._times[key] = times
        return _rank(
            times, job.is_start_decided, wall_ms, self._left(key, times)
        )

    def _times_of(
        self, job: _jobs.Job, occurrence: int, route: _specs.RoutePolicy
    ) -> _Times:
        """Return the times of an occurrence at present."""
        steps = job.spec.steps
        # Once for each step, as several may depend on the same large one.
        is_done = [
            job.is_step_done(occurrence, step) for step in range(len(steps))
        ]
        task_work = tuple(
            max(1, spec.cpu)
            * max(1, self._run_times.expected_ms(job.spec.route, spec))
            for spec in steps
        )
        work = [
            spec.count * of_task
            for spec, of_task in zip(steps, task_work, strict=True)
        ]
        return _Times(
            job=job,
            route=route,
            completions=job.completions,
            revision=self._run_times.revision,
            due_ms=job.spec.due_ms(occurrence) or job.spec.accepted_ms,
            objective_ms=objective_ms(job, route, self._run_times),
            remaining_ms=remaining_ms(job, occurrence, self._run_times),
            is_service=any(spec.is_service for spec in steps),
            task_work=task_work,
            total_work=sum(work),
            later_work=sum(
                of_step
                for spec, of_step in zip(steps, work, strict=True)
                if not all(is_done[step] for step in spec.after)
            ),
        )

    def _left(self, key: _ready.OccurrenceKey, times: _Times) -> int:
        """Return how much work is left to start, in thousandths of all."""
        left = times.later_work
        for step, count in self._ready.counts_of(key):
            left += count * times.task_work[step]
        return ALL_LEFT * left // times.total_work


def _rank(
    times: _Times, is_start_decided: bool, wall_ms: int, left: int
) -> tuple[int, ...]:
    """Return the tier, the work left and the deadline of an occurrence."""
    due, objective = times.due_ms, times.objective_ms
    if times.is_service:
        return (Tier.IN_TIME, 0, due)
    finish = wall_ms + times.remaining_ms
    slack = due + objective - finish
    margin = START_MARGIN * (objective - times.remaining_ms)
    if is_start_decided:
        margin = 0.0
    if slack > AMPLE_SLACK_MS:
        return (Tier.IN_TIME, ALL_LEFT, due + objective)
    if slack >= max(0.0, margin):
        return (Tier.IN_TIME, left, due + objective)
    if slack >= 0:
        return (Tier.AT_RISK, left, due + objective)
    late_due = due + LATE_FACTOR * objective
    if finish > late_due:
        return (Tier.LOST, due)
    # Work that earns less counts as more of it.
    left_for_value = left * 100 // LATE_VALUE_PERCENT
    if left_for_value < ALL_LEFT:
        return (Tier.IN_TIME, left_for_value, late_due)
    return (Tier.LATE, left, late_due)
