"""Mitigate interference by pausing or moving filling tasks."""

from collections.abc import Iterator
import dataclasses

from oriolestand_policy.scheduling import _capacity
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _pressure

FULL_PACE = _capacity.FULL_PACE
PAUSED_PACE = 0

MIN_PACE = 10
"""Lowest pace in percent at which an overdue filling task is started."""

SLOWED_HEADROOM_SHARE = 0.8
"""Share of a service's headroom that a slowed task may use. It runs for longer
than the forecast that the headroom follows from."""

YIELD_DELAY_MS = 500
"""How long a tail latency may exceed its target before neighbours yield."""

YIELD_ALL_DELAY_MS = 1_200
"""How long a tail latency may exceed its target before all neighbours yield.
Users are affected after 4 s."""

MIN_ADDED_LOAD = 0.025
"""Minimum load added to a slowed service task for which a neighbour yields.
"""

MITIGATION_INTERVAL_MS = 700
"""Minimum time between changes on a worker. Reports average over time, so
they show the effect of a change only after a delay."""

FORECAST_AHEAD_MS = 700
"""How far ahead loads are forecast; a change takes about as long to show."""

MAX_SHORTFALL = 0.02
"""Tolerated excess of the forecast load over its limit, as limits include a
margin."""

MAX_YIELDS_PER_INTERVAL = 2
"""Maximum number of neighbours that yield in one interval."""


MIN_FULL_SHARE = 0.9
"""Share of its processors that a run at full pace uses at least."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mitigation:
    """A change to a filling task: move it, or set its pace in percent."""

    run: _fleet.Run
    pace: int
    is_move: bool = False


def pace_within(headroom: float, added: float) -> int:
    """Return the pace of a task that would add too much load at full pace.

    >>> pace_within(0.2, 0.8), pace_within(-0.1, 0.8)
    (20, 0)
    """
    if headroom <= 0:
        return PAUSED_PACE
    return int(FULL_PACE * SLOWED_HEADROOM_SHARE * headroom / added)


def apparent_pace(measured: int, cpu: int) -> int:
    """Return the pace in percent at which a run seems to work.

    >>> apparent_pace(0, 4_000), apparent_pace(900, 4_000)
    (0, 22)
    >>> apparent_pace(3_900, 4_000)
    100
    """
    if not measured:
        return PAUSED_PACE
    if measured >= MIN_FULL_SHARE * cpu:
        return FULL_PACE
    return max(1, FULL_PACE * measured // cpu)


def track_tail_latency(worker: _fleet.Worker, now_ms: int) -> None:
    """Record since when tail latencies have exceeded their targets."""
    for run in worker.services.values():
        if not run.spec.target_ms:
            continue
        if run.measured <= run.spec.target_ms:
            run.over_since_ms = -1
        elif run.over_since_ms < 0:
            run.over_since_ms = now_ms


def plan_mitigations(
    worker: _fleet.Worker, pressure: _pressure.InterferenceModel, now_ms: int
) -> Iterator[Mitigation]:
    """Yield the changes to the filling tasks of a worker.

    When a tail latency exceeds its target, or is forecast to, the filling
    tasks that add the most load to the service task yield. A task with
    checkpoints is moved to another worker; any other is paused, and resumed
    when the forecast leaves enough headroom.
    """
    filling = [
        run
        for run in worker.filling.values()
        if run.phase is _fleet.RunPhase.RUNNING and run.stop_sent_ms < 0
    ]
    if not filling:
        return
    over_target = [
        run
        for run in worker.services.values()
        if run.over_since_ms >= 0
        and now_ms - run.over_since_ms >= YIELD_DELAY_MS
    ]
    headrooms = pressure.headrooms(worker, now_ms, FORECAST_AHEAD_MS)
    shortfalls = {
        image: pressure.added_load(worker, image) - headroom
        for image, headroom in headrooms.items()
    }
    if (
        not over_target
        and max(shortfalls.values(), default=-1.0) <= MAX_SHORTFALL
    ):
        yield from _plan_resumptions(
            worker, pressure, filling, shortfalls, now_ms
        )
        return
    if now_ms - worker.mitigated_ms < MITIGATION_INTERVAL_MS:
        return
    if over_target:
        worst = max(
            over_target, key=lambda run: run.measured / run.spec.target_ms
        )
        image = worst.spec.image
    else:
        image = max(shortfalls, key=lambda name: shortfalls[name])

    def added(run: _fleet.Run) -> float:
        weight = pressure.weight(image, run.spec.image)
        return weight * _pressure.planned_share(run, worker)

    working = sorted(
        (run for run in filling if run.pace > PAUSED_PACE),
        key=added,
        reverse=True,
    )
    yielding = [r for r in working if added(r) >= MIN_ADDED_LOAD][
        :MAX_YIELDS_PER_INTERVAL
    ]
    if any(
        now_ms - run.over_since_ms >= YIELD_ALL_DELAY_MS for run in over_target
    ):
        yielding = working
    for run in yielding:
        worker.mitigated_ms = now_ms
        is_move = run.spec.has_checkpoints
        yield Mitigation(run=run, pace=PAUSED_PACE, is_move=is_move)


def _plan_resumptions(
    worker: _fleet.Worker,
    pressure: _pressure.InterferenceModel,
    filling: list[_fleet.Run],
    shortfalls: dict[str, float],
    now_ms: int,
) -> Iterator[Mitigation]:
    """Yield the resumptions of paused tasks for which there is headroom."""
    for run in filling:
        if run.pace >= FULL_PACE or not _is_pace_settled(run, now_ms):
            continue
        share = worker.capacity.share(run.spec.cpu)
        share *= (FULL_PACE - run.pace) / FULL_PACE
        after = {
            image: shortfall + share * pressure.weight(image, run.spec.image)
            for image, shortfall in shortfalls.items()
        }
        if max(after.values(), default=0.0) > 0.0:
            continue
        shortfalls = after
        yield Mitigation(run=run, pace=FULL_PACE)


def _is_pace_settled(run: _fleet.Run, now_ms: int) -> bool:
    """Return whether reports show the effect of the last pace change."""
    return now_ms - run.paced_ms >= MITIGATION_INTERVAL_MS
