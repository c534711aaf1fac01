"""Tell by route how long the oldest task that has not run waits, and why."""

from collections.abc import Mapping
import heapq

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _task_starter
from oriolestand_policy.scheduling import _waits

MAX_EXAMINED_ROUTES = 8
"""Number of routes, those with the longest waits, for which the obstacles are
looked for on all workers of the pool. For others the reason of the round has
to do, so that the time does not grow with the number of routes."""


def oldest_not_run_ms(
    cell: _cell.Cell, starter: _task_starter.TaskStarter, now_ms: int
) -> Mapping[tuple[str, str], int]:
    """Return the age of the oldest task that has not run, by route.

    The keys are the route and what holds the task up: a ``Hold``, or in place
    of ``NO_WORKER`` what keeps it from most workers. Routes whose tasks have
    waited for less than ``MIN_REPORTED_WAIT_MS`` are left out.
    """
    oldest = {
        route: task
        for route, task in _oldest_by_route(cell).items()
        if now_ms - task.ready_ms >= _waits.MIN_REPORTED_WAIT_MS
    }
    examined = set(
        heapq.nsmallest(
            MAX_EXAMINED_ROUTES, oldest, key=lambda r: oldest[r].ready_ms
        )
    )
    ages: dict[tuple[str, str], int] = {}
    for route, task in oldest.items():
        reason = starter.hold_of(task).value
        if reason == _obstacles.Hold.NO_WORKER.value and route in examined:
            reason = _obstacle(cell, starter, task, now_ms) or reason
        ages[(route, reason)] = now_ms - task.ready_ms
    return ages


def _oldest_by_route(cell: _cell.Cell) -> dict[str, _jobs.Task]:
    """Return the ready task of each route that has waited longest."""
    oldest: dict[str, _jobs.Task] = {}
    for task in cell.ready:
        job = cell.jobs.get(task.key.job)
        if job is None or task.run:
            continue
        known = oldest.get(job.spec.route)
        if known is None or task.ready_ms < known.ready_ms:
            oldest[job.spec.route] = task
    return oldest


def _obstacle(
    cell: _cell.Cell,
    starter: _task_starter.TaskStarter,
    task: _jobs.Task,
    now_ms: int,
) -> str:
    """Return what keeps a task from most workers of its pool, if anything."""
    route = cell.policy_of(cell.jobs[task.key.job])
    if route is None:
        return ''
    report = _waits.explain_wait(
        cell.workers.values(),
        task,
        route.pool,
        now_ms,
        starter.placement.obstacle,
    )
    del report.obstacles[_waits.NO_OBSTACLE]
    counts = sorted((-n, name) for name, n in report.obstacles.items())
    return counts[0][1] if counts else ''
