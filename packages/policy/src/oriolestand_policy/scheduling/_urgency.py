"""Order ready tasks by urgency.

A job has its full value if it completes within its objective, little value up
to three times the objective, and none later. Under overload, first come, first
served would make every job late, so jobs that can still be on time go first.
"""

import enum

from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _specs

START_MARGIN = 0.35
"""Share of its initial slack that a job should have left when it starts.
Without a margin, ordering by due time starts each job under overload when it
can only just be on time, so that any delay makes it late."""

LATE_FACTOR = 3
"""A job that takes longer than this many times its objective has no value."""


class Tier(enum.IntEnum):
    """Value that a job can still reach; the lowest tier goes first.

    IN_TIME: the job can meet its objective with enough slack. AT_RISK: it
    can meet it, but with little slack. LATE: it can only reach the
    little value that is left up to ``LATE_FACTOR`` times the objective.
    LOST: it can reach none.
    """

    IN_TIME = 0
    AT_RISK = 1
    LATE = 2
    LOST = 3


def remaining_ms(job: _jobs.Job, occurrence: int) -> int:
    """Return the estimated time for the longest chain of unfinished steps."""
    ends: list[int] = []
    for number, spec in enumerate(job.spec.steps):
        begin = max((ends[dependency] for dependency in spec.after), default=0)
        is_done = job.is_step_done(occurrence, number)
        ends.append(begin + (0 if is_done else spec.estimate_ms))
    return max(ends)


def objective_ms(job: _jobs.Job, route: _specs.RoutePolicy) -> int:
    """Return the time allowed for a job, from its submission or due time."""
    ends: list[int] = []
    for spec in job.spec.steps:
        begin = max((ends[dependency] for dependency in spec.after), default=0)
        ends.append(begin + spec.estimate_ms)
    return int(route.stretch * max(ends)) + route.target_ms


def rank(
    job: _jobs.Job,
    occurrence: int,
    route: _specs.RoutePolicy,
    wall_ms: int,
) -> tuple[int, int]:
    """Return the sort key of a job: its tier, then its deadline."""
    due = job.spec.due_ms(occurrence) or job.spec.accepted_ms
    objective = objective_ms(job, route)
    remaining = remaining_ms(job, occurrence)
    finish = wall_ms + remaining
    slack = due + objective - finish
    margin = 0.0 if job.has_started else START_MARGIN * (objective - remaining)
    if slack >= max(0.0, margin):
        return (Tier.IN_TIME, due + objective)
    if slack >= 0:
        return (Tier.AT_RISK, due + objective)
    if finish <= due + LATE_FACTOR * objective:
        return (Tier.LATE, due + LATE_FACTOR * objective)
    return (Tier.LOST, due)
