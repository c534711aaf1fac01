"""Plot goodput and the share of jobs in time against offered load."""

from collections.abc import Sequence
import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from oriolestand_bench.goodput import _figures  # noqa: E402


def draw(found: Sequence[_figures.Figures], path: pathlib.Path) -> None:
    """Plot the figures; one row for each size of the fleet."""
    sizes = sorted({figures.workers for figures in found})
    figure, rows = pyplot.subplots(
        len(sizes), 2, squeeze=False, figsize=(11, 4 * len(sizes))
    )
    for (left, right), workers in zip(rows, sizes, strict=True):
        runs = [one for one in found if one.workers == workers]
        settings = list(dict.fromkeys(one.setting for one in runs))
        for setting in settings:
            curve = [one for one in runs if one.setting == setting]
            loads = [one.load for one in curve]
            left.plot(
                loads,
                [one.goodput / one.room for one in curve],
                marker='o',
                label=setting,
            )
            right.plot(
                range(1, _figures.DECILES + 1),
                curve[-1].deciles,
                marker='o',
                label=f'{setting}, load {loads[-1]:g}',
            )
        curve = [one for one in runs if one.setting == settings[0]]
        for name, values in (
            ('fluid bound', [one.fluid / one.room for one in curve]),
            ('offline order', [one.offline / one.room for one in curve]),
        ):
            left.plot(
                [one.load for one in curve],
                values,
                linestyle='--',
                label=f'{name}, {settings[0]}',
            )
        left.set_title(f'{workers} workers')
        left.set_xlabel('offered work, multiple of the idle processors')
        left.set_ylabel('goodput, multiple of the idle processors')
        right.set_xlabel('decile of filling jobs by size')
        right.set_ylabel('share in time')
        for axes in (left, right):
            axes.set_ylim(bottom=0)
            axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={'Software': None})
    pyplot.close(figure)
