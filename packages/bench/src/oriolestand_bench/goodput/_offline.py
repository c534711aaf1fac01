"""References: what an order that knows all jobs in advance can reach.

Both count the processors of the fleet as one, without images, memory, failed
runs and the time of orders, and take the services as at work throughout.
"""

from collections.abc import Callable
from collections.abc import Sequence
import heapq
import math

from oriolestand_bench.goodput import _case
from oriolestand_bench.goodput import _traffic

BIN_MS = 100


def capacity(case: _case.Case) -> list[float]:
    """Return the idle cores of each interval of ``BIN_MS``."""
    count = (case.load_ms + _case.COUNTED_AFTER_MS) // BIN_MS
    cores = [case.room] * count
    if case.setting is _case.Setting.GONE:
        first = case.load_ms // 2 // BIN_MS
        for number in range(first, first + _case.GONE_MS // BIN_MS):
            cores[number] *= 1.0 - _case.GONE_SHARE
    return cores


def fluid_bound(
    jobs: Sequence[_traffic.PlannedJob], cores: Sequence[float]
) -> float:
    """Return an upper bound on the work of jobs in time, in core seconds.

    Jobs count in parts, at any rate, at any time from their arrival to their
    objective. Earliest objective first is optimal for that, as all work has
    the same value. Each real order is one such division.
    """
    arrivals = sorted(jobs, key=lambda job: job.arrival_ms)
    following = 0
    open_jobs: list[tuple[int, int, float]] = []
    total = 0.0
    for number, free_cores in enumerate(cores):
        begin_ms, end_ms = number * BIN_MS, (number + 1) * BIN_MS
        while (
            following < len(arrivals)
            and arrivals[following].arrival_ms < end_ms
        ):
            job = arrivals[following]
            due_ms = job.arrival_ms + job.objective_ms
            heapq.heappush(open_jobs, (due_ms, following, job.work))
            following += 1
        free = free_cores * BIN_MS / 1_000
        while open_jobs and free > 0.0:
            due_ms, index, work = heapq.heappop(open_jobs)
            if due_ms <= begin_ms:
                continue
            part = min(work, free)
            total += part
            free -= part
            if part < work:
                heapq.heappush(open_jobs, (due_ms, index, work - part))
    return total


Order = Callable[[_traffic.PlannedJob], float]
ORDERS: tuple[Order, ...] = (
    lambda job: job.arrival_ms,
    lambda job: job.arrival_ms + job.objective_ms,
    lambda job: job.work,
    lambda job: -job.work,
)


def best_order(
    jobs: Sequence[_traffic.PlannedJob], cores: Sequence[float]
) -> float:
    """Return the work of jobs in time of the best of some orders.

    List scheduling: the jobs of an order are added one by one, each task at
    the earliest time at which its cores are free throughout, and left out if
    they would be late. The result can be reached with these capacities, so
    it is a lower bound on the best order of whole jobs.
    """
    return max(_admit(sorted(jobs, key=order), cores) for order in ORDERS)


def _admit(
    jobs: Sequence[_traffic.PlannedJob], cores: Sequence[float]
) -> float:
    """Return the work of the jobs that fit, in the order given."""
    free = [1_000 * value for value in cores]
    total = 0.0
    for job in jobs:
        if _place(job, free):
            total += job.work
    return total


Placed = list[tuple[int, int, int]]


def _place(job: _traffic.PlannedJob, free: list[float]) -> bool:
    """Take the processors of a job, unless it would be late."""
    due = (job.arrival_ms + job.objective_ms) // BIN_MS
    due = min(due, len(free))
    begin = math.ceil(job.arrival_ms / BIN_MS)
    taken: Placed = []
    for step in job.steps:
        step_end = begin
        first = begin
        for run_ms in sorted(step.run_ms, reverse=True):
            length = math.ceil(run_ms / BIN_MS)
            first = _earliest(free, first, length, step.cpu, due)
            if first + length > due:
                _give_back(free, taken)
                return False
            for number in range(first, first + length):
                free[number] -= step.cpu
            taken.append((first, length, step.cpu))
            step_end = max(step_end, first + length)
        begin = step_end
    return True


def _earliest(
    free: list[float], first: int, length: int, cpu: int, due: int
) -> int:
    """Return the first interval from which on a task fits.

    The task is late if the result and its length are beyond ``due``.
    """
    number = first
    while number < first + length <= due:
        if free[number] < cpu:
            first = number + 1
        number += 1
    return first


def _give_back(free: list[float], taken: Placed) -> None:
    """Return the processors of a job that is left out."""
    for first, length, cpu in taken:
        for number in range(first, first + length):
            free[number] += cpu
