"""Turn runs into entries of the report."""

from collections.abc import Iterator
import statistics

from oriolestand_bench import _results
from oriolestand_bench.policy import _measures
from oriolestand_bench.policy import _plots
from oriolestand_bench.policy import _runner
from oriolestand_bench.policy import _scenarios

Entry = _results.Result


def scenario_entries(
    scenario: type[_scenarios.Scenario],
    deployment: _runner.Deployment,
    seeds: tuple[int, ...],
    label: str = '',
    off: str = '',
) -> list[Entry]:
    """Run a scenario with all seeds for the policy and the baseline.

    :param label: added to the names, for another setting.
    :param off: the part of the policy that is off.
    """
    runs: list[_measures.Run] = []
    plain: list[_measures.Run] = []
    make = _runner.make_policy(deployment.shares, off)
    for seed in seeds:
        workers = deployment.workers
        own = _runner.run_once(scenario, workers, seed, make)
        base = _runner.run_once(scenario, workers, seed, _runner.make_naive)
        alone = own
        if _measures.needs_alone(scenario.name):
            alone = _runner.run_once(scenario, workers, seed, make, False)
        for record, kept in ((own, runs), (base, plain)):
            kept.append(
                _measures.Run(
                    record=record,
                    alone=alone,
                    workers=workers,
                    service_share=deployment.shares.service_share,
                    flooding=scenario.flooding,
                )
            )
    name = f'policy/{deployment.name}{label}/{scenario.name}'
    _plots.draw(name, runs[0].record, plain[0].record)
    return [
        _entry(f'{name}/{measure.name}', measure, runs, plain)
        for measure in _measures.measures_of(scenario.name)
    ]


def _entry(
    name: str,
    measure: _measures.Measure,
    runs: list[_measures.Run],
    plain: list[_measures.Run],
) -> Entry:
    """Return the median over the seeds; every seed must meet the target."""
    values = [measure.compute(run) for run in runs]
    bases = [measure.compute(run) for run in plain]
    base = statistics.median(bases)
    value = statistics.median(values)
    target = measure.target
    met = None
    if measure.of_baseline is not None:
        target = measure.of_baseline * base
        met = all(
            own <= measure.of_baseline * other
            for own, other in zip(values, bases, strict=True)
        )
    elif target is not None and measure.is_most:
        met = max(values) <= target
    elif target is not None:
        met = min(values) >= target
    return _results.Result(
        name=name,
        unit=measure.unit,
        value=value,
        baseline=base,
        target=target,
        is_at_least=not measure.is_most,
        low=min(values),
        high=max(values),
        all_met=met,
    )


def other_setting() -> Iterator[Entry]:
    """Run calm and the floods with the other user's weights."""
    first, second = _runner.DEPLOYMENTS
    for deployment, other in ((first, second), (second, first)):
        swapped = _runner.Deployment(
            name=deployment.name,
            workers=deployment.workers,
            shares=other.shares,
        )
        for scenario in (
            _scenarios.Calm,
            _scenarios.BatchFlood,
            _scenarios.ServiceFlood,
        ):
            yield from scenario_entries(
                scenario, swapped, _runner.SEEDS, f' weighted as {other.name}'
            )
