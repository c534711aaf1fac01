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

    The one that adds the most load to a service task in need yields: one
    with checkpoints moves to another worker, another stops working for a
    while. When no service task is in need all work at full speed.
    """
    filling = [
        run
        for run in worker.runs.values()
        if run.spec.is_filling
        and run.phase is _fleet.RunPhase.RUNNING
        and run.stop_sent_ms < 0
    ]
    needy = [
        run
        for run in worker.runs.values()
        if run.over_since_ms >= 0 and now_ms - run.over_since_ms >= PATIENCE_MS
    ]
    if not needy:
        for run in filling:
            if run.pace < FULL_PACE and _is_due(run, now_ms):
                yield Relief(run=run, pace=FULL_PACE)
        return
    if now_ms - worker.relieved_ms < INTERVAL_MS:
        return
    worst = max(needy, key=lambda run: run.measured / run.spec.target_ms)
    image = worst.spec.image

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


def _is_due(run: _fleet.Run, now_ms: int) -> bool:
    """Return whether the last change of a pace has shown its effect."""
    return now_ms - run.paced_ms >= INTERVAL_MS
