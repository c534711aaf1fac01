"""Draw goodput against offered load."""

import dataclasses
import json
import pathlib

import click

from oriolestand_bench.goodput import _case
from oriolestand_bench.goodput import _figures
from oriolestand_bench.goodput import _plots
from oriolestand_bench.goodput import _simulation
from oriolestand_bench.goodput import _tables

WORKERS = (20,)
LOADS = (0.5, 0.75, 1.0, 1.5, 2.5, 4.0)
SETTINGS = tuple(setting.value for setting in _case.Setting)
OUT = pathlib.Path('out/goodput')


@click.command()
@click.option('--workers', multiple=True, type=int, default=WORKERS)
@click.option('--load', 'loads', multiple=True, type=float, default=LOADS)
@click.option(
    '--setting',
    'settings',
    multiple=True,
    type=click.Choice(SETTINGS),
    default=SETTINGS,
)
@click.option('--seed', default=1, help='Seed of the random numbers.')
@click.option(
    '--load-seconds',
    default=_case.LOAD_MS // 1_000,
    help='Simulated time for which the load lasts.',
)
@click.option(
    '--calm-images',
    is_flag=True,
    help='Let no image slow service tasks strongly.',
)
@click.option('--spent', is_flag=True, help='Print what starts are used for.')
@click.option('--idle', is_flag=True, help='Print the use of processors.')
@click.option(
    '--refuse',
    is_flag=True,
    help='Let full pools refuse filling jobs, and print the room beside it.',
)
@click.option(
    '--output',
    default=OUT,
    type=click.Path(path_type=pathlib.Path),
    help='Path of the results, without the suffixes .json and .png.',
)
def main(
    workers: tuple[int, ...],
    loads: tuple[float, ...],
    settings: tuple[str, ...],
    seed: int,
    load_seconds: int,
    calm_images: bool,
    spent: bool,
    idle: bool,
    refuse: bool,
    output: pathlib.Path,
) -> None:
    """Print goodput against offered load; write the figures and a plot."""
    found: list[_figures.Figures] = []
    click.echo(_tables.header(_tables.HEADER))
    for count in workers:
        for setting in settings:
            for load in loads:
                case = _case.Case(
                    workers=count,
                    load=load,
                    setting=_case.Setting(setting),
                    seed=seed,
                    load_ms=1_000 * load_seconds,
                    are_images_calm=calm_images,
                )
                simulation = _simulation.GoodputSimulation(
                    case,
                    are_waits_explained=spent,
                    is_cpu_accounted=idle,
                    are_jobs_refused=refuse,
                )
                records = simulation.play()
                found.append(_figures.figures_of(simulation, records))
                click.echo(_tables.line(found[-1]))
                if spent:
                    click.echo(_tables.spent(records))
                if idle:
                    click.echo(_tables.cpu_uses(simulation.cpu_record))
                if refuse:
                    click.echo(_tables.refused(simulation.refusals, found[-1]))
    output.parent.mkdir(parents=True, exist_ok=True)
    rows = [dataclasses.asdict(figures) for figures in found]
    output.with_suffix('.json').write_text(
        json.dumps(rows, indent=2) + '\n', encoding='utf-8'
    )
    _plots.draw(found, output.with_suffix('.png'))


if __name__ == '__main__':
    main()
