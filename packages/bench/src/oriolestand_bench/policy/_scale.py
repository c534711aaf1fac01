"""Measure the cost of a decision against the size of the state."""

import math
import random
import statistics
import time
from typing import Any

from oriolestand_bench import _results
from oriolestand_bench.policy import _naive
import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import interference
from oriolestand_policy import placement
from oriolestand_policy import tables

WORKERS = (100, 1_000, 10_000, 28_000)
TASKS = (1_000, 10_000, 65_000, 260_000)
TEAMS = 78
ROUNDS = 20_000
REPEATS = 3
NAIVE_ROUNDS = 50
FILL_STEP = 10_000
MAX_SLOPE = 0.5
"""Exponent of cost against size. The design page rules out 1, linear; half of
that leaves room for the effect of processor caches."""
SETTLE_MS = 20_000
"""Time after which no slots are kept for services that never came."""
STARTS_PER_S = 2_400
START_SECONDS = 10
URGENT_BOUND_MS = 7_700

Entry = _results.Result


def build(workers: int) -> dispatching.Dispatcher:
    """Return a dispatcher with a pool of workers of 16 slots."""
    one = dispatching.Dispatcher(
        placement.TwoChoicesPlacement(random.Random(1)), admission.FairQueue
    )
    one.set_pool('p', 256)
    limits = {f'w{number}': 16 for number in range(workers)}
    one.set_limits('p', limits, core.Millis(0))
    for now in range(0, SETTLE_MS, 50):
        one.tick(core.Millis(now))
    # A team that was never measured may run only one task.
    quiet = interference.UsageReport(
        address='w0',
        measured_at=core.Millis(0),
        slowdown=1.0,
        services=10,
        residents={f'k{number}': f't{number}' for number in range(TEAMS)},
    )
    one.report_usage(quiet, core.Millis(SETTLE_MS))
    return one


def build_naive(workers: int) -> _naive.NaiveDispatcher:
    """Return the baseline with the same pool."""
    one = _naive.NaiveDispatcher(random.Random(1))
    one.set_pool('p', 256)
    limits = {f'w{number}': 16 for number in range(workers)}
    one.set_limits('p', limits, core.Millis(0))
    return one


def ticket(number: int) -> admission.Ticket:
    """Return a service request."""
    return admission.Ticket(
        id=f'r{number}',
        pool='p',
        team='t',
        kind=tables.Kind.SERVICE,
        priority=0,
        arrived=core.Millis(0),
        deadline=core.Millis(1 << 40),
    )


def request_cost(one: Any, rounds: int = ROUNDS) -> float:
    """Return microseconds for a submit, a finish and a part of a tick."""
    tickets = [ticket(number) for number in range(rounds)]
    outcome = dispatching.Outcome(verdict=core.Verdict.RAN, latency_ms=5.0)
    now = core.Millis(SETTLE_MS)
    costs = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        for number, item in enumerate(tickets):
            one.submit(item, now)
            one.attempt_finished(item.id, outcome, now)
            if number % 100 == 0:
                now = core.Millis(now + 50)
                one.tick(now)
        costs.append((time.perf_counter() - begin) / rounds * 1e6)
    return statistics.median(costs)


def task_cost(one: Any, tasks: int, rounds: int = ROUNDS) -> float:
    """Return microseconds to reserve and free slots beside many tasks."""
    now = SETTLE_MS
    for number in range(tasks):
        if number % FILL_STEP == 0:
            # By then the earlier tasks count no longer as unproven starts.
            now += SETTLE_MS
            one.tick(core.Millis(now))
        got = one.reserve(f'old{number}', 'p', 1, f't{number % TEAMS}', 0)
        assert got is not None
    now += SETTLE_MS
    one.tick(core.Millis(now))
    costs = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        for number in range(rounds):
            got = one.reserve(f'new{number}', 'p', 1, 't1', 0)
            assert got is not None
            one.unreserve(f'new{number}', core.Millis(now))
        costs.append((time.perf_counter() - begin) / rounds * 1e6)
    return statistics.median(costs)


def slope(sizes: tuple[int, ...], costs: list[float]) -> float:
    """Return the exponent of a least-squares fit of cost to size."""
    xs = [math.log(size) for size in sizes]
    ys = [math.log(cost) for cost in costs]
    return statistics.linear_regression(xs, ys).slope


def urgent_start_ms() -> float:
    """Return the p99 from the wish to start to the start, at the peak rate.

    Real time of the decisions is added to a queue of one server, at the
    design's peak rate with regular arrivals.
    """
    one = build(WORKERS[-1])
    gap_ms = 1000 / STARTS_PER_S
    free_at = 0.0
    waits = []
    for number in range(STARTS_PER_S * START_SECONDS):
        at = number * gap_ms
        begin = time.perf_counter()
        got = one.reserve(f'u{number}', 'p', 1, 't1', 9)
        assert got is not None
        spent = (time.perf_counter() - begin) * 1000
        free_at = max(free_at, at) + spent
        waits.append(free_at - at)
    return sorted(waits)[int(0.99 * len(waits))]


def entries() -> list[Entry]:
    """Return cost by size, slopes, rate and the urgent start."""
    by_workers = [request_cost(build(size)) for size in WORKERS]
    plain = [request_cost(build_naive(n), NAIVE_ROUNDS) for n in WORKERS]
    by_tasks = [task_cost(build(WORKERS[-1]), size) for size in TASKS]
    found = []
    for size, cost, base in zip(WORKERS, by_workers, plain, strict=True):
        found.append(_entry(f'request at {size} workers', 'us', cost, base))
    for size, cost in zip(TASKS, by_tasks, strict=True):
        found.append(_entry(f'task at {size} tasks', 'us', cost))
    found.append(
        _entry(
            'decisions per second',
            '1/s',
            2e6 / by_workers[-1],
            2e6 / plain[-1],
        )
    )
    for name, fitted, base_slope in (
        ('workers', slope(WORKERS, by_workers), slope(WORKERS, plain)),
        ('tasks', slope(TASKS, by_tasks), None),
    ):
        found.append(
            _entry(f'slope by {name}', '', fitted, base_slope, MAX_SLOPE)
        )
    found.append(
        _entry(
            f'urgent start at {STARTS_PER_S} starts/s, decisions only, p99',
            'ms',
            urgent_start_ms(),
            None,
            URGENT_BOUND_MS,
        )
    )
    return found


def _entry(
    name: str,
    unit: str,
    value: float,
    baseline: float | None = None,
    target: float | None = None,
) -> Entry:
    """Return an entry; an upper target."""
    return _results.Result(
        name=f'policy/cost/{name}',
        unit=unit,
        value=value,
        baseline=baseline,
        target=target,
        all_met=None if target is None else value <= target,
    )
