"""Measure the resident memory of a fleet daemon from its start to a burst.

Each checkout is copied and built as on the users' platform. In each round and
for each checkout in turn, an owner of the cell and the measured daemon run
beside a store; the latter receives a burst of submissions.
"""

from collections.abc import Iterator
import json
import os
import pathlib
import secrets
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import task

from oriolestand_bench import _measured_daemon
from oriolestand_bench import _process
from oriolestand_bench import _results
from oriolestand_bench import _trees
from oriolestand_soak import deployment

ROOT = pathlib.Path(__file__).resolve().parents[4]
ROUNDS = 3
CONNECTIONS = 20
SUBMISSIONS = 1_000
SETTLE_S = 3.0
"""Time after which nothing of the start is left to run."""

MB_PER_MIB = _process.MIB / 1e6
MAX_REST_MB = 32.0
MAX_BURST_MB = 40.0
LISTED_PACKAGES = 25

UNITS = {
    'interpreter': 'MB',
    'imports': 'MB',
    'rest': 'MB',
    'rest_peak': 'MB',
    'burst': 'MB',
    'burst_peak': 'MB',
    'owner_rest': 'MB',
    'owner_burst_peak': 'MB',
    'accepted': 'jobs',
    'burst_time': 's',
}
TARGETS = {
    'rest': MAX_REST_MB,
    'burst_peak': MAX_BURST_MB,
    'owner_rest': MAX_REST_MB,
    'owner_burst_peak': MAX_BURST_MB,
}

Figures = dict[str, float]

_RESIDENT = """
import sys
sys.stdout.write(open('/proc/self/status').read())
"""

_IMPORTS = """
import importlib, runpy, sys
sys.argv = ['main.py']
runpy.run_path('platform/main.py', run_name='main')
from oriolestand_site import _reactor
_reactor.install()
from oriolestand_fleet import daemon
from oriolestand_site import _main
for package, names in (
    (_main.ADAPTER, ('store', 'orders')),
    (daemon.SERVICES_PACKAGE, daemon.SERVICES),
):
    for name in names:
        importlib.import_module(f'{package}.{name}')
"""

_BY_PACKAGE = """
import collections, tracemalloc
from importlib import machinery
tracemalloc.start()
sizes = collections.Counter()
inner = [0]
load = machinery.SourceFileLoader.exec_module

def exec_module(self, module):
    began = tracemalloc.get_traced_memory()[0]
    inner.append(0)
    try:
        load(self, module)
    finally:
        size = tracemalloc.get_traced_memory()[0] - began
        parts = module.__name__.split('.')
        is_split = parts[0].startswith(('oriolestand', 'twisted'))
        name = '.'.join(parts[: 2 if is_split else 1])
        sizes[name] += size - inner.pop()
        inner[-1] += size

machinery.SourceFileLoader.exec_module = exec_module
"""

_PRINT_PACKAGES = """
import json
sys.stdout.write(json.dumps(sizes))
"""


def _run_in(tree: pathlib.Path, script: str) -> str:
    """Run a script in a fresh interpreter; return its output."""
    # The interpreter itself, as the platform uses no virtual environment.
    done = subprocess.run(
        [os.path.realpath(sys.executable), '-c', script],
        cwd=tree,
        env={
            'PYTHONPATH': str(tree / _trees.DEPENDENCIES),
            'PYTHONDONTWRITEBYTECODE': '1',
        },
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def _resident_after(tree: pathlib.Path, script: str) -> float:
    """Return the resident memory in MB of a process after a script."""
    text = _run_in(tree, script + _RESIDENT)
    return _process.parse_resident_mib(text) * MB_PER_MIB


def _sizes_by_package(tree: pathlib.Path) -> dict[str, int]:
    """Return the bytes that the modules of each package hold.

    They are allocated by the modules themselves, not by those that they
    import, and exclude free space of the allocator and libraries in C.
    """
    text = _run_in(tree, _BY_PACKAGE + _IMPORTS + _PRINT_PACKAGES)
    sizes: dict[str, int] = json.loads(text)
    return sizes


class _Burst:
    """Submits jobs to a daemon on several connections at once."""

    def __init__(
        self, daemon: _measured_daemon.MeasuredDaemon, submissions: int
    ) -> None:
        self._daemon = daemon
        self._submissions = submissions
        self.accepted = 0

    async def run(self) -> None:
        """Submit all jobs; return after the last response."""
        await defer.gatherResults(
            [
                defer.ensureDeferred(
                    self._submit(self._submissions // CONNECTIONS)
                )
                for _ in range(CONNECTIONS)
            ]
        )

    async def _submit(self, count: int) -> None:
        """Submit jobs one after the other on a connection."""
        daemon = self._daemon
        conn = await daemon.connect(daemon.daemon.front_port)
        for _ in range(count):
            path = f'/{deployment.ROUTE}/{secrets.token_hex(8)}'
            status = await daemon.send(
                conn, 'POST', path, deployment.SUBMISSION
            )
            self.accepted += status == 200
        conn.close()


async def _measure_burst(
    owner: _measured_daemon.MeasuredDaemon,
    daemon: _measured_daemon.MeasuredDaemon,
    submissions: int,
) -> Figures:
    """Return the figures of running daemons by name; see ``UNITS``."""
    await daemon.wait_ready()
    await daemon.sleep(SETTLE_S)
    figures = {
        'rest': daemon.resident_mib() * MB_PER_MIB,
        'rest_peak': daemon.peak_mib() * MB_PER_MIB,
        'owner_rest': owner.resident_mib() * MB_PER_MIB,
    }
    burst = _Burst(daemon, submissions)
    began_s = time.monotonic()
    await burst.run()
    figures['burst_time'] = time.monotonic() - began_s
    figures['accepted'] = burst.accepted
    figures['burst'] = daemon.resident_mib() * MB_PER_MIB
    figures['burst_peak'] = daemon.peak_mib() * MB_PER_MIB
    figures['owner_burst_peak'] = owner.peak_mib() * MB_PER_MIB
    return figures


async def _measure(
    reactor: Any, tree: pathlib.Path, submissions: int
) -> Figures:
    """Return all figures of a new owner and a new daemon of a tree."""
    figures = {
        'interpreter': _resident_after(tree, ''),
        'imports': _resident_after(tree, _IMPORTS),
    }
    with (
        tempfile.TemporaryDirectory() as name,
        deployment.Deployment(reactor, pathlib.Path(name)) as site,
    ):
        daemons = []
        try:
            for role in ('owner', 'daemon'):
                daemon = _measured_daemon.MeasuredDaemon(
                    reactor, tree, site.add_daemon(role)
                )
                daemons.append(daemon)
                await daemon.wait_ready()
                while not site.has_owner:
                    await daemon.sleep(_measured_daemon.POLL_S)
            figures |= await _measure_burst(
                daemons[0], daemons[1], submissions
            )
        finally:
            for daemon in reversed(daemons):
                await daemon.stop()
    return figures


def _to_results(found: dict[str, list[Figures]]) -> Iterator[_results.Result]:
    """Return the medians of this checkout, then those of the base."""
    for tree, rounds in found.items():
        for name, unit in UNITS.items():
            values = [figures[name] for figures in rounds]
            yield _results.Result(
                name=f'memory/{tree}/{name}',
                unit=unit,
                value=statistics.median(values),
                target=TARGETS.get(name),
                low=min(values),
                high=max(values),
            )


def _to_package_results(
    sizes: dict[str, dict[str, int]],
) -> Iterator[_results.Result]:
    """Return the largest packages of this checkout beside the base."""
    this, *others = sizes.values()
    base = others[0] if others else {}
    total = {
        name: max(this.get(name, 0), base.get(name, 0))
        for name in {*this, *base}
    }
    for name in sorted(total, key=lambda name: -total[name])[:LISTED_PACKAGES]:
        yield _results.Result(
            name=f'memory/imports/{name}',
            unit='KiB',
            value=this.get(name, 0) / _process.KIB,
            baseline=base.get(name, 0) / _process.KIB if others else None,
        )


async def _run(
    reactor: Any,
    trees: dict[str, pathlib.Path],
    rounds: int,
    submissions: int,
) -> None:
    """Measure all trees in turn and print the results."""
    found: dict[str, list[Figures]] = {name: [] for name in trees}
    for _ in range(rounds):
        for name, tree in trees.items():
            found[name].append(await _measure(reactor, tree, submissions))
    click.echo(_results.to_table(list(_to_results(found))))
    sizes = {name: _sizes_by_package(tree) for name, tree in trees.items()}
    click.echo(_results.to_table(list(_to_package_results(sizes))))


@click.command()
@click.option(
    '--base',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Another checkout to measure in the same run.',
)
@click.option('--rounds', default=ROUNDS, help='Starts of each checkout.')
@click.option('--submissions', default=SUBMISSIONS, help='Jobs of the burst.')
def main(base: pathlib.Path | None, rounds: int, submissions: int) -> None:
    """Print the memory of a daemon of this checkout and of a base."""
    with tempfile.TemporaryDirectory() as name:
        checkouts = {'this': ROOT}
        if base is not None:
            checkouts['base'] = base
        trees = {}
        for tree, checkout in checkouts.items():
            trees[tree] = pathlib.Path(name) / tree
            _trees.deploy(checkout, trees[tree])

        def run(reactor: Any) -> 'defer.Deferred[None]':
            return defer.ensureDeferred(
                _run(reactor, trees, rounds, submissions)
            )

        task.react(run)


if __name__ == '__main__':
    main()
