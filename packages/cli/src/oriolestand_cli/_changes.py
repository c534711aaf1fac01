"""Submission of edits, and the wait until they are in force."""

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
MAX_SEND_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitOptions:
    """Seconds to wait until an edit is in force; 0 does not wait."""

    seconds: float


def load(app: _app.App, version: int | None = None) -> models.DocumentModel:
    """Return a version of the tables; by default the one in force."""
    args = {} if version is None else {'version': version}
    return _scope.parse(app.client.get('/tables', **args))


def build_edit(
    app: _app.App, scope: _scope.Scope, part: dict[str, Any]
) -> tuple[models.DocumentModel, models.DocumentModel]:
    """Return the base document of an edit and the edited document."""
    base = load(app, part.get('version'))
    return base, scope.merge(base, part)


def submit(
    app: _app.App,
    base: models.DocumentModel,
    document: models.DocumentModel,
    wait_options: WaitOptions,
) -> None:
    """Submit an edit, print its changes and wait until it is in force."""
    changes = models.diff(base, document)
    if not changes:
        _print_result(app, base.version, [], [])
        return
    if not app.is_json:
        for change in changes:
            _output.print_message(f'  {change}')
    version = _send_edit(app, base, document)
    _output.print_message(f'Version {version} is accepted.')
    _print_result(
        app, version, changes, _wait_until_in_force(app, version, wait_options)
    )


def _send_edit(
    app: _app.App, base: models.DocumentModel, document: models.DocumentModel
) -> int:
    """Send an edit to a daemon and return the new version.

    If the response is lost, the edit is sent again with the same edit id. The
    daemon recognizes the id, so the edit takes effect only once.
    """
    args = {
        'base_version': base.version,
        'edited_by': _user_name(),
        'edit_id': core.IdSource().request_id(),
    }
    attempts = 1
    while True:
        try:
            response = app.client.send('PUT', '/tables', args, document.dump())
            return int(json.loads(response)['version'])
        except _errors.AnswerLostError:
            if attempts == MAX_SEND_ATTEMPTS:
                raise
        except _errors.UnreachableError as exc:
            if attempts == 1:
                raise
            raise _unknown_outcome(exc, args) from exc
        except _errors.CommandError as exc:
            if exc.exit_code is not _errors.ExitCode.UNKNOWN:
                raise
            raise _unknown_outcome(exc, args) from exc
        attempts += 1


def _unknown_outcome(
    exc: _errors.CommandError, args: dict[str, Any]
) -> _errors.CommandError:
    """Return the error for an unknown outcome, and how to check it."""
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


def _user_name() -> str:
    """Return the name of the user who submits the edit."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


def _wait_until_in_force(
    app: _app.App, version: int, wait_options: WaitOptions
) -> list[dict[str, Any]]:
    """Poll until all reachable instances have a version in force.

    Returns all instances, also unreachable ones; none if the wait is 0.

    :raises CommandError: if that takes longer than the wait allows.
    """
    if not wait_options.seconds:
        return []
    end_time = time.monotonic() + wait_options.seconds
    last_text = ''
    while True:
        instances, outdated, text = _poll_instances(app, version)
        if text != last_text:
            _output.print_message(f'{text}.')
            last_text = text
        if instances and not outdated:
            return instances
        if time.monotonic() >= end_time:
            raise _errors.CommandError(
                f'version {version} is accepted, but not seen in force '
                f'everywhere after {wait_options.seconds:g} s',
                _errors.ExitCode.NOT_IN_FORCE,
                [f'not in force at {name}' for name in outdated] or [text],
                core.Verdict.RAN,
                'not_in_force',
            )
        threading.Event().wait(POLL_S)


def _poll_instances(
    app: _app.App, version: int
) -> tuple[list[dict[str, Any]], list[str], str]:
    """Return all instances, the ids of outdated ones and a progress text.

    Returns no instances if the daemon does not answer. That must not fail
    the command, because the edit has been accepted.
    """
    try:
        instances = app.client.get('/instances')['instances']
    except _errors.CommandError as exc:
        return [], [], f'Cannot check where it is in force: {exc.message}'
    connected = [item for item in instances if item['is_connected']]
    outdated = [i['instance_id'] for i in connected if i['version'] < version]
    up_to_date = len(connected) - len(outdated)
    text = f'In force at {up_to_date} of {len(connected)} reachable instances'
    if outdated:
        text += f'; waiting for {", ".join(outdated)}'
    return instances, outdated, text


def _print_result(
    app: _app.App,
    version: int,
    changes: list[str],
    instances: list[dict[str, Any]],
) -> None:
    """Print the result of an edit."""
    unreachable = [
        i['instance_id'] for i in instances if not i['is_connected']
    ]
    if app.is_json:
        _output.print_json(
            {
                'version': version,
                'changes': changes,
                'in_force': [
                    i['instance_id'] for i in instances if i['is_connected']
                ],
                'unreachable': unreachable,
            }
        )
        return
    if not changes:
        _output.print_message(f'No change; version {version} stays in force.')
    if unreachable:
        _output.print_message(
            f'Not reachable now: {", ".join(unreachable)}. These instances '
            'get the version when they are connected again.'
        )
