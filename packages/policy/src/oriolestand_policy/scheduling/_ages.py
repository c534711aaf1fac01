"""Tell how long tasks have waited, whichever owners they had."""

from oriolestand_policy.scheduling import _jobs


def waited_ms(
    job: _jobs.Job, task: _jobs.Task, now_ms: int, wall_ms: int
) -> int:
    """Return for how long a ready task has waited.

    The time since its step became ready is in Unix time, so that it goes on
    after a change of owner. It includes runs that were stopped.
    """
    ready_ms = now_ms - task.ready_ms
    begin_ms = step_ready_wall_ms(job, task.key.occurrence, task.key.step)
    return max(ready_ms, wall_ms - begin_ms) if begin_ms else ready_ms


def step_ready_wall_ms(job: _jobs.Job, occurrence: int, step: int) -> int:
    """Return the Unix time at which a step became ready, or 0 if unknown."""
    if job.spec.steps[step].after:
        return job.ready_wall_ms.get((occurrence, step), 0)
    return job.spec.due_ms(occurrence) or job.spec.accepted_ms
