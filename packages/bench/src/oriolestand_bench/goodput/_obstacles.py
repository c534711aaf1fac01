"""Note why the tasks of jobs wait."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import random

from oriolestand_bench.goodput import _jobs
from oriolestand_policy import scheduling

MAX_EXPLAINED = 24
"""Steps whose obstacle is looked up in one sample."""

OTHERS_FIRST = 'others first'
"""A worker has room for the task; it waits for its turn."""


def note_waits(
    records: Mapping[str, _jobs.JobRecord],
    scheduler: scheduling.Scheduler,
    placement: scheduling.Placement,
    interval_ms: int,
    rng: random.Random,
) -> None:
    """Add the waiting time of an interval to the records of jobs.

    The obstacle is looked up for some of the steps; each stands for an equal
    share of the waiting tasks.
    """
    waiting = list(_waiting_steps(records, scheduler))
    chosen = rng.sample(waiting, min(MAX_EXPLAINED, len(waiting)))
    if not chosen:
        return
    scale = len(waiting) / len(chosen) * interval_ms / 1_000
    for tasks in chosen:
        obstacle = _obstacle_of(tasks[0], scheduler, placement)
        record = records[tasks[0].key.job]
        record.waits[obstacle] += scale * len(tasks)  # type: ignore[assignment]


def _waiting_steps(
    records: Mapping[str, _jobs.JobRecord], scheduler: scheduling.Scheduler
) -> Iterator[list[scheduling.Task]]:
    """Yield the waiting tasks of each step that is ready."""
    for job_id, record in records.items():
        if record.ended_ms >= 0:
            continue
        job = scheduler.jobs[job_id]
        for number, tasks in enumerate(job.tasks.get(0, ())):
            idle = [task for task in tasks if task.is_idle]
            if idle and record.ready_ms[number] >= 0:
                yield idle


def _obstacle_of(
    task: scheduling.Task,
    scheduler: scheduling.Scheduler,
    placement: scheduling.Placement,
) -> str:
    """Return the obstacle of most workers, or that there is none."""
    counts: collections.Counter[str] = collections.Counter()
    for worker in scheduler.workers.values():
        obstacle = placement.obstacle(worker, task)
        if obstacle is None:
            return OTHERS_FIRST
        counts[obstacle.value] += 1
    return counts.most_common(1)[0][0]
