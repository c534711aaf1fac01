"""Command line of the policy benchmark."""

import pathlib

import click

from oriolestand_bench import _results
from oriolestand_bench import policy
from oriolestand_bench.policy import _runner
from oriolestand_bench.policy import _scale


@click.command()
@click.option(
    '--scenario',
    multiple=True,
    help='Run only this scenario; may be repeated.',
)
@click.option(
    '--seed',
    type=int,
    multiple=True,
    help='Run only this seed; may be repeated.',
)
@click.option(
    '--off',
    type=click.Choice(_runner.ABLATIONS),
    help='Disable one part of the policy.',
)
@click.option(
    '--cost', is_flag=True, help='Measure only the cost of decisions.'
)
@click.option(
    '--out',
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='Write the results to this JSON file.',
)
def main(
    scenario: tuple[str, ...],
    seed: tuple[int, ...],
    off: str | None,
    cost: bool,
    out: pathlib.Path | None,
) -> None:
    """Run the policy benchmark and print a table of the results."""
    names = scenario or tuple(policy.SCENARIOS)
    seeds = seed or _runner.SEEDS
    if cost:
        results = _scale.measure_costs()
    elif off:
        results = policy.run_ablation(off, names, seeds)
    elif scenario or seed:
        results = policy.run_scenarios(names, seeds)
    else:
        results = policy.run()
    click.echo(_results.to_table(results))
    if out is not None:
        _results.write(results, out)


if __name__ == '__main__':
    main()
