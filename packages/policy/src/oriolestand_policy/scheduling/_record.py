"""Convert the progress of a job to a stored record and back.

A record holds what the next owner cannot learn from the workers: which tasks
are done, which of their runs failed, and their checkpoints. It also holds
where service tasks may run, so that one that runs nowhere can start before all
workers have reported. Workers report where other tasks run.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
from typing import Any

from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _specs

Progress = dict[str, Any]

MAX_PLACEMENTS = 1_000
"""More would not fit into a row of the store beside the rest of the record.
Without them, the placements count as unknown."""

MAX_READY_STEPS = 200
"""Limit on the stored times at which steps became ready, for the same reason.
The waits of the others begin anew with the next owner."""

MAX_IDLE_TASKS = 200
"""Limit on the stored times without progress, and on the stored numbers of
stalled runs, for the same reason."""

MAX_LATE_STARTS = 100
"""Limit on the stored starts that may be carried out late, for the same
reason. A successor does not wait for the others."""

MAX_CRASH_BYTES = 20_000
"""Size of the rows of crashes, which share a row of the store with the rest of
the record. The store refuses a larger record each time, so that the ends of
the job could never be acknowledged."""


WATCH_FIELDS = 6
"""Number of fields of a watch in the rows of crashes."""


_JOB_FIELDS = tuple(field.name for field in dataclasses.fields(_specs.JobSpec))
_STEP_DEFAULTS = {
    field.name: field.default for field in dataclasses.fields(_specs.StepSpec)
}


@dataclasses.dataclass(slots=True)
class _Rows:
    """Rows of a record by its keys; ``unfinished`` is ``open``."""

    done: list[list[Any]] = dataclasses.field(default_factory=list)
    unfinished: list[list[Any]] = dataclasses.field(default_factory=list)
    placed: list[list[Any]] = dataclasses.field(default_factory=list)
    idle: list[list[int]] = dataclasses.field(default_factory=list)
    stalls: list[list[int]] = dataclasses.field(default_factory=list)
    late: list[list[Any]] = dataclasses.field(default_factory=list)


def progress_of(job: _jobs.Job) -> Progress:
    """Return the progress of a job to store.

    Keys: ``outcome`` (text or None), ``started`` (whether a worker confirmed
    a run), ``decided`` (only if starts were decided and none confirmed),
    ``ended`` (Unix ms),
    ``done`` (rows of occurrence, step and indices of done tasks), ``open``
    (rows of occurrence, step, index, failed runs and checkpoint, only for
    tasks that have one of these), ``placed`` (rows of occurrence, step, index,
    worker and run of the service tasks that may run), ``crashes`` (rows of
    occurrence, step, index, crashes and watch), ``began`` (rows of occurrence,
    step, index and Unix ms at which the watched run began, if there are any),
    ``doubtful`` (rows of occurrence, step, index, doubtful crashes and whether
    the watched run may not have begun, if there are any),
    ``ready`` (rows of occurrence, step and Unix ms at which an unfinished step
    that depends on others became ready, if there are any), ``idle`` (rows of
    occurrence, step, index, run, percentage and ms without progress beyond it
    of the tasks that showed none for a while, if there are any), ``stalls``
    (rows of occurrence, step, index and number of the tasks of which runs were
    stopped as stalled, if there are any), ``late`` (rows of occurrence, step,
    index, worker, run and time of the starts that may be carried out late, if
    there are any, with the time of the owner's clock by which their runs are
    over, 0 if not known). There is no
    ``placed`` for jobs without service tasks, and if the placements are
    unknown or too many, and no ``crashes`` without any; it lacks tasks if they
    are too many.
    """
    rows = _rows_of(job)
    progress: Progress = {
        'outcome': job.outcome.value if job.outcome else None,
        'started': job.has_started,
        'ended': job.ended_wall_ms,
        'done': rows.done,
        'open': rows.unfinished,
    }
    if job.is_start_decided and not job.has_started:
        progress['decided'] = True
    if (
        job.has_services
        and not job.has_unknown_placements
        and len(rows.placed) <= MAX_PLACEMENTS
    ):
        progress['placed'] = rows.placed
    ready = _ready_rows(job)
    if ready:
        progress['ready'] = ready
    if rows.idle:
        progress['idle'] = rows.idle[:MAX_IDLE_TASKS]
    if rows.stalls:
        progress['stalls'] = rows.stalls[:MAX_IDLE_TASKS]
    if rows.late:
        progress['late'] = rows.late[:MAX_LATE_STARTS]
    # Earlier versions cannot read longer rows of crashes.
    tasks = _fitting_tasks(job)
    for name, row_of in _CRASH_ROWS.items():
        rows_of_crashes = [row for task in tasks if (row := row_of(task))]
        if rows_of_crashes:
            progress[name] = rows_of_crashes
    return progress


def _rows_of(job: _jobs.Job) -> _Rows:
    """Return the rows of the tasks of a job that has not ended."""
    rows = _Rows()
    if job.outcome is not None:
        return rows
    for number, steps in job.tasks.items():
        for step, tasks in enumerate(steps):
            indices = [t.key.index for t in tasks if t.is_done]
            if indices:
                rows.done.append([number, step, indices])
            rows.unfinished += [
                [
                    number,
                    step,
                    task.key.index,
                    task.failed_runs,
                    task.checkpoint,
                ]
                for task in tasks
                if not task.is_done and (task.failed_runs or task.checkpoint)
            ]
            rows.placed += _placements(tasks)
            rows.idle += _idle_rows(tasks)
            rows.stalls += [
                [*task.key[1:], task.stalls]
                for task in tasks
                if task.stalls and not task.is_done
            ]
            rows.late += _late_rows(tasks)
    return rows


def _placements(tasks: Iterable[_jobs.Task]) -> Iterator[list[Any]]:
    """Yield the rows of the service tasks that may run."""
    for task in tasks:
        if not task.spec.is_service or task.is_done:
            continue
        _, number, step, index = task.key
        if task.worker:
            yield [number, step, index, task.worker, task.run]
        elif task.former_worker:
            yield [number, step, index, task.former_worker, task.former_run]


def _idle_rows(tasks: Iterable[_jobs.Task]) -> Iterator[list[int]]:
    """Yield how long the present runs have shown no progress."""
    for task in tasks:
        idleness = task.idleness
        if idleness is None or task.is_done:
            continue
        if task.run in (0, idleness.run):
            yield [*task.key[1:], *idleness]


def _late_rows(tasks: Iterable[_jobs.Task]) -> Iterator[list[Any]]:
    """Yield the rows of the starts that may be carried out late."""
    for task in tasks:
        if task.late_worker and not task.is_done:
            for run in sorted(task.late_runs):
                yield [
                    *task.key[1:],
                    task.late_worker,
                    run,
                    task.late_until_ms,
                ]


def _ready_rows(job: _jobs.Job) -> list[list[int]]:
    """Return when the unfinished steps became ready."""
    if job.outcome is not None:
        return []
    rows = [
        [*key, wall_ms]
        for key, wall_ms in job.ready_wall_ms.items()
        if not job.is_step_done(*key)
    ]
    return rows[:MAX_READY_STEPS]


def _crash_row(task: _jobs.Task) -> list[Any]:
    """Return the row of the crashes and the watch of a task, or nothing."""
    if not (task.crashes or task.watch):
        return []
    watch = task.watch and task.watch[:WATCH_FIELDS]
    return [*task.key[1:], task.crashes, watch]


def _began_row(task: _jobs.Task) -> list[Any]:
    """Return when the watched run of a task began, or nothing."""
    if task.watch is None or task.watch.began_ms <= 0:
        return []
    return [*task.key[1:], task.watch.began_ms]


def _doubtful_row(task: _jobs.Task) -> list[Any]:
    """Return what may not have reached the workers of a task, or nothing."""
    is_doubtful = task.watch is not None and not task.watch.has_begun
    if not (task.doubtful_crashes or is_doubtful):
        return []
    return [*task.key[1:], task.doubtful_crashes, is_doubtful]


_CRASH_ROWS: dict[str, Callable[[_jobs.Task], list[Any]]] = {
    'crashes': _crash_row,
    'began': _began_row,
    'doubtful': _doubtful_row,
}


def _fitting_tasks(job: _jobs.Job) -> list[_jobs.Task]:
    """Return the tasks whose crashes fit, those with the most first.

    Hundreds of suspects are the new tasks of a pool that was lost, and the
    task that crashes its workers has more crashes than they have.
    """
    if job.outcome is not None:
        return []
    found = [
        task
        for task in job.all_tasks()
        if not task.is_done
        and (task.crashes or task.doubtful_crashes or task.watch)
    ]
    fitting: list[_jobs.Task] = []
    size = 0
    for task in sorted(found, key=lambda task: -len(task.all_crashes)):
        rows = [
            row for row_of in _CRASH_ROWS.values() if (row := row_of(task))
        ]
        size += len(json.dumps(rows, separators=(',', ':')))
        if size > MAX_CRASH_BYTES:
            break
        fitting.append(task)
    return sorted(fitting, key=lambda task: task.key)


def restore(job: _jobs.Job, progress: Progress) -> list[_jobs.Task]:
    """Apply a stored record to a job that was just added.

    Return the tasks with crashes or a watched run.
    """
    if progress.get('outcome'):
        job.outcome = _jobs.Outcome(progress['outcome'])
    job.has_started = bool(progress.get('started'))
    # Earlier versions stored the decision as ``started``.
    job.is_start_decided = job.has_started or bool(progress.get('decided'))
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
    placed = progress.get('placed')
    # Earlier versions stored no placements.
    job.has_unknown_placements = (
        job.needs_probe and job.has_services and placed is None
    )
    for number, step, index, worker, run in placed or ():
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is not None:
            task.former_worker = worker
            task.former_run = run
    for number, step, wall_ms in progress.get('ready', ()):
        if job.find(_jobs.TaskKey(job.spec.id, number, step, 0)) is not None:
            job.ready_wall_ms[number, step] = wall_ms
    for number, step, index, *idleness in progress.get('idle', ()):
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is not None:
            task.idleness = _jobs.Idleness(*idleness)
    for number, step, index, stalls in progress.get('stalls', ()):
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is not None:
            task.stalls = stalls
    for number, step, index, worker, run, until_ms in progress.get('late', ()):
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is not None and not task.is_done:
            task.late_worker = worker
            task.late_runs.add(run)
            task.late_until_ms = until_ms
    return _restore_crashes(job, progress)


def _restore_crashes(job: _jobs.Job, progress: Progress) -> list[_jobs.Task]:
    """Apply the rows of crashes and return their tasks."""
    found: dict[_jobs.TaskKey, _jobs.Task] = {}
    for number, step, index, crashes, watch in progress.get('crashes', ()):
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is None or task.is_done:
            continue
        task.crashes = _crashes_of(crashes)
        if watch:
            run, worker, address, kind, process_start_ms, rack = watch
            task.watch = _jobs.Watch(
                run=run,
                worker=worker,
                address=address,
                kind=_jobs.CrashKind(kind),
                process_start_ms=process_start_ms,
                rack=rack,
            )
        found[task.key] = task
    for number, step, index, began_ms in progress.get('began', ()):
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is not None and task.watch is not None:
            task.watch = task.watch._replace(began_ms=began_ms)
    for row in progress.get('doubtful', ()):
        number, step, index, crashes, is_watch_doubtful = row
        task = job.find(_jobs.TaskKey(job.spec.id, number, step, index))
        if task is None or task.is_done:
            continue
        task.doubtful_crashes = _crashes_of(crashes)
        if task.watch is not None and is_watch_doubtful:
            task.watch = task.watch._replace(has_begun=False)
        found[task.key] = task
    job.crashed_keys.update(found)
    return list(found.values())


def _crashes_of(rows: Iterable[Any]) -> list[_jobs.Crash]:
    """Return crashes from their address and kind."""
    return [
        _jobs.Crash(address=address, kind=_jobs.CrashKind(kind))
        for address, kind in rows
    ]


def job_to_dict(spec: _specs.JobSpec) -> dict[str, Any]:
    """Return a job as a JSON-compatible mapping.

    Fields of steps that have their default value are left out.
    """
    # Each submission calls this; dataclasses.asdict takes several times as
    # long, as it copies all values.
    mapping = {name: getattr(spec, name) for name in _JOB_FIELDS}
    mapping['steps'] = [
        {
            name: value
            for name, default in _STEP_DEFAULTS.items()
            if (value := getattr(step, name)) != default
        }
        for step in spec.steps
    ]
    return mapping


def job_from_dict(mapping: dict[str, Any]) -> _specs.JobSpec:
    """Return the job from a mapping made by ``job_to_dict``."""
    steps = tuple(
        _specs.StepSpec(**{**step, 'after': tuple(step.get('after', ()))})
        for step in mapping['steps']
    )
    return _specs.JobSpec(**{**mapping, 'steps': steps})
