"""Convert the progress of a job to a stored record and back.

A record holds what the next owner cannot learn from the workers: which tasks
are done, which of their runs failed, and their checkpoints. It does not hold
which tasks are running, as workers report that.
"""

import dataclasses
from typing import Any

from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _specs

Progress = dict[str, Any]


def progress_of(job: _jobs.Job) -> Progress:
    """Return the progress of a job to store.

    Keys: ``outcome`` (text or None), ``started``, ``ended`` (Unix ms),
    ``done`` (rows of occurrence, step and indices of done tasks), ``open``
    (rows of occurrence, step, index, failed runs and checkpoint, only for
    tasks that have one of these).
    """
    done: list[list[Any]] = []
    unfinished: list[list[Any]] = []
    if job.outcome is None:
        for number, steps in job.tasks.items():
            for step, tasks in enumerate(steps):
                indices = [t.key.index for t in tasks if t.is_done]
                if indices:
                    done.append([number, step, indices])
                unfinished += [
                    [
                        number,
                        step,
                        task.key.index,
                        task.failed_runs,
                        task.checkpoint,
                    ]
                    for task in tasks
                    if not task.is_done
                    and (task.failed_runs or task.checkpoint)
                ]
    return {
        'outcome': job.outcome.value if job.outcome else None,
        'started': job.has_started,
        'ended': job.ended_wall_ms,
        'done': done,
        'open': unfinished,
    }


def restore(job: _jobs.Job, progress: Progress) -> None:
    """Apply a stored record to a job that was just added."""
    if progress.get('outcome'):
        job.outcome = _jobs.Outcome(progress['outcome'])
    job.has_started = bool(progress.get('started'))
    job.ended_wall_ms = int(progress.get('ended', 0))
    for number, step, indices in progress.get('done', ()):
        for index in indices:
            task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
            if task is not None:
                job.mark_done(task)
    for row in progress.get('open', ()):
        number, step, index, failed_runs, checkpoint = row
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is not None:
            task.failed_runs = list(failed_runs)
            task.checkpoint = checkpoint


def job_to_dict(spec: _specs.JobSpec) -> dict[str, Any]:
    """Return a job as a JSON-compatible mapping.

    Fields of steps that have their default value are left out.
    """
    mapping = dataclasses.asdict(spec)
    defaults = {
        field.name: field.default
        for field in dataclasses.fields(_specs.StepSpec)
    }
    mapping['steps'] = [
        {k: v for k, v in step.items() if v != defaults[k]}
        for step in mapping['steps']
    ]
    return mapping


def job_from_dict(mapping: dict[str, Any]) -> _specs.JobSpec:
    """Return the job from a mapping made by ``job_to_dict``."""
    steps = tuple(
        _specs.StepSpec(**{**step, 'after': tuple(step.get('after', ()))})
        for step in mapping['steps']
    )
    return _specs.JobSpec(**{**mapping, 'steps': steps})
