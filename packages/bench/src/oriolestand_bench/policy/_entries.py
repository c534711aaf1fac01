"""Run scenarios and turn their records into benchmark results."""

from collections.abc import Iterator
import statistics

from oriolestand_bench import _results
from oriolestand_bench.policy import _measures
from oriolestand_bench.policy import _plots
from oriolestand_bench.policy import _runner
from oriolestand_bench.policy import _scenarios

Result = _results.Result


def scenario_results(
    scenario: type[_scenarios.Scenario],
    deployment: _runner.Deployment,
    seeds: tuple[int, ...],
    label: str = '',
    off: str = '',
) -> list[Result]:
    """Run a scenario with all seeds for the policy and the baseline.

    :param label: suffix of the deployment in the names of the results.
    :param off: the part of the policy that is disabled.
    """
    policy_runs: list[_measures.Run] = []
    baseline_runs: list[_measures.Run] = []
    make_dispatcher = _runner.make_policy(deployment.shares, off)
    for seed in seeds:
        workers = deployment.workers
        policy_record = _runner.run_once(
            scenario, workers, seed, make_dispatcher
        )
        baseline_record = _runner.run_once(
            scenario, workers, seed, _runner.make_naive
        )
        without_batch = policy_record
        if _measures.needs_run_without_batch(scenario.name):
            without_batch = _runner.run_once(
                scenario, workers, seed, make_dispatcher, False
            )
        for record, target_runs in (
            (policy_record, policy_runs),
            (baseline_record, baseline_runs),
        ):
            target_runs.append(
                _measures.Run(
                    record=record,
                    without_batch=without_batch,
                    workers=workers,
                    service_share=deployment.shares.service_share,
                    flooding=scenario.flooding,
                )
            )
    name = f'policy/{deployment.name}{label}/{scenario.name}'
    _plots.draw(name, policy_runs[0].record, baseline_runs[0].record)
    return [
        _make_result(
            f'{name}/{measure.name}', measure, policy_runs, baseline_runs
        )
        for measure in _measures.measures_of(scenario.name)
    ]


def _make_result(
    name: str,
    measure: _measures.Measure,
    policy_runs: list[_measures.Run],
    baseline_runs: list[_measures.Run],
) -> Result:
    """Return the median over the seeds.

    The target is met if every seed meets it.
    """
    values = [measure.compute(run) for run in policy_runs]
    baseline_values = [measure.compute(run) for run in baseline_runs]
    baseline = statistics.median(baseline_values)
    value = statistics.median(values)
    target = measure.target
    met = None
    if measure.max_baseline_ratio is not None:
        target = measure.max_baseline_ratio * baseline
        met = all(
            value <= measure.max_baseline_ratio * baseline_value
            for value, baseline_value in zip(
                values, baseline_values, strict=True
            )
        )
    elif target is not None and measure.is_upper_bound:
        met = max(values) <= target
    elif target is not None:
        met = min(values) >= target
    return _results.Result(
        name=name,
        unit=measure.unit,
        value=value,
        baseline=baseline,
        target=target,
        is_at_least=not measure.is_upper_bound,
        low=min(values),
        high=max(values),
        all_met=met,
    )


def swapped_weight_results() -> Iterator[Result]:
    """Run calm and the floods with the weights of the other deployment."""
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
            yield from scenario_results(
                scenario, swapped, _runner.SEEDS, f' weighted as {other.name}'
            )
