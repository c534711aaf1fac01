"""Test the measurement of a start."""

import os
import pathlib
import time

from oriolestand_bench import _process
from oriolestand_bench import _trees
from oriolestand_bench import start


def _figures(value):
    return dict.fromkeys(start.UNITS, value)


def test_results_compare_the_medians():
    # Guards against one slow start that decides the result.
    found = {
        'this': [_figures(value) for value in (50.0, 54.0, 90.0)],
        'base': [_figures(value) for value in (100.0, 900.0, 90.0)],
    }
    results = {res.name: res for res in start._to_results(found)}
    assert results['start/start'].ratio == 0.54
    assert results['start/start'].met
    assert results['start/peak_memory'].met
    assert results['start/post'].met is None


def test_results_without_a_base_have_no_target():
    # Guards against a bound on figures of another machine.
    results = list(start._to_results({'this': [_figures(5.0)]}))
    assert [res.name for res in results] == [
        f'start/{name}' for name in start.UNITS
    ]
    assert all(res.met is None and res.ratio is None for res in results)


def test_deployed_tree_has_no_bytecode_beside_the_sources(tmp_path):
    # Guards against a measured start that finds bytecode which the users'
    # platform does not have.
    checkout, tree = tmp_path / 'checkout', tmp_path / 'tree'
    for folder in _trees.FOLDERS:
        (checkout / folder / '__pycache__').mkdir(parents=True)
        (checkout / folder / 'module.py').touch()
    (checkout / 'platform/main.py').touch()
    system = checkout / 'deploy/system.toml'
    system.write_text('build = "mkdir -p target && touch target/built"\n')
    _trees.deploy(checkout, tree)
    assert (tree / 'target/built').exists()
    assert (tree / 'platform/main.py').exists()
    assert (tree / 'packages/core/module.py').exists()
    assert not list(pathlib.Path(tree).rglob('__pycache__'))


def test_clock_of_a_process_is_that_of_its_processor_time():
    # Guards against an encoding of the process that reads another clock.
    own = _process.cpu_ns(os.getpid())
    assert 0 <= time.process_time_ns() - own < 1_000_000_000
