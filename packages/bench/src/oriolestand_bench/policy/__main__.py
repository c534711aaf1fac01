"""Run the policy benchmark alone."""

import pathlib

import click

from oriolestand_bench import _results
from oriolestand_bench import policy
from oriolestand_bench.policy import _runner
from oriolestand_bench.policy import _scale


@click.command()
@click.option('--scenario', multiple=True, help='Only these scenarios.')
@click.option('--seed', type=int, multiple=True, help='Only these seeds.')
@click.option(
    '--off',
    type=click.Choice(_runner.ABLATIONS),
    help='Run without one part of the policy.',
)
@click.option('--cost', is_flag=True, help='Only the cost of decisions.')
@click.option(
    '--out',
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='Write the results as JSON.',
)
def main(
    scenario: tuple[str, ...],
    seed: tuple[int, ...],
    off: str | None,
    cost: bool,
    out: pathlib.Path | None,
) -> None:
    """Print one line for each measure."""
    names = scenario or tuple(policy.SCENARIOS)
    seeds = seed or _runner.SEEDS
    if cost:
        entries = _scale.entries()
    elif off:
        entries = policy.run_ablation(off, names, seeds)
    elif scenario or seed:
        entries = policy.run_scenarios(names, seeds)
    else:
        entries = policy.run()
    click.echo(_results.to_table(entries))
    if out is not None:
        _results.write(entries, out)


if __name__ == '__main__':
    main()
