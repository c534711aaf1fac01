"""Replace an entry instance by its next incarnation."""

from oriolestand_bench.policy import _entry
from oriolestand_bench.policy import _simulation

RETRY_MS = 100


def begin(entry: _entry.Entry) -> None:
    """Give an entry instance no new requests and tasks."""
    entry.is_up = False
    entry.dispatcher.is_draining = True
    entry.controller.is_up = False


def end(sim: _simulation.Simulation, entry: _entry.Entry) -> None:
    """Start the next incarnation once the last request has ended."""
    if sim.is_busy(entry):
        sim.clock.call_later(RETRY_MS, lambda: end(sim, entry))
        return
    sim.boot(entry)
    controller = entry.controller
    for key, task in controller.running.items():
        assert task.worker is not None
        adopted = entry.dispatcher.adopt_reservation(
            key, task.worker.address, task.slots, task.team, 0, task.job
        )
        assert adopted is not None
    controller.is_up = True
    entry.is_up = True
