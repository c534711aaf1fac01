"""Benchmark results, as JSON and as a table."""

from collections.abc import Sequence
import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """One figure of a benchmark run.

    ``target`` bounds the ratio of the value to ``baseline``, or the value
    itself if there is no baseline. It is a lower bound if ``is_at_least``
    is set. Without a target, the figure is only reported. ``low`` and
    ``high`` give the range when the value is a median of several seeds or
    rounds. ``all_met``, if set, overrides the comparison of the median: it
    is whether every seed met the target.
    """

    name: str
    unit: str
    value: float
    baseline: float | None = None
    target: float | None = None
    is_at_least: bool = False
    low: float | None = None
    high: float | None = None
    all_met: bool | None = None

    @property
    def ratio(self) -> float | None:
        """Return the value divided by the baseline, if there is one."""
        if not self.baseline:
            return None
        return self.value / self.baseline

    @property
    def met(self) -> bool | None:
        """Return whether the target is met, or None without a target."""
        if self.all_met is not None or self.target is None:
            return self.all_met
        figure = self.value if self.ratio is None else self.ratio
        if self.is_at_least:
            return figure >= self.target
        return figure <= self.target


def to_json(results: Sequence[Result]) -> str:
    """Return the results as a JSON list."""
    rows = [
        {
            'name': res.name,
            'unit': res.unit,
            'value': round(res.value, 4),
            'baseline': _round(res.baseline),
            'ratio': _round(res.ratio),
            'target': res.target,
            'met': res.met,
            'min': _round(res.low),
            'max': _round(res.high),
        }
        for res in results
    ]
    return json.dumps(rows, indent=2) + '\n'


def _round(value: float | None) -> float | None:
    """Round to four decimal places."""
    return None if value is None else round(value, 4)


def write(results: Sequence[Result], path: pathlib.Path) -> None:
    """Write the results to a JSON file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(to_json(results), encoding='utf-8')


def to_table(results: Sequence[Result]) -> str:
    """Return the results as a text table.

    >>> res = Result(
    ...     name='path/rate', unit='1/s', value=70.0, baseline=100.0,
    ...     target=0.7, is_at_least=True,
    ... )
    >>> print(to_table([res]))  # doctest: +ELLIPSIS
    path/rate  ...  70 1/s       baseline 100.00  ratio 0.70  >= 0.7  met
    """
    return '\n'.join(_line(res) for res in results)


def _line(res: Result) -> str:
    """Return the table line of one result."""
    line = f'{res.name:44} {res.value:10.4g} {res.unit:8}'
    if res.baseline is not None and res.ratio is not None:
        line += f'  baseline {res.baseline:.2f}  ratio {res.ratio:.2f}'
    if res.target is not None:
        sign = '>=' if res.is_at_least else '<='
        line += f'  {sign} {res.target}  {"met" if res.met else "MISSED"}'
    return line.rstrip()
