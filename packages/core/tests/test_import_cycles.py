"""Tests that the modules of a package import each other without cycles.

Guards against parts that know the module that uses them, so that none can be
read or used without the others.
"""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[3]
SOURCES = (
    *ROOT.glob('packages/*/src'),
    ROOT / 'platform/src',
    ROOT / 'platform/soak/src',
)
PACKAGES = sorted(
    init.parent for src in SOURCES for init in src.glob('*/__init__.py')
)


def modules_of(package):
    """Return the files of the modules of a package by full name."""
    files = {}
    for path in package.rglob('*.py'):
        parts = path.relative_to(package.parent).with_suffix('').parts
        if parts[-1] == '__init__':
            parts = parts[:-1]
        files['.'.join(parts)] = path
    return files


def packages_above(name):
    """Return the names of the packages that contain a module."""
    parts = name.split('.')
    return {'.'.join(parts[:size]) for size in range(1, len(parts))}


def imports_of(importer, source, modules):
    """Return the modules that a source imports, in functions as well.

    An import runs the packages that contain the module first, so they count,
    except those that contain the importer and are being imported already.
    """
    names = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, 'relative imports cannot be followed'
            for alias in node.names:
                full = f'{node.module}.{alias.name}'
                names.add(full if full in modules else node.module)
    above = set().union(*(packages_above(name) for name in names))
    above -= packages_above(importer) | {importer}
    return (names | above) & set(modules)


def reachable(graph, start):
    """Return the modules that a module imports, directly or not."""
    found, pending = set(), [start]
    while pending:
        new = graph[pending.pop()] - found
        found |= new
        pending += new
    return found


def cycles_of(graph):
    """Return the groups of modules that import each other, sorted."""
    reach = {name: reachable(graph, name) for name in graph}
    groups = {
        tuple(sorted(n for n in reach[name] if name in reach[n]))
        for name in graph
    }
    return sorted(group for group in groups if group)


@pytest.mark.parametrize('package', PACKAGES, ids=lambda path: path.name)
def test_modules_of_a_package_import_each_other_without_cycles(package):
    files = modules_of(package)
    graph = {
        name: imports_of(name, path.read_bytes(), files)
        for name, path in files.items()
    }
    cycles = [', '.join(group) for group in cycles_of(graph)]
    assert not cycles, 'import each other:\n' + '\n'.join(cycles)


def test_every_package_of_the_workspace_is_checked():
    projects = {path.parent for path in ROOT.glob('packages/*/pyproject.toml')}
    projects |= {ROOT / 'platform', ROOT / 'platform/soak'}
    assert {package.parents[1] for package in PACKAGES} == projects


@pytest.mark.parametrize(
    'source',
    [
        'import a.b',
        'from a import b',
        'from a.b import name',
        'if TYPE_CHECKING:\n    from a import b',
        'def f():\n    from a.b import name',
    ],
)
def test_every_kind_of_import_counts(source):
    modules = {'a', 'a.b', 'a.c'}
    graph = {
        'a': set(),
        'a.b': imports_of('a.b', 'from a import c', modules),
        'a.c': imports_of('a.c', source, modules),
    }
    assert cycles_of(graph) == [('a.b', 'a.c')]


def test_packages_that_import_parts_of_each_other_are_a_cycle():
    # a.x._m and a.y._n import no module that imports them, but importing
    # either package runs the other one.
    sources = {
        'a': '',
        'a.x': 'from a.x import _m',
        'a.x._m': 'from a.y import const',
        'a.x.const': '',
        'a.y': 'from a.y import _n',
        'a.y._n': 'from a.x import const',
        'a.y.const': '',
    }
    graph = {
        name: imports_of(name, source, sources)
        for name, source in sources.items()
    }
    assert cycles_of(graph) == [('a.x', 'a.x._m', 'a.y', 'a.y._n')]


def test_a_package_may_import_its_own_modules():
    sources = {
        'a': 'from a.x import name',
        'a.x': 'from a.x import _m\nfrom a import b',
        'a.x._m': 'import a.x.const',
        'a.x.const': '',
        'a.b': '',
    }
    graph = {
        name: imports_of(name, source, sources)
        for name, source in sources.items()
    }
    assert cycles_of(graph) == []
