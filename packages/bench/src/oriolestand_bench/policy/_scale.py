"""Measure the cost of a decision by number of workers and tasks."""

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
MAX_EXPONENT = 0.5
"""Maximum exponent of cost by size.

The design page rules out linear cost, an exponent of 1. Half of that allows
for the effect of processor caches.
"""
SETTLE_MS = 20_000
"""Time after which no slots are reserved for services without requests."""
STARTS_PER_S = 2_400
START_SECONDS = 10
URGENT_BOUND_MS = 7_700

Result = _results.Result


def make_dispatcher(workers: int) -> dispatching.Dispatcher:
    """Return a dispatcher with one pool of workers with 16 slots each."""
    dispatcher = dispatching.Dispatcher(
        placement.TwoChoicesPlacement(random.Random(1)), admission.FairQueue
    )
    dispatcher.set_pool('p', 256)
    limits = {f'w{number}': 16 for number in range(workers)}
    dispatcher.set_limits('p', limits, core.Millis(0))
    for now in range(0, SETTLE_MS, 50):
        dispatcher.tick(core.Millis(now))
    # A team whose interference has not been measured may run only one task,
    # so report a usage without slowdown for all teams.
    usage = interference.UsageReport(
        address='w0',
        measured_at=core.Millis(0),
        slowdown=1.0,
        services=10,
        residents={f'k{number}': f't{number}' for number in range(TEAMS)},
    )
    dispatcher.report_usage(usage, core.Millis(SETTLE_MS))
    return dispatcher


def make_naive_dispatcher(workers: int) -> _naive.NaiveDispatcher:
    """Return the baseline dispatcher with the same pool."""
    dispatcher = _naive.NaiveDispatcher(random.Random(1))
    dispatcher.set_pool('p', 256)
    limits = {f'w{number}': 16 for number in range(workers)}
    dispatcher.set_limits('p', limits, core.Millis(0))
    return dispatcher


def make_ticket(number: int) -> admission.Ticket:
    """Return the ticket of a service request."""
    return admission.Ticket(
        id=f'r{number}',
        pool='p',
        team='t',
        kind=tables.Kind.SERVICE,
        priority=0,
        arrived=core.Millis(0),
        deadline=core.Millis(1 << 40),
    )


def measure_request_us(dispatcher: Any, rounds: int = ROUNDS) -> float:
    """Return the time per request in microseconds.

    That is a submit, a finish and a hundredth of a tick.
    """
    tickets = [make_ticket(number) for number in range(rounds)]
    outcome = dispatching.Outcome(verdict=core.Verdict.RAN, latency_ms=5.0)
    now = core.Millis(SETTLE_MS)
    costs = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        for number, item in enumerate(tickets):
            dispatcher.submit(item, now)
            dispatcher.attempt_finished(item.id, outcome, now)
            if number % 100 == 0:
                now = core.Millis(now + 50)
                dispatcher.tick(now)
        costs.append((time.perf_counter() - begin) / rounds * 1e6)
    return statistics.median(costs)


def measure_task_us(
    dispatcher: Any, tasks: int, rounds: int = ROUNDS
) -> float:
    """Return the time to reserve and release a slot, in microseconds.

    :param tasks: number of tasks that hold slots meanwhile.
    """
    now = SETTLE_MS
    for number in range(tasks):
        if number % FILL_STEP == 0:
            # After that time, earlier tasks no longer count as unproven
            # starts.
            now += SETTLE_MS
            dispatcher.tick(core.Millis(now))
        reservation = dispatcher.reserve(
            f'old{number}', 'p', 1, f't{number % TEAMS}', 0
        )
        assert reservation is not None
    now += SETTLE_MS
    dispatcher.tick(core.Millis(now))
    costs = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        for number in range(rounds):
            reservation = dispatcher.reserve(f'new{number}', 'p', 1, 't1', 0)
            assert reservation is not None
            dispatcher.unreserve(f'new{number}', core.Millis(now))
        costs.append((time.perf_counter() - begin) / rounds * 1e6)
    return statistics.median(costs)


def fit_exponent(sizes: tuple[int, ...], costs: list[float]) -> float:
    """Return the exponent of a least-squares power-law fit."""
    xs = [math.log(size) for size in sizes]
    ys = [math.log(cost) for cost in costs]
    return statistics.linear_regression(xs, ys).slope


def measure_urgent_start_ms() -> float:
    """Return the p99 delay of an urgent start at the peak rate, in ms.

    Simulates a queue with a single server, regular arrivals at the peak
    rate of the design, and the measured time of each decision as the
    service time.
    """
    dispatcher = make_dispatcher(WORKERS[-1])
    gap_ms = 1000 / STARTS_PER_S
    free_at = 0.0
    delays = []
    for number in range(STARTS_PER_S * START_SECONDS):
        at = number * gap_ms
        begin = time.perf_counter()
        reservation = dispatcher.reserve(f'u{number}', 'p', 1, 't1', 9)
        assert reservation is not None
        spent = (time.perf_counter() - begin) * 1000
        free_at = max(free_at, at) + spent
        delays.append(free_at - at)
    return sorted(delays)[int(0.99 * len(delays))]


def measure_costs() -> list[Result]:
    """Measure cost by size, its exponents, the rate and urgent starts."""
    worker_costs = [
        measure_request_us(make_dispatcher(size)) for size in WORKERS
    ]
    baseline_costs = [
        measure_request_us(make_naive_dispatcher(n), NAIVE_ROUNDS)
        for n in WORKERS
    ]
    task_costs = [
        measure_task_us(make_dispatcher(WORKERS[-1]), size) for size in TASKS
    ]
    results = []
    for size, cost, base in zip(
        WORKERS, worker_costs, baseline_costs, strict=True
    ):
        results.append(
            _make_result(f'request at {size} workers', 'us', cost, base)
        )
    for size, cost in zip(TASKS, task_costs, strict=True):
        results.append(_make_result(f'task at {size} tasks', 'us', cost))
    results.append(
        _make_result(
            'decisions per second',
            '1/s',
            2e6 / worker_costs[-1],
            2e6 / baseline_costs[-1],
        )
    )
    for name, exponent, baseline_exponent in (
        (
            'workers',
            fit_exponent(WORKERS, worker_costs),
            fit_exponent(WORKERS, baseline_costs),
        ),
        ('tasks', fit_exponent(TASKS, task_costs), None),
    ):
        results.append(
            _make_result(
                f'slope by {name}',
                '',
                exponent,
                baseline_exponent,
                MAX_EXPONENT,
            )
        )
    results.append(
        _make_result(
            f'urgent start at {STARTS_PER_S} starts/s, decisions only, p99',
            'ms',
            measure_urgent_start_ms(),
            None,
            URGENT_BOUND_MS,
        )
    )
    return results


def _make_result(
    name: str,
    unit: str,
    value: float,
    baseline: float | None = None,
    target: float | None = None,
) -> Result:
    """Return a result; ``target`` is an upper bound."""
    return _results.Result(
        name=f'policy/cost/{name}',
        unit=unit,
        value=value,
        baseline=baseline,
        target=target,
        all_met=None if target is None else value <= target,
    )
