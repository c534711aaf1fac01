"""Run the policy benchmark alone."""

import json
import pathlib

import click

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
@click.option('--out', default='', help='Write the entries as JSON.')
def main(
    scenario: tuple[str, ...],
    seed: tuple[int, ...],
    off: str | None,
    cost: bool,
    out: str,
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
    for entry in entries:
        spread = ''
        if 'min' in entry:
            spread = f' [{entry["min"]}..{entry["max"]}]'
        target = ''
        if entry['target'] is not None:
            verdict = 'met' if entry['met'] else 'NOT MET'
            target = f' target {entry["target"]:g} {verdict}'
        click.echo(
            f'{entry["name"]}: {entry["value"]}{spread} {entry["unit"]}'
            f' baseline {entry["baseline"]}{target}'
        )
    if out:
        pathlib.Path(out).write_text(json.dumps(entries, indent=1) + '\n')


if __name__ == '__main__':
    main()
