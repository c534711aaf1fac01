"""Inject cancellations and worker failures into a simulation."""

import functools

from oriolestand_bench.policy import _entry
from oriolestand_bench.policy import _simulation
import oriolestand_core as core
from oriolestand_policy import dispatching

ABORT_GRACE_MS = 200
MAY_HAVE_RUN = core.Verdict.MAY_HAVE_RUN


def cancel_some(sim: _simulation.Simulation, fraction: float) -> None:
    """Disconnect the callers of a fraction of the running requests.

    The work continues at the worker, so the slot is held until the
    deadline.
    """
    now = sim.clock.now()
    for ticket_id in list(sim.running):
        if sim.rng.random() >= fraction or '@' in ticket_id:
            continue
        entry, worker = sim.running.pop(ticket_id)
        arrival = sim.requests[ticket_id].arrival
        held = arrival.at + arrival.stream.timeout_ms + ABORT_GRACE_MS
        outcome = dispatching.Outcome(
            verdict=MAY_HAVE_RUN,
            error=_entry.SimulatedError(
                'caller disconnected', verdict=MAY_HAVE_RUN
            ),
            answered=True,
            slot_held_until=core.Millis(held),
        )
        sim.clock.call_later(held - now, functools.partial(worker.release, 1))
        sim.apply(
            entry, entry.dispatcher.attempt_finished(ticket_id, outcome, now)
        )


def set_down(
    sim: _simulation.Simulation, addresses: list[str], is_down: bool
) -> None:
    """Take workers down with all that they run, or bring them back."""
    lost = set(addresses)
    for address in addresses:
        sim.workers[address].is_down = is_down
    if not is_down:
        return
    for ticket_id, (_, worker) in list(sim.running.items()):
        if worker.address in lost:
            outcome = dispatching.Outcome(
                verdict=MAY_HAVE_RUN,
                error=_entry.SimulatedError(
                    'worker is down', verdict=MAY_HAVE_RUN
                ),
                upstream_failed=True,
            )
            sim.finish_attempt(ticket_id, outcome)
    for entry in sim.entries:
        for key, task in list(entry.controller.running.items()):
            if task.worker is not None and task.worker.address in lost:
                entry.controller.stop(key, requeue=True, failed=True)
