"""Test the measurement of memory."""

from oriolestand_bench import memory

DATA_BYTES = 2**21
TOLERANCE_BYTES = 2**18
"""The import system frees some hundred bytes that it allocated earlier."""


def test_memory_of_a_module_excludes_what_it_imports(tmp_path, monkeypatch):
    # Guards against a module that is blamed for another one, also after an
    # optional import in it has failed.
    (tmp_path / 'outer.py').write_text(
        'import large\ntry:\n    import failing\nexcept ImportError:\n'
        '    pass\nimport large_too\n'
    )
    for name in ('large', 'large_too'):
        (tmp_path / f'{name}.py').write_text(
            f"DATA = b'.' * int('{DATA_BYTES}')"
        )
    (tmp_path / 'failing.py').write_text('import missing')
    monkeypatch.setattr(
        memory,
        '_IMPORTS',
        f'import sys\nsys.path.insert(0, {str(tmp_path)!r})\nimport outer\n',
    )
    sizes = memory._sizes_by_package(tmp_path)
    assert sizes['outer'] < TOLERANCE_BYTES
    assert abs(sizes['large'] - DATA_BYTES) < TOLERANCE_BYTES
    assert abs(sizes['large_too'] - DATA_BYTES) < TOLERANCE_BYTES


def test_targets_are_in_the_unit_of_the_figures():
    # Guards against figures in other units than the targets.
    figures = dict.fromkeys(memory.UNITS, 33.0)
    met = {
        res.name: res.met
        for res in memory._to_results({'this': [figures]})
        if res.target is not None
    }
    assert met == {
        'memory/this/rest': False,
        'memory/this/burst_peak': True,
        'memory/this/owner_rest': False,
        'memory/this/owner_burst_peak': True,
    }
