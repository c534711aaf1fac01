"""Commands that show, check and follow evacuations of failure domains.

The request is a row in the store of the platform, which only the operator of
the platform may write, and fleet daemons have no interface for operators. So
the commands check a request, say which row to write or remove, and follow its
effect in the metrics of the daemons.
"""

from collections.abc import Callable
import time
from typing import Any

import click

from oriolestand_cli import _app
from oriolestand_cli import _errors
from oriolestand_cli import _fleet_metrics
from oriolestand_cli import _output

DEFAULT_METRICS = '127.0.0.1:9464'
ROW = 'evacuate/{domain}'
"""Key of the row that requests the evacuation, see docs/OPERATIONS.md."""

MAX_KEY_BYTES = 200
POLL_S = 0.5


def _with_fleet(func: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option with the metrics addresses of the fleet daemons."""
    return click.option(
        '--metrics',
        '-m',
        multiple=True,
        default=(DEFAULT_METRICS,),
        show_default=True,
        envvar='ORIOLESTAND_METRICS',
        help='Metrics address of a fleet daemon, ip:port; one for each.',
    )(_app.with_output(func))


@click.group()
def evacuations() -> None:
    """Check, show and follow evacuations of failure domains.

    Only the platform's operator may write the row that asks for one, so these
    commands say which row, and watch the metrics of the fleet daemons.
    """


@evacuations.command('list')
@_with_fleet
def list_evacuations(metrics: tuple[str, ...], is_json: bool) -> None:
    """List evacuated domains, the tasks left there and their waits.

    \b
    Example:
      oriolestand evacuations list -m 10.0.0.1:9464 -m 10.0.0.2:9464
    """  # noqa: D301
    state = _fleet_metrics.read(metrics)
    if is_json:
        _output.print_json(_to_json(state))
        return
    _print_state(state)


@evacuations.command()
@click.argument('domain')
@click.option(
    '--wait', type=float, help='Seconds to wait until all daemons know it.'
)
@_with_fleet
def request(
    metrics: tuple[str, ...], domain: str, wait: float | None, is_json: bool
) -> None:
    """Check a request to evacuate DOMAIN, and say which row to write.

    \b
    Example:
      oriolestand evacuations request zone-a --wait 30
    """  # noqa: D301
    _check_name(domain)
    state = _fleet_metrics.read(metrics)
    _check_known(domain, state)
    if state.is_evacuated(domain):
        raise _errors.CommandError(
            f'the failure domain {domain} is evacuated already',
            _errors.ExitCode.CONFLICT,
            code='already_evacuated',
        )
    _print_row('write', domain, is_json)
    if wait is not None:
        _follow(metrics, wait, lambda s: s.is_evacuated(domain))


@evacuations.command()
@click.argument('domain')
@click.option(
    '--wait', type=float, help='Seconds to wait until all daemons know it.'
)
@_with_fleet
def undo(
    metrics: tuple[str, ...], domain: str, wait: float | None, is_json: bool
) -> None:
    """Check the end of an evacuation, and say which row to remove.

    \b
    Example:
      oriolestand evacuations undo zone-a --wait 30
    """  # noqa: D301
    _check_name(domain)
    state = _fleet_metrics.read(metrics)
    if state.is_in_use(domain):
        raise _errors.CommandError(
            f'the failure domain {domain} is not evacuated',
            _errors.ExitCode.NOT_FOUND,
            sorted(f'{known} is' for known in state.known_by),
            code='not_evacuated',
        )
    _print_row('remove', domain, is_json)
    if wait is not None:
        _follow(metrics, wait, lambda s: s.is_in_use(domain))


def _check_name(domain: str) -> None:
    """Raise CommandError unless a name can be that of a failure domain."""
    problem = ''
    if not domain or domain != domain.strip():
        problem = 'it is empty, or begins or ends with a space'
    elif not domain.isprintable():
        problem = 'it contains a character that is not printable'
    elif len(ROW.format(domain=domain).encode()) > MAX_KEY_BYTES:
        problem = f'the key of its row exceeds {MAX_KEY_BYTES} bytes'
    if problem:
        raise _errors.CommandError(
            f'{domain!r} is not the name of a failure domain',
            _errors.ExitCode.INVALID,
            [problem],
            code='malformed_domain',
        )


def _check_known(domain: str, state: _fleet_metrics.FleetState) -> None:
    """Raise CommandError unless a worker belongs to a failure domain."""
    if state.workers is None:
        raise _errors.CommandError(
            'the failure domain cannot be checked, as no daemon that was '
            'reached owns the cell',
            _errors.ExitCode.UNREACHABLE,
            state.failures,
            code='owner_unreachable',
        )
    if domain not in state.workers:
        raise _errors.CommandError(
            f'no worker belongs to the failure domain {domain}',
            _errors.ExitCode.NOT_FOUND,
            [
                f'{known}: {count} workers'
                for known, count in sorted(state.workers.items())
            ],
            code='unknown_domain',
        )


def _print_row(action: str, domain: str, is_json: bool) -> None:
    """Print the row that the operator of the platform has to change."""
    key = ROW.format(domain=domain)
    if is_json:
        _output.print_json(
            {'action': action, 'key': key, 'failure_domain': domain}
        )
        return
    click.echo(f"{action} the row {key} in the operator's table")


def _follow(
    metrics: tuple[str, ...],
    wait_s: float,
    is_done: Callable[[_fleet_metrics.FleetState], bool],
) -> None:
    """Wait until all daemons know of a change.

    :raises CommandError: if they do not in time, or one cannot be reached.
    """
    state = _fleet_metrics.read(metrics)
    for _ in range(int(wait_s / POLL_S)):
        if is_done(state) and not state.failures:
            break
        time.sleep(POLL_S)
        state = _fleet_metrics.read(metrics)
    if not is_done(state) or state.failures:
        raise _errors.CommandError(
            f'not all daemons know of the change after {wait_s:g} s',
            _errors.ExitCode.NOT_IN_FORCE,
            state.failures,
            code='not_in_force',
        )
    _output.print_message(f'all {len(state.daemons)} daemons know of it')


def _to_json(state: _fleet_metrics.FleetState) -> dict[str, Any]:
    """Return the state as JSON values."""
    return {
        'daemons': list(state.daemons),
        'unreachable': list(state.failures),
        'has_owner': state.workers is not None,
        'domains': [
            {
                'failure_domain': domain,
                'known_by': known_by,
                'workers': (state.workers or {}).get(domain, 0),
                'tasks': [
                    {'kind': r.kind, 'wait': r.wait, 'count': r.count}
                    for r in state.remaining
                    if r.domain == domain
                ],
            }
            for domain, known_by in sorted(state.known_by.items())
        ],
    }


def _print_state(state: _fleet_metrics.FleetState) -> None:
    """Print the evacuated domains as a table."""
    for failure in state.failures:
        _output.print_message(f'Not read: {failure}')
    if state.workers is None:
        _output.print_message(
            'No daemon that was reached owns the cell: tasks are not shown'
        )
    if not state.known_by:
        _output.print_message('No failure domain is evacuated')
    rows = []
    for domain, known_by in sorted(state.known_by.items()):
        left = [r for r in state.remaining if r.domain == domain]
        waits = ', '.join(f'{r.count} {r.kind} {r.wait}' for r in left)
        is_known = state.workers is not None
        rows.append(
            [
                domain,
                f'{len(known_by)}/{len(state.daemons)}',
                (state.workers or {}).get(domain, 0) if is_known else '?',
                sum(r.count for r in left) if is_known else '?',
                waits or '-',
            ]
        )
    _output.print_table(
        ['DOMAIN', 'KNOWN BY', 'WORKERS', 'TASKS', 'WAITS'], rows
    )
