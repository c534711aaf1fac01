"""Edit tables in the operator's editor."""

import pathlib
import tempfile

import click

from oriolestand_cli import _app
from oriolestand_cli import _changes
from oriolestand_cli import _errors
from oriolestand_cli import _output
from oriolestand_cli import _scope


def edit(
    app: _app.App, scope: _scope.Scope, waiting: _changes.Waiting
) -> None:
    """Open the tables in an editor until they can be applied."""
    base = _changes.load(app)
    text = _scope.dump(scope.part(base))
    while True:
        edited = click.edit(text, extension='.json')
        if edited is None or edited == text:
            _output.note('Nothing was changed.')
            return
        text = edited
        try:
            part = _scope.parse_part(scope, text.encode(), 'the text')
            document = scope.merge(base, part)
            _changes.submit(app, base, document, waiting)
            return
        except _errors.CommandError as exc:
            if exc.exit_code is _errors.ExitCode.NOT_IN_FORCE:
                raise
            if not _wants_again(exc):
                path = _keep(text)
                _output.note(f'Your text is in {path}.')
                raise


def _wants_again(exc: _errors.CommandError) -> bool:
    """Return whether the operator corrects the problems now."""
    if exc.exit_code is not _errors.ExitCode.INVALID:
        return False
    _output.note(f'Error: {exc.message}')
    for detail in exc.details:
        _output.note(f'  {detail}')
    return click.confirm('Edit again?', default=True, err=True)


def _keep(text: str) -> pathlib.Path:
    """Write the text to a file that stays; return its path."""
    with tempfile.NamedTemporaryFile(
        'w',
        encoding='utf-8',
        prefix='oriolestand-edit-',
        suffix='.json',
        delete=False,
    ) as file:
        file.write(text)
    return pathlib.Path(file.name)
