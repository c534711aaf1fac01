"""Test the benchmark results."""

import json

import pytest

from oriolestand_bench import _results


@pytest.mark.parametrize(
    ('value', 'baseline', 'is_at_least', 'met'),
    [
        (70.0, 100.0, True, True),
        (69.0, 100.0, True, False),
        (150.0, 100.0, False, False),
        (0.7, None, False, True),
        (0.8, None, False, False),
        (0.0, 100.0, True, False),
    ],
)
def test_target_bounds_the_ratio_or_the_value(
    value: float, baseline: float | None, is_at_least: bool, met: bool
) -> None:
    """A wrong comparison would report a missed target as met."""
    res = _results.Result(
        name='n',
        unit='u',
        value=value,
        baseline=baseline,
        target=0.7,
        is_at_least=is_at_least,
    )
    assert res.met is met
    (row,) = json.loads(_results.to_json([res]))
    assert set(row) == {
        'name',
        'unit',
        'value',
        'baseline',
        'ratio',
        'target',
        'met',
        'min',
        'max',
    }


def test_figure_without_a_target_is_neither_met_nor_missed() -> None:
    """A figure that is only reported must not fail the benchmark."""
    assert _results.Result(name='n', unit='u', value=1.0).met is None
