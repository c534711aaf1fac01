"""Relieve service tasks of the filling tasks that slow them."""

from collections.abc import Iterator
import dataclasses

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _pressure

FULL_PACE = 100
LOW_PACE = 0

PATIENCE_MS = 500
"""How long a tail may be over its target before a neighbour has to yield."""

EMERGENCY_MS = 1_200
"""How long a tail may be over its target before all neighbours yield; users
are harmed after 4 s."""

HARMFUL_LOAD = 0.025
"""Load that a neighbour must add to a service task in need to be slowed."""

INTERVAL_MS = 700
"""A change shows in the reports only after their averaging time."""

AHEAD_MS = 700
"""How far ahead a tail is forecast; a change takes about as long to show."""

MAX_LACK = 0.02
"""Forecast load over the limit that is borne, as limits have a margin."""

MOST_AT_ONCE = 2
"""Neighbours that yield in one interval."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relief:
    """Say what to do with a filling task: set its pace, or move it."""

    run: _fleet.Run
    pace: int
    is_move: bool = False


def note_tails(worker: _fleet.Worker, now_ms: int) -> None:
    """Note since when the tails of service tasks are over their targets."""
    for run in worker.runs.values():
        if not run.spec.is_service or not run.spec.target_ms:
            continue
        if run.measured <= run.spec.target_ms:
            run.over_since_ms = -1
        elif run.over_since_ms < 0:
            run.over_since_ms = now_ms


def plan_relief(
    worker: _fleet.Worker, pressure: _pressure.Pressure, now_ms: int
) -> Iterator[Relief]:
    """Yield what to do with the filling tasks of a worker.

    When a tail is over its target, or is about to be, the filling task that
    adds the most load to the service task yields: one with checkpoints moves
    to another worker, another stops working for a while. It works again when
    the forecast has room for it.
    """
    filling = [
        run
        for run in worker.runs.values()
        if run.spec.is_filling
        and run.phase is _fleet.RunPhase.RUNNING
        and run.stop_sent_ms < 0
    ]
    if not filling:
        return
    needy = [
        run
        for run in worker.runs.values()
        if run.over_since_ms >= 0 and now_ms - run.over_since_ms >= PATIENCE_MS
    ]
    rooms = pressure.rooms(worker, now_ms, AHEAD_MS)
    lacks = {
        image: pressure.added_beside(worker, image) - room
        for image, room in rooms.items()
    }
    if not needy and max(lacks.values(), default=-1.0) <= MAX_LACK:
        yield from _plan_return(worker, pressure, filling, lacks, now_ms)
        return
    if now_ms - worker.relieved_ms < INTERVAL_MS:
        return
    if needy:
        worst = max(needy, key=lambda run: run.measured / run.spec.target_ms)
        image = worst.spec.image
    else:
        image = max(lacks, key=lambda name: lacks[name])

    def added(run: _fleet.Run) -> float:
        weight = pressure.weight(image, run.spec.image)
        return weight * _pressure.planned_share(run, worker)

    working = sorted(
        (run for run in filling if run.pace > LOW_PACE),
        key=added,
        reverse=True,
    )
    yielding = [r for r in working if added(r) >= HARMFUL_LOAD][:MOST_AT_ONCE]
    if any(now_ms - run.over_since_ms >= EMERGENCY_MS for run in needy):
        yielding = working
    for run in yielding:
        worker.relieved_ms = now_ms
        is_move = run.spec.has_checkpoints
        yield Relief(run=run, pace=LOW_PACE, is_move=is_move)


def _plan_return(
    worker: _fleet.Worker,
    pressure: _pressure.Pressure,
    filling: list[_fleet.Run],
    lacks: dict[str, float],
    now_ms: int,
) -> Iterator[Relief]:
    """Yield the slowed filling tasks for which there is room again."""
    for run in filling:
        if run.pace >= FULL_PACE or not _is_due(run, now_ms):
            continue
        share = run.spec.cpu / max(1, worker.info.cpu)
        share *= (FULL_PACE - run.pace) / FULL_PACE
        after = {
            image: lack + share * pressure.weight(image, run.spec.image)
            for image, lack in lacks.items()
        }
        if max(after.values(), default=0.0) > 0.0:
            continue
        lacks = after
        yield Relief(run=run, pace=FULL_PACE)


def _is_due(run: _fleet.Run, now_ms: int) -> bool:
    """Return whether the last change of a pace has shown its effect."""
    return now_ms - run.paced_ms >= INTERVAL_MS
