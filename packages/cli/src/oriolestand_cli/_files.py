"""Commands that work without a daemon: check, schema, completion."""

import pathlib

import click
from click import shell_completion

from oriolestand_cli import _app
from oriolestand_cli import _errors
from oriolestand_cli import _output
from oriolestand_cli import _scope
import oriolestand_models as models
from oriolestand_models import settings

KINDS = ('settings', 'tables')


@click.command()
@click.argument('file')
@click.option(
    '--kind',
    type=click.Choice(KINDS),
    help='Kind of FILE; by default detected from its keys.',
)
@_app.with_output
def check(file: str, kind: str | None, is_json: bool) -> None:
    """Check a settings or tables file and list all problems.

    \b
    Examples:
      oriolestand check entry-1.json
      oriolestand check tables.json --kind tables
    """  # noqa: D301
    text = _scope.read_file(file)
    kind = kind or _detect_kind(text, file)
    problems = _find_problems(kind, text)
    if problems:
        raise _errors.CommandError(
            f'{file} is invalid',
            _errors.ExitCode.INVALID,
            problems,
            code=f'invalid_{kind}',
        )
    if is_json:
        _output.print_json({'file': file, 'kind': kind, 'valid': True})
        return
    click.echo(f'{file}: valid {kind}')


def _detect_kind(text: bytes, file: str) -> str:
    """Return the kind of a file, from its keys."""
    try:
        data = models.parse_json(text)
    except ValueError as exc:
        raise _errors.CommandError(
            f'{file}: not valid JSON: {exc}', _errors.ExitCode.INVALID
        ) from exc
    has_tables = isinstance(data, dict) and {'routes', 'pools'} & set(data)
    return 'tables' if has_tables else 'settings'


def _find_problems(kind: str, text: bytes) -> list[str]:
    """Validate a file and return all its problems."""
    try:
        if kind == 'tables':
            models.parse_bytes(text)
        else:
            settings.parse_bytes(text)
    except (models.InvalidTablesError, settings.SettingsError) as exc:
        return list(exc.problems)
    return []


@click.command()
@click.argument('name', type=click.Choice(sorted(models.SCHEMAS)))
def schema(name: str) -> None:
    """Print the JSON schema of a file format.

    \b
    Example:
      oriolestand schema tables > tables.schema.json
    """  # noqa: D301
    click.echo(models.dump_schema(name), nl=False)


@click.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Print the completion script for a shell.

    \b
    Example:
      oriolestand completion bash >> ~/.bashrc
    """  # noqa: D301
    completion_class = shell_completion.get_completion_class(shell)
    assert completion_class is not None
    root = ctx.find_root()
    name = pathlib.PurePath(root.info_name or 'oriolestand').name
    script = completion_class(root.command, {}, name, '_ORIOLESTAND_COMPLETE')
    click.echo(script.source())
