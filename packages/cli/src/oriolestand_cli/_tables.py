"""Commands that show and edit routes and pools."""

from typing import Any

import click

from oriolestand_cli import _app
from oriolestand_cli import _changes
from oriolestand_cli import _editor
from oriolestand_cli import _errors
from oriolestand_cli import _output
from oriolestand_cli import _scope
import oriolestand_models as models

DEFAULT_WAIT_S = 10.0
HISTORY_LIMIT = 20


def _wait_option(func: Any) -> Any:
    """Add the option ``--wait`` to a command that submits an edit."""
    return click.option(
        '--wait',
        type=click.FloatRange(min=0),
        default=DEFAULT_WAIT_S,
        show_default=True,
        help='Seconds to wait until the edit is in force; 0 does not wait.',
    )(func)


def make_group(scope: _scope.Scope) -> click.Group:
    """Return the group of commands for the tables of a scope."""
    name = scope.name
    subject = 'routes and pools' if len(scope.tables) > 1 else name
    group = click.Group(
        name,
        help=f'Show and edit {subject}.\n\n\b\nExamples:\n'
        f'  oriolestand {name} list\n'
        f'  oriolestand {name} list -o json > {name}.json\n'
        f'  oriolestand {name} diff {name}.json\n'
        f'  oriolestand {name} apply {name}.json\n'
        f'  oriolestand {name} undo --to 7\n\n'
        f'A file contains tables and the version that it is based on, as '
        f'"list -o json" prints it.\n\n{_errors.EXIT_CODES_HELP}',
    )
    for add in (_add_views, _add_editor, _add_edits, _add_versions):
        add(group, scope)
    return group


def _add_views(group: click.Group, scope: _scope.Scope) -> None:
    """Add ``list`` and, for a single table, ``show``."""

    @group.command('list')
    @click.option('--version', type=click.IntRange(min=0))
    @_app.with_app
    def list_entries(app: _app.App, version: int | None) -> None:
        """List the entries in force, or those of an older version."""
        part = scope.extract(_changes.load(app, version))
        if app.is_json:
            _output.print_json(part)
            return
        for table in scope.tables:
            headers, rows = _ROWS[table](part[table])
            _output.print_table(headers, rows)
        _output.print_message(f'Version {part["version"]}')

    if len(scope.tables) > 1:
        return

    @group.command()
    @click.argument('name', shell_complete=_entry_completion(scope))
    @_app.with_app
    def show(app: _app.App, name: str) -> None:
        """Show one entry with all its fields, as JSON."""
        document = _changes.load(app)
        (table,) = scope.tables
        _output.print_json(
            _find_entry(scope.extract(document)[table], table, name)
        )


def _find_entry(entries: list[dict[str, Any]], table: str, name: str) -> Any:
    """Return an entry by name."""
    for entry in entries:
        if entry['name'] == name:
            return entry
    raise _errors.CommandError(
        f'{table} has no entry {name}', _errors.ExitCode.NOT_FOUND
    )


def _entry_completion(scope: _scope.Scope) -> Any:
    """Return a shell completion that reads entry names from a daemon."""

    def complete(
        ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[str]:
        daemons = ctx.params.get('daemon') or (_app.DEFAULT_DAEMON,)
        (table,) = scope.tables
        try:
            client = _app.make_client(daemons)
            entries = client.get(f'/tables/{table}')[table]
        except _errors.CommandError:
            return []
        names = [entry['name'] for entry in entries]
        return [name for name in names if name.startswith(incomplete)]

    return complete


def _add_editor(group: click.Group, scope: _scope.Scope) -> None:
    """Add ``edit``; a single table also takes the name of an entry."""

    @_wait_option
    @_app.with_app
    def edit(app: _app.App, wait: float, name: str | None = None) -> None:
        """Edit in $EDITOR and apply the result.

        With NAME, only that entry is edited. If the edit cannot be applied,
        the text is saved to a file.
        """
        target: _editor.EditTarget = _editor.ScopeTarget(scope)
        if name is not None:
            target = _editor.EntryTarget(scope, name)
        _editor.edit(app, target, _changes.WaitOptions(seconds=wait))

    if len(scope.tables) == 1:
        edit = click.argument(
            'name', required=False, shell_complete=_entry_completion(scope)
        )(edit)
    group.command('edit')(edit)


def _add_edits(group: click.Group, scope: _scope.Scope) -> None:
    """Add ``apply`` and ``diff``."""

    @group.command()
    @click.argument('file')
    @_wait_option
    @_app.with_app
    def apply(app: _app.App, file: str, wait: float) -> None:
        """Replace the tables with those in FILE; - reads standard input.

        If FILE contains a version, the edit is refused when the tables
        have changed since that version.
        """
        part = _scope.parse_part(scope, _scope.read_file(file), file)
        base, document = _changes.build_edit(app, scope, part)
        wait_options = _changes.WaitOptions(seconds=wait)
        _changes.submit(app, base, document, wait_options)

    @group.command()
    @click.argument('file')
    @_app.with_app
    def diff(app: _app.App, file: str) -> None:
        """Show what applying FILE would change in the tables in force."""
        part = _scope.parse_part(scope, _scope.read_file(file), file)
        part.pop('version', None)
        base, document = _changes.build_edit(app, scope, part)
        changes = models.diff(base, document)
        if app.is_json:
            _output.print_json({'version': base.version, 'changes': changes})
        for change in () if app.is_json else changes:
            click.echo(change)
        if changes:
            click.get_current_context().exit(_errors.ExitCode.DIFFERS)


def _add_versions(group: click.Group, scope: _scope.Scope) -> None:
    """Add ``history`` and ``undo``."""

    @group.command()
    @click.option(
        '--limit',
        type=click.IntRange(1, 50),
        default=HISTORY_LIMIT,
        show_default=True,
    )
    @_app.with_app
    def history(app: _app.App, limit: int) -> None:
        """Show the versions with their authors and changes, newest first."""
        entries = _load_history(app, scope, limit)
        if app.is_json:
            _output.print_json(entries)
            return
        rows = [
            (
                e['version'],
                e['edited_by'],
                e['edit_id'],
                '; '.join(e['changes']),
            )
            for e in entries
        ]
        _output.print_table(['VERSION', 'BY', 'EDIT ID', 'CHANGES'], rows)

    @group.command()
    @click.option(
        '--to',
        'version',
        type=click.IntRange(min=0),
        help='Version to restore; by default the one before the last change.',
    )
    @_wait_option
    @_app.with_app
    def undo(app: _app.App, version: int | None, wait: float) -> None:
        """Restore the content of an older version as a new version."""
        base = _changes.load(app)
        if version is None:
            entries = _load_history(app, scope, HISTORY_LIMIT)
            if not entries:
                raise _errors.CommandError(
                    'there is no change to undo', _errors.ExitCode.NOT_FOUND
                )
            version = entries[0]['version'] - 1
        old = models.DocumentModel()
        if version:
            old = _changes.load(app, version)
        document = scope.merge(base, scope.extract(old))
        wait_options = _changes.WaitOptions(seconds=wait)
        _changes.submit(app, base, document, wait_options)


def _load_history(
    app: _app.App, scope: _scope.Scope, limit: int
) -> list[dict[str, Any]]:
    """Return the versions that changed tables of a scope, newest first."""
    entries = []
    for entry in app.client.get('/tables/history', limit=limit):
        changes = [c for c in entry['changes'] if scope.covers(c)]
        if changes:
            entries.append({**entry, 'changes': changes})
    return entries


def _route_rows(routes: list[dict[str, Any]]) -> Any:
    """Return the headers and rows of the routes table."""
    headers = ['ROUTE', 'MATCH', 'POOL', 'TEAM', 'KIND', 'PRIO', 'TIMEOUT']
    return headers, [
        (
            route['name'],
            _format_match(route['match']),
            route['pool'],
            route['team'],
            route['kind'],
            route['priority'],
            f'{route["timeout_ms"]} ms',
        )
        for route in routes
    ]


def _format_match(match: dict[str, Any]) -> str:
    """Return the match condition of a route as text."""
    methods = ','.join(match['methods'])
    headers = ' '.join(f'{k}={v}' for k, v in match['headers'].items())
    target = f'{match["host"]}{match["path_prefix"]}'
    return ' '.join(part for part in (methods, target, headers) if part)


def _pool_rows(pools: list[dict[str, Any]]) -> Any:
    """Return the headers and rows of the pools table."""
    headers = ['POOL', 'UPSTREAMS', 'DOMAINS', 'SLOTS', 'CONNECTIONS', 'QUEUE']
    return headers, [
        (
            pool['name'],
            len(pool['upstreams']),
            ','.join(sorted({u['failure_domain'] for u in pool['upstreams']})),
            pool['slots_per_upstream'],
            pool['connections_per_upstream'],
            pool['queue_limit'],
        )
        for pool in pools
    ]


_ROWS = {'routes': _route_rows, 'pools': _pool_rows}
