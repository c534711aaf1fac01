"""Measure what a start of the fleet daemon, requests and idle time cost.

Each checkout is copied and built as on the users' platform. One daemon of the
first checkout owns the cell; the measured daemons start beside it in turn,
one round after the other, so that other load on the machine affects all
checkouts alike.
"""

from collections.abc import Iterator
import dataclasses
import pathlib
import secrets
import statistics
import tempfile
import time
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import task

from oriolestand_bench import _measured_daemon
from oriolestand_bench import _results
from oriolestand_bench import _trees
from oriolestand_soak import deployment

ROOT = pathlib.Path(__file__).resolve().parents[4]
ROUNDS = 5
REQUESTS = 200
WARM_UP_REQUESTS = 20
IDLE_S = 5.0
SETTLE_S = 2.0
"""Time after which nothing of the start is left to run."""

MAX_START_RATIO = 0.55
MAX_MEMORY_RATIO = 1.0

UNITS = {
    'start': 'ms',
    'start_settled': 'ms',
    'peak_memory': 'MiB',
    'idle': 'ms/s',
    'post': 'ms',
    'get': 'ms',
    'delete': 'ms',
    'ready_check': 'ms',
}
TARGETS = {
    'start': MAX_START_RATIO,
    'start_settled': MAX_START_RATIO,
    'peak_memory': MAX_MEMORY_RATIO,
}

Figures = dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """What is measured: trees by name, and the number of rounds."""

    trees: dict[str, pathlib.Path]
    rounds: int


class _Measurement:
    """Measures one daemon from its start to its end."""

    def __init__(self, daemon: _measured_daemon.MeasuredDaemon) -> None:
        self._daemon = daemon
        self._jobs = [secrets.token_hex(8) for _ in range(REQUESTS)]
        self._idle_ms_per_s = 0.0

    async def run(self) -> Figures:
        """Return the figures by name; see ``UNITS``."""
        daemon = self._daemon
        await daemon.wait_ready()
        figures = {'start': daemon.cpu_ms()}
        await daemon.sleep(SETTLE_S)
        figures['start_settled'] = daemon.cpu_ms()
        figures['peak_memory'] = daemon.peak_mib()
        began_ms, began_s = daemon.cpu_ms(), time.monotonic()
        await daemon.sleep(IDLE_S)
        seconds = time.monotonic() - began_s
        self._idle_ms_per_s = (daemon.cpu_ms() - began_ms) / seconds
        figures['idle'] = self._idle_ms_per_s
        conn = await daemon.connect(daemon.daemon.front_port)
        for job in range(WARM_UP_REQUESTS):
            await daemon.send(conn, 'GET', f'/{deployment.ROUTE}/{job:016x}')
        for method, body in (
            ('POST', deployment.SUBMISSION),
            ('GET', b''),
            ('DELETE', b''),
        ):
            paths = [f'/{deployment.ROUTE}/{job}' for job in self._jobs]
            figures[method.lower()] = await self._send(
                conn, method, paths, body
            )
        conn.close()
        conn = await daemon.connect(daemon.daemon.ready_port)
        figures['ready_check'] = await self._send(
            conn, 'GET', ['/'] * REQUESTS, b''
        )
        conn.close()
        return figures

    async def _send(
        self,
        conn: deployment.ClientConnection,
        method: str,
        paths: list[str],
        body: bytes,
    ) -> float:
        """Return the processor time of a request without that of idling."""
        daemon = self._daemon
        began_ms, began_s = daemon.cpu_ms(), time.monotonic()
        for path in paths:
            status = await daemon.send(conn, method, path, body)
            if status != 200:
                raise _measured_daemon.BenchError(f'{method}: {status}')
        spent_ms = daemon.cpu_ms() - began_ms
        idle_ms = (time.monotonic() - began_s) * self._idle_ms_per_s
        return (spent_ms - idle_ms) / len(paths)


async def _measure_all(
    reactor: Any, options: Options, site: deployment.Deployment
) -> dict[str, list[Figures]]:
    """Return the figures of each round by tree."""
    trees = options.trees
    first = next(iter(trees.values()))
    owner = _measured_daemon.MeasuredDaemon(
        reactor, first, site.add_daemon('owner')
    )
    found: dict[str, list[Figures]] = {name: [] for name in trees}
    try:
        await owner.wait_ready()
        while not site.has_owner:
            await owner.sleep(_measured_daemon.POLL_S)
        for number in range(options.rounds):
            for name, tree in trees.items():
                daemon = _measured_daemon.MeasuredDaemon(
                    reactor, tree, site.add_daemon(f'{name}-{number}')
                )
                try:
                    found[name].append(await _Measurement(daemon).run())
                finally:
                    await daemon.stop()
    finally:
        await owner.stop()
    return found


def _to_results(found: dict[str, list[Figures]]) -> Iterator[_results.Result]:
    """Return the medians of the rounds, and the ratios to the base."""
    this, *others = found.values()
    for name, unit in UNITS.items():
        values = [figures[name] for figures in this]
        base = None
        if others:
            base = statistics.median(figures[name] for figures in others[0])
        yield _results.Result(
            name=f'start/{name}',
            unit=unit,
            value=statistics.median(values),
            baseline=base,
            target=TARGETS.get(name) if others else None,
            low=min(values),
            high=max(values),
        )


async def _run(reactor: Any, options: Options, folder: pathlib.Path) -> None:
    """Measure all trees and print the results."""
    with deployment.Deployment(reactor, folder) as site:
        found = await _measure_all(reactor, options, site)
    click.echo(_results.to_table(list(_to_results(found))))


@click.command()
@click.option(
    '--base',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Another checkout to measure in the same run.',
)
@click.option('--rounds', default=ROUNDS, help='Starts of each checkout.')
def main(base: pathlib.Path | None, rounds: int) -> None:
    """Print processor time and memory of this checkout and a base."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        checkouts = {'this': ROOT}
        if base is not None:
            checkouts['base'] = base
        trees = {}
        for tree, checkout in checkouts.items():
            trees[tree] = folder / tree
            _trees.deploy(checkout, trees[tree])
        options = Options(trees=trees, rounds=rounds)

        def run(reactor: Any) -> 'defer.Deferred[None]':
            return defer.ensureDeferred(_run(reactor, options, folder))

        task.react(run)


if __name__ == '__main__':
    main()
