"""Command line of the soak."""

import pathlib
import sys
import tempfile
from typing import Any

import click
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_soak import _soak
from oriolestand_soak import checks
from oriolestand_soak import history

EXIT_VIOLATIONS = 1
EXIT_FAILED = 3
MILLIS_PER_SECOND = 1_000


def _report(label: str, violations: list[checks.Violation]) -> None:
    """Print the outcome of one soak."""
    click.echo(f'{label}: {len(violations)} violations')
    for violation in violations:
        click.echo(f'  {violation}')


async def _run_seeds(
    reactor: Any, seeds: range, options: dict[str, Any], out: pathlib.Path
) -> int:
    """Run one soak after another and return the exit status."""
    status = 0
    for seed in seeds:
        directory = out / f'seed-{seed}'
        violations = await _soak.run(
            reactor,
            _soak.Options(seed=seed, directory=directory, **options),
        )
        _report(f'seed {seed}', violations)
        sys.stdout.flush()
        if violations:
            status = EXIT_VIOLATIONS
    return status


def _parse_seeds(text: str) -> range:
    """Parse ``A-B``.

    >>> _parse_seeds('3-5')
    range(3, 6)
    """
    first, _, last = text.partition('-')
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as exc:
        raise click.BadParameter('expected A-B') from exc


@click.command()
@click.option('--seed', type=int, help='Run the soak with this seed.')
@click.option('--seeds', help='Run the soaks with the seeds A-B.')
@click.option('--seconds', default=30, help='Time in which faults begin.')
@click.option('--daemons', default=5)
@click.option('--workers', default=12)
@click.option(
    '--out',
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help='Folder for histories and logs; a temporary one by default.',
)
@click.option(
    '--check',
    'check_path',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help='Only check this history.',
)
def main(
    seed: int | None,
    seeds: str | None,
    seconds: int,
    daemons: int,
    workers: int,
    out: pathlib.Path | None,
    check_path: pathlib.Path | None,
) -> None:
    """Run daemons under random faults and check what they promise."""
    core.configure_logs('console', 'INFO', lambda: 0)
    if check_path is not None:
        violations = checks.check(list(history.read(check_path)))
        _report(str(check_path), violations)
        sys.exit(EXIT_VIOLATIONS if violations else 0)
    if (seed is None) == (seeds is None):
        raise click.UsageError('give either --seed or --seeds')
    chosen = (
        _parse_seeds(seeds) if seeds else range(seed or 0, (seed or 0) + 1)
    )
    directory = out or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    click.echo(f'Histories and logs: {directory}')
    options = {
        'duration_ms': seconds * MILLIS_PER_SECOND,
        'daemons': daemons,
        'workers': workers,
    }
    sys.exit(_run_reactor(chosen, options, directory))


def _run_reactor(
    seeds: range, options: dict[str, Any], directory: pathlib.Path
) -> int:
    """Run the soaks in the reactor and return the exit status."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    statuses: list[int] = []

    def on_failed(reason: Any) -> int:
        click.echo(f'The soak failed: {reason.getTraceback()}', err=True)
        return EXIT_FAILED

    def start() -> None:
        fut = defer.ensureDeferred(
            _run_seeds(reactor, seeds, options, directory)
        )
        fut.addErrback(on_failed)
        fut.addCallback(statuses.append)
        fut.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return statuses[0] if statuses else EXIT_FAILED


if __name__ == '__main__':
    main()
