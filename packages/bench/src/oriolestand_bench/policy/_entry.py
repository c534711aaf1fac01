"""Hold an entry instance and a request of the simulation."""

import dataclasses
from typing import Any

from oriolestand_bench.policy import _batch
from oriolestand_bench.policy import _workload
import oriolestand_core as core
from oriolestand_policy import dispatching


class FakeFailure(core.OriolestandError):
    """Represent a failure at an upstream."""

    code = 'upstream_failed'


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """Hold a request from its arrival to its end."""

    arrival: _workload.Arrival
    attempts: int = 0
    started: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """Hold one entry instance."""

    name: str
    domain: int
    dispatcher: Any
    controller: _batch.Controller
    limits: dict[str, dict[str, int]]
    is_up: bool = True


def free(dispatcher: Any, pool: str) -> int:
    """Return what an entry instance advertises, as the daemon does."""
    if isinstance(dispatcher, dispatching.Dispatcher):
        state = dispatcher.pools[pool]
        return 0 if len(state.queue) else state.free
    return 0 if dispatcher.queued(pool) else int(dispatcher.free(pool))


def distance(one: int, other: int) -> int:
    """Return 0 in a failure domain, 1 in a region, 2 across."""
    if one == other:
        return 0
    return 1 if {one, other} == {0, 1} else 2
