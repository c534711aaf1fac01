"""Restart an entry instance: drain it, then start a new incarnation."""

from oriolestand_bench.policy import _entry
from oriolestand_bench.policy import _simulation

RETRY_MS = 100


def start_draining(entry: _entry.Entry) -> None:
    """Start to drain an entry instance."""
    entry.is_up = False
    entry.dispatcher.is_draining = True
    entry.controller.is_up = False


def restart_when_idle(
    sim: _simulation.Simulation, entry: _entry.Entry
) -> None:
    """Start the next incarnation once all requests have ended.

    It adopts the running tasks.
    """
    if sim.is_busy(entry):
        sim.clock.call_later(RETRY_MS, lambda: restart_when_idle(sim, entry))
        return
    sim.start_incarnation(entry)
    controller = entry.controller
    for key, task in controller.running.items():
        assert task.worker is not None
        adopted = entry.dispatcher.adopt_reservation(
            key, task.worker.address, task.slots, task.team, 0, task.job
        )
        assert adopted is not None
    controller.is_up = True
    entry.is_up = True
