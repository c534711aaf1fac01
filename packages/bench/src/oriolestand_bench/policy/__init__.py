"""Simulate the scheduling policies under load and faults.

The daemon's policy code and a naive baseline run in virtual time on the same
seeded arrivals. Network delays are not simulated.
"""

from collections.abc import Iterable

from oriolestand_bench import _results
from oriolestand_bench.policy import _entries
from oriolestand_bench.policy import _runner
from oriolestand_bench.policy import _scale
from oriolestand_bench.policy import _scenarios

__all__ = ['SCENARIOS', 'run', 'run_ablation', 'run_scenarios']

SCENARIOS = {scenario.name: scenario for scenario in _scenarios.SCENARIOS}


def run() -> list[_results.Result]:
    """Run all scenarios and cost measurements; return the results.

    Values are medians over the seeds. A target is met if every seed meets
    it.
    """
    results = run_scenarios(SCENARIOS, _runner.SEEDS)
    results += _entries.swapped_weight_results()
    return results + _scale.measure_costs()


def run_scenarios(
    names: Iterable[str], seeds: tuple[int, ...]
) -> list[_results.Result]:
    """Run the named scenarios for both deployments."""
    return [
        result
        for name in names
        for deployment in _runner.DEPLOYMENTS
        for result in _entries.scenario_results(
            SCENARIOS[name], deployment, seeds
        )
    ]


def run_ablation(
    off: str, names: Iterable[str], seeds: tuple[int, ...]
) -> list[_results.Result]:
    """Run the named scenarios with one part of the policy disabled."""
    return [
        result
        for name in names
        for deployment in _runner.DEPLOYMENTS
        for result in _entries.scenario_results(
            SCENARIOS[name], deployment, seeds, f' without {off}', off
        )
    ]
