"""Run benchmark groups and write ``out/bench.json``."""

import pathlib
import sys

import click

from oriolestand_bench import _groups
from oriolestand_bench import _results

OUTPUT = pathlib.Path('out/bench.json')


@click.command()
@click.argument('groups', nargs=-1, type=click.Choice(list(_groups.GROUPS)))
@click.option(
    '--output',
    default=OUTPUT,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='File for the results, a JSON list.',
)
def main(groups: tuple[str, ...], output: pathlib.Path) -> None:
    """Run the given groups, or all; exit with 1 if a target is missed."""
    results: list[_results.Result] = []
    for name in groups or _groups.GROUPS:
        found = _groups.GROUPS[name]()
        click.echo(_results.to_table(found))
        results += found
    _results.write(results, output)
    sys.exit(1 if any(res.met is False for res in results) else 0)


if __name__ == '__main__':
    main()
