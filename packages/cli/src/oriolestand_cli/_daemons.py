"""Commands that show instances, the status of a daemon and traces."""

from typing import Any
from urllib import parse

import click

from oriolestand_cli import _app
from oriolestand_cli import _output


@click.command()
@_app.with_app
def instances(app: _app.App) -> None:
    """Show all entry instances and the version each has in force.

    \b
    Example:
      oriolestand instances --daemon 10.0.0.1:7402
    """  # noqa: D301
    response = app.client.get('/instances')
    if app.is_json:
        _output.print_json(response)
        return
    headers = 'INSTANCE DOMAIN REGION LISTED LINK VERSION DIGEST ADMIN'
    _output.print_table(
        headers.split(),
        [
            (
                item['instance_id'],
                item['failure_domain'],
                item['region'],
                item['state'] or '-',
                _link_state(item),
                item['version'],
                item['digest'] or '-',
                item['admin_address'] or '-',
            )
            for item in response['instances']
        ],
    )


def _link_state(item: dict[str, Any]) -> str:
    """Return the state of the queried daemon's link to an instance."""
    if item['is_self']:
        return 'self'
    return 'up' if item['is_connected'] else 'down'


@click.command()
@_app.with_app
def status(app: _app.App) -> None:
    """Show the tables version of a daemon and the usage of its pools.

    \b
    Example:
      oriolestand status --output json
    """  # noqa: D301
    response = app.client.get('/status')
    if app.is_json:
        _output.print_json(response)
        return
    tables = response['tables']
    store = tables['store_error'] or f'version {tables["store_version"]}'
    rows = [
        ('instance', response['instance_id']),
        ('incarnation', response['incarnation']),
        ('failure domain', response['failure_domain']),
        ('region', response['region']),
        ('ready', 'yes' if response['ready'] else 'no'),
        (
            'tables',
            f'version {response["version"]} {response["digest"]}'.strip(),
        ),
        ('store', store),
    ]
    if tables['conflicting_digest']:
        rows.append(('conflict', f'also seen: {tables["conflicting_digest"]}'))
    _output.print_table(['FIELD', 'VALUE'], rows)
    pools = [
        (
            name,
            len(pool['upstreams']),
            sum(up['limit'] for up in pool['upstreams'].values()),
            sum(up['in_use'] for up in pool['upstreams'].values()),
            pool['queued'],
        )
        for name, pool in sorted(response['pools'].items())
    ]
    headers = ['POOL', 'UPSTREAMS', 'SLOTS', 'IN USE', 'QUEUED']
    click.echo()
    _output.print_table(headers, pools)


@click.command()
@click.argument('trace_id')
@_app.with_app
def trace(app: _app.App, trace_id: str) -> None:
    """Show the hops of a sampled request, from the spans a daemon keeps.

    \b
    Example:
      oriolestand trace 4bf92f3577b34da6a3ce929d0e0e4736
    """  # noqa: D301
    quoted = parse.quote(trace_id, safe='')
    response = app.client.get(f'/traces/{quoted}')
    if app.is_json:
        _output.print_json(response)
        return
    spans = sorted(response['spans'], key=lambda span: span['start_ms'])
    first = spans[0]['start_ms']
    _output.print_table(
        ['HOP', 'INSTANCE', 'START', 'DURATION', 'ATTRIBUTES'],
        [
            (
                span['name'],
                span['instance_id'],
                f'+{span["start_ms"] - first} ms',
                f'{span["duration_ms"]} ms',
                ' '.join(f'{k}={v}' for k, v in span['attributes']),
            )
            for span in spans
        ],
    )
