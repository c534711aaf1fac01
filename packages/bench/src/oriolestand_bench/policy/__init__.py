"""Measure the decisions under load and faults, in virtual time.

The daemon's own decision code runs against a naive baseline on the same
seeded arrivals. There is no model of a network.
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
    """Run everything; return one entry for each measure.

    Values are medians over the seeds; a target is met when every seed meets
    it.
    """
    entries = run_scenarios(SCENARIOS, _runner.SEEDS)
    entries += _entries.other_setting()
    return entries + _scale.entries()


def run_scenarios(
    names: Iterable[str], seeds: tuple[int, ...]
) -> list[_results.Result]:
    """Run some scenarios for both deployments."""
    return [
        entry
        for name in names
        for deployment in _runner.DEPLOYMENTS
        for entry in _entries.scenario_entries(
            SCENARIOS[name], deployment, seeds
        )
    ]


def run_ablation(
    off: str, names: Iterable[str], seeds: tuple[int, ...]
) -> list[_results.Result]:
    """Run some scenarios with one part of the policy off."""
    return [
        entry
        for name in names
        for deployment in _runner.DEPLOYMENTS
        for entry in _entries.scenario_entries(
            SCENARIOS[name], deployment, seeds, f' without {off}', off
        )
    ]
