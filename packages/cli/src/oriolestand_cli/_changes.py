"""Send edits and follow them until they are in force."""

import dataclasses
import getpass
import json
import threading
import time
from typing import Any

from oriolestand_cli import _app
from oriolestand_cli import _errors
from oriolestand_cli import _output
from oriolestand_cli import _scope
import oriolestand_core as core
import oriolestand_models as models

POLL_S = 0.2
SEND_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """Say how long to wait until an edit is in force; 0 does not wait."""

    seconds: float


def load(app: _app.App, version: int | None = None) -> models.DocumentModel:
    """Return a document of the daemon; the one in force by default."""
    args = {} if version is None else {'version': version}
    return _scope.parse(app.client.get('/tables', **args))


def make(
    app: _app.App, scope: _scope.Scope, part: dict[str, Any]
) -> tuple[models.DocumentModel, models.DocumentModel]:
    """Return the base of an edit and the document that it makes."""
    base = load(app, part.get('version'))
    return base, scope.merge(base, part)


def submit(
    app: _app.App,
    base: models.DocumentModel,
    document: models.DocumentModel,
    waiting: Waiting,
) -> None:
    """Apply an edit, show what it changes and wait for it."""
    changes = models.diff(base, document)
    if not changes:
        _report(app, base.version, [], [])
        return
    if not app.is_json:
        for change in changes:
            _output.note(f'  {change}')
    version = _send(app, base, document)
    _output.note(f'Version {version} is accepted.')
    _report(app, version, changes, _follow(app, version, waiting))


def _send(
    app: _app.App, base: models.DocumentModel, document: models.DocumentModel
) -> int:
    """Return the new version.

    After a lost answer the edit is sent again with its edit id, by which
    the daemon knows it; so it takes effect once.
    """
    args = {
        'base_version': base.version,
        'edited_by': _user(),
        'edit_id': core.IdSource().request_id(),
    }
    tries = 1
    while True:
        try:
            answer = app.client.send('PUT', '/tables', args, document.dump())
            return int(json.loads(answer)['version'])
        except _errors.AnswerLostError:
            if tries == SEND_TRIES:
                raise
        except _errors.UnreachableError as exc:
            if tries == 1:
                raise
            raise _unknown(exc, args) from exc
        except _errors.CommandError as exc:
            if exc.exit_code is not _errors.ExitCode.UNKNOWN:
                raise
            raise _unknown(exc, args) from exc
        tries += 1


def _unknown(
    exc: _errors.CommandError, args: dict[str, Any]
) -> _errors.CommandError:
    """Return the error that tells how to find out later."""
    return _errors.CommandError(
        f'unknown whether the edit took effect: {exc.message}',
        _errors.ExitCode.UNKNOWN,
        [
            *exc.details,
            f'look for edit id {args["edit_id"]} in "oriolestand tables '
            'history"',
        ],
        core.Verdict.MAY_HAVE_RUN,
        exc.code,
    )


def _user() -> str:
    """Return who makes the edit."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


def _follow(
    app: _app.App, version: int, waiting: Waiting
) -> list[dict[str, Any]]:
    """Return the instances once all reachable ones have a version."""
    if not waiting.seconds:
        return []
    end = time.monotonic() + waiting.seconds
    former = ''
    while True:
        instances, late, text = _look(app, version)
        if text != former:
            _output.note(f'{text}.')
            former = text
        if instances and not late:
            return instances
        if time.monotonic() >= end:
            raise _errors.CommandError(
                f'version {version} is accepted, but not seen in force '
                f'everywhere after {waiting.seconds:g} s',
                _errors.ExitCode.NOT_IN_FORCE,
                [f'not in force at {name}' for name in late] or [text],
                core.Verdict.RAN,
                'not_in_force',
            )
        threading.Event().wait(POLL_S)


def _look(
    app: _app.App, version: int
) -> tuple[list[dict[str, Any]], list[str], str]:
    """Return all instances, the ids of late ones, and a line on them.

    There are no instances when the daemon does not answer, which must not
    end the command with a failure: the edit is accepted.
    """
    try:
        instances = app.client.get('/instances')['instances']
    except _errors.CommandError as exc:
        return [], [], f'Not known where it is in force: {exc.message}'
    linked = [item for item in instances if item['is_connected']]
    late = [i['instance_id'] for i in linked if i['version'] < version]
    done = len(linked) - len(late)
    text = f'In force at {done} of {len(linked)} reachable instances'
    if late:
        text += f'; waiting for {", ".join(late)}'
    return instances, late, text


def _report(
    app: _app.App,
    version: int,
    changes: list[str],
    instances: list[dict[str, Any]],
) -> None:
    """Print the result of an edit."""
    cut_off = [i['instance_id'] for i in instances if not i['is_connected']]
    if app.is_json:
        _output.print_json(
            {
                'version': version,
                'changes': changes,
                'in_force': [
                    i['instance_id'] for i in instances if i['is_connected']
                ],
                'unreachable': cut_off,
            }
        )
        return
    if not changes:
        _output.note(f'No change; version {version} stays in force.')
    if cut_off:
        _output.note(
            f'Not reachable now: {", ".join(cut_off)}. These instances '
            'get the version when they are linked again.'
        )
