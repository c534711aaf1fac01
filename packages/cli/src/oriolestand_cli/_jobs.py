"""Commands that submit, list, show and cancel batch jobs."""

import json
from typing import Any
from typing import BinaryIO
from urllib import parse

import click

from oriolestand_cli import _app
from oriolestand_cli import _output

FIELDS = (
    'name',
    'state',
    'pool',
    'team',
    'priority',
    'attempt',
    'worker',
    'evictions',
    'ran_ms',
    'retries_left',
    'controller',
    'reason',
    'result',
)
COLUMNS = FIELDS[:7]


@click.group()
def jobs() -> None:
    """Submit, show and cancel batch jobs."""


@jobs.command()
@click.argument('file', type=click.File('rb'))
@_app.with_app
def submit(app: _app.App, file: BinaryIO) -> None:
    """Submit the job in a JSON FILE; - reads standard input.

    Submission is idempotent by the name of the job: a repeat with the same
    content changes nothing, and one with other content is refused.

    \b
    Example:
      echo '{"name": "night-1", "pool": "main"}' | oriolestand jobs submit -
    """  # noqa: D301
    response = json.loads(app.client.send('POST', '/jobs', body=file.read()))
    if app.is_json:
        _output.print_json(response)
        return
    verb = 'submitted' if response['is_new'] else 'already exists'
    click.echo(f'{response["name"]} {verb}, {response["state"]}')


@jobs.command('list')
@click.option(
    '--prefix', default='', help='Only jobs whose name starts with this.'
)
@click.option('--state', default='', help='Only jobs in this state.')
@click.option('--limit', default=100, show_default=True, type=int)
@_app.with_app
def list_jobs(app: _app.App, prefix: str, state: str, limit: int) -> None:
    """List jobs by name.

    \b
    Example:
      oriolestand jobs list --prefix night- --state running
    """  # noqa: D301
    response = app.client.get('/jobs', prefix=prefix, state=state, limit=limit)
    if app.is_json:
        _output.print_json(response)
        return
    _output.print_table(
        [name.upper() for name in COLUMNS],
        [[job[name] or '-' for name in COLUMNS] for job in response['jobs']],
    )


@jobs.command()
@click.argument('name')
@_app.with_app
def show(app: _app.App, name: str) -> None:
    """Show the state of one job, why it ended and its result.

    \b
    Example:
      oriolestand jobs show night-1
    """  # noqa: D301
    _print_job(app, app.client.get(f'/jobs/{parse.quote(name, safe="")}'))


@jobs.command()
@click.argument('name')
@_app.with_app
def cancel(app: _app.App, name: str) -> None:
    """Cancel a job; a running job ends within a few seconds.

    \b
    Example:
      oriolestand jobs cancel night-1
    """  # noqa: D301
    path = f'/jobs/{parse.quote(name, safe="")}'
    _print_job(app, json.loads(app.client.send('DELETE', path)))


def _print_job(app: _app.App, job: dict[str, Any]) -> None:
    """Print one job."""
    if app.is_json:
        _output.print_json(job)
        return
    rows = [[name.replace('_', ' '), job[name]] for name in FIELDS]
    if job['is_cancel_requested']:
        rows.append(['cancel', 'requested'])
    _output.print_table(['FIELD', 'VALUE'], rows)
