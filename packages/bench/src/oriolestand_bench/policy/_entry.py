"""Entry instances and requests of the simulation."""

import dataclasses
from typing import Any

from oriolestand_bench.policy import _batch
from oriolestand_bench.policy import _workload
import oriolestand_core as core
from oriolestand_policy import dispatching


class SimulatedError(core.OriolestandError):
    """Simulated failure of a request at an upstream."""

    code = 'upstream_failed'


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request in progress; ``started`` is the start of the last attempt."""

    arrival: _workload.Arrival
    attempts: int = 0
    started: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """A simulated entry instance.

    ``limits`` holds its granted slots by pool and worker.
    """

    name: str
    domain: int
    dispatcher: Any
    controller: _batch.Controller
    limits: dict[str, dict[str, int]]
    is_up: bool = True


def advertised_slots(dispatcher: Any, pool: str) -> int:
    """Return the free slots that an entry instance advertises.

    As in the daemon, there are none while requests are queued.
    """
    if isinstance(dispatcher, dispatching.Dispatcher):
        state = dispatcher.pools[pool]
        return 0 if len(state.queue) else state.free
    return 0 if dispatcher.queued(pool) else int(dispatcher.free(pool))


def distance(domain: int, other_domain: int) -> int:
    """Return the distance of two failure domains.

    It is 0 for the same domain, 1 within a region and 2 across regions.
    """
    if domain == other_domain:
        return 0
    return 1 if {domain, other_domain} == {0, 1} else 2
