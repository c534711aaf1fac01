"""Run a scenario with a given policy, seed and number of workers."""

from collections.abc import Callable
import dataclasses
import functools
import random
from typing import Any

from oriolestand_bench.policy import _naive
from oriolestand_bench.policy import _record
from oriolestand_bench.policy import _scenarios
from oriolestand_bench.policy import _simulation
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import health
from oriolestand_policy import interference
from oriolestand_policy import placement
from oriolestand_policy import retries

SEEDS = (1, 2, 3)

ABLATIONS = (
    'shares',
    'health',
    'retry_budget',
    'interference',
    'two_choices',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The size and share weights of one user's installation."""

    name: str
    workers: int
    shares: admission.ShareConfig


FRITID = Deployment(name='fritid', workers=24, shares=admission.LATENCY_SHARES)
KERALA = Deployment(
    name='kerala', workers=33, shares=admission.THROUGHPUT_SHARES
)
DEPLOYMENTS = (FRITID, KERALA)


class LeastLoadedPlacement(placement.TwoChoicesPlacement):
    """Selects the upstream with the fewest slots in use, for an ablation."""

    def choose(
        self, free: placement.Upstreams, avoid: str = ''
    ) -> placement.UpstreamState | None:
        """Return the least loaded upstream, or None if none is free."""
        candidates = [u for u in free.values() if u.address != avoid]
        return min(
            candidates, key=lambda u: (u.in_use, u.address), default=None
        )


def make_policy(shares: admission.ShareConfig, off: str = '') -> Callable:
    """Return a factory of the daemon's dispatcher.

    :param off: the part of the policy that is disabled, one of ``ABLATIONS``.
    """

    def make_dispatcher(seed: str) -> dispatching.Dispatcher:
        rng = random.Random(f'{seed}/choice')
        choice = placement.TwoChoicesPlacement(rng)
        return dispatching.Dispatcher(
            LeastLoadedPlacement(rng) if off == 'two_choices' else choice,
            admission.FifoQueue
            if off == 'shares'
            else functools.partial(admission.FairQueue, cfg=shares),
            health_policy=health.NeverEject() if off == 'health' else None,
            make_retries=retries.FixedRetries
            if off == 'retry_budget'
            else retries.BudgetedRetries,
            interference_policy=interference.NoInterference()
            if off == 'interference'
            else None,
        )

    return make_dispatcher


def make_naive(seed: str) -> _naive.NaiveDispatcher:
    """Return the dispatcher of the baseline."""
    return _naive.NaiveDispatcher(random.Random(f'{seed}/choice'))


def run_once(
    scenario: type[_scenarios.Scenario],
    workers: int,
    seed: int,
    make_dispatcher: Callable[[str], Any],
    has_batch: bool = True,
) -> _record.Record:
    """Run one scenario; equal arguments give equal records.

    :param make_dispatcher: returns a dispatcher for a seed.
    :param has_batch: whether batch work runs besides the services.
    """
    instance = scenario(has_batch)
    sim = _simulation.Simulation(
        workers,
        instance.pools,
        instance.event_ms,
        instance.task_ms,
        f's{seed}',
        make_dispatcher,
    )
    for stream in instance.streams():
        sim.add_stream(stream)
    for entry in sim.entries:
        entry.controller.is_on = has_batch
    instance.schedule_faults(sim)
    return sim.run()
