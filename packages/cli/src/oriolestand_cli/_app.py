"""Options, client and error output that the commands share."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import json
from typing import Any

import click

from oriolestand_cli import _client
from oriolestand_cli import _errors
from oriolestand_cli import _output

DEFAULT_DAEMON = '127.0.0.1:7402'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class App:
    """Context of a command: the client and the output format."""

    client: _client.AdminClient
    is_json: bool


Command = Callable[..., Any]


def make_client(addresses: Sequence[str]) -> _client.AdminClient:
    """Return a client for the daemons at these admin addresses."""
    return _client.AdminClient(addresses)


def with_output(func: Command) -> Command:
    """Add ``--output``, pass ``is_json`` and print errors in that format."""

    @functools.wraps(func)
    def run(*args: Any, output: str, **kwargs: Any) -> Any:
        is_json = output == 'json'
        try:
            return func(*args, is_json=is_json, **kwargs)
        except _errors.CommandError as exc:
            _print_error(exc, is_json)
            return click.get_current_context().exit(exc.exit_code)

    return click.option(
        '--output',
        '-o',
        type=click.Choice(['table', 'json']),
        default='table',
        show_default=True,
        help='Format of the result and of errors.',
    )(run)


def with_app(func: Command) -> Command:
    """Add the options of commands that call a daemon and pass an App."""

    @functools.wraps(func)
    def run(
        *args: Any, daemon: tuple[str, ...], is_json: bool, **kwargs: Any
    ) -> Any:
        app = App(client=make_client(daemon), is_json=is_json)
        return func(app, *args, **kwargs)

    return click.option(
        '--daemon',
        '-d',
        multiple=True,
        default=(DEFAULT_DAEMON,),
        show_default=True,
        envvar='ORIOLESTAND_DAEMON',
        help='Admin address of a daemon, ip:port; may be repeated.',
    )(with_output(run))


def _print_error(exc: _errors.CommandError, is_json: bool) -> None:
    """Print an error to standard error."""
    if is_json:
        body = {
            'code': exc.code,
            'message': exc.message,
            'verdict': exc.verdict.value,
            'exit_code': int(exc.exit_code),
            'details': list(exc.details),
        }
        click.echo(json.dumps(body), err=True)
        return
    _output.print_message(f'Error: {exc.message}')
    for detail in exc.details:
        _output.print_message(f'  {detail}')
