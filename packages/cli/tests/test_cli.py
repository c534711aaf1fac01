"""Test the commands against a fake admin interface."""

from collections.abc import Callable
from collections.abc import Mapping
import http.server
import json
import pathlib
import threading
from typing import Any

import click.testing
import pytest

from oriolestand_cli import __main__ as cli
from oriolestand_cli import _app
from oriolestand_cli import _client
from oriolestand_cli import _errors
from oriolestand_cli import _jobs
import oriolestand_core as core

ROUTE = {'name': 'check', 'pool': 'main'}
POOL = {'name': 'main', 'slots_per_upstream': 8}


class FakeClient(_client.AdminClient):
    """Simulates a daemon that has two versions of the tables."""

    def __init__(self) -> None:
        super().__init__(())
        self.versions: list[dict[str, Any]] = [
            {},
            {'version': 1, 'routes': [], 'pools': [POOL]},
            {'version': 2, 'routes': [ROUTE], 'pools': [POOL]},
        ]
        self.outdated: list[str] = []
        self.failures: list[Exception] = []
        self.edit_ids: list[Any] = []

    def send(
        self,
        method: str,
        path: str,
        args: Mapping[str, Any] | None = None,
        body: bytes | None = None,
    ) -> bytes:
        args = args or {}
        if method == 'PUT':
            return self._put(args, json.loads(body or b''))
        if path.startswith('/jobs'):
            return self._jobs(method, path)
        if path == '/tables':
            return json.dumps(self.versions[args.get('version', -1)]).encode()
        if path == '/tables/history':
            return json.dumps(
                [
                    {
                        'version': 2,
                        'edited_by': 'eva',
                        'edit_id': 'i2',
                        'digest': 'd',
                        'changes': ['routes.check: added (pool=main)'],
                    },
                    {
                        'version': 1,
                        'edited_by': 'ola',
                        'edit_id': 'i1',
                        'digest': 'd',
                        'changes': ['pools.main: added ()'],
                    },
                ]
            ).encode()
        assert path == '/instances'
        outdated = self.outdated.pop(0) if self.outdated else ''
        return json.dumps(
            {
                'instances': [
                    {
                        'instance_id': name,
                        'is_connected': name != 'e3',
                        'is_self': name == 'e1',
                        'version': 1 if name in (outdated, 'e3') else 9,
                        'digest': 'd',
                        'failure_domain': 'a',
                        'region': 'north',
                        'state': 'live',
                        'admin_address': '',
                    }
                    for name in ('e1', 'e2', 'e3')
                ]
            }
        ).encode()

    def _jobs(self, method: str, path: str) -> bytes:
        if self.failures:
            raise self.failures.pop(0)
        if method == 'POST':
            return b'{"name": "n1", "is_new": true, "state": "queued"}'
        job = {name: '' for name in _jobs.FIELDS}
        job.update(name='n1', state='running', is_cancel_requested=False)
        job['is_cancel_requested'] = method == 'DELETE'
        if path == '/jobs':
            return json.dumps({'jobs': [job]}).encode()
        assert path == '/jobs/n1'
        return json.dumps(job).encode()

    def _put(self, args: Mapping[str, Any], document: Any) -> bytes:
        self.edit_ids.append(args['edit_id'])
        if self.failures:
            raise self.failures.pop(0)
        document['version'] = args['base_version'] + 1
        self.versions.append(document)
        return json.dumps(document).encode()


@pytest.fixture
def client(monkeypatch: pytest.MonkeyPatch) -> FakeClient:
    fake = FakeClient()
    monkeypatch.setattr(_app, 'make_client', lambda _: fake)
    return fake


def run(*args: str, text: str | None = None) -> Any:
    """Run a command and return its result."""
    return click.testing.CliRunner().invoke(cli.main, args, input=text)


def pools(slots: int, **more: Any) -> str:
    pool = {**POOL, 'slots_per_upstream': slots}
    return json.dumps({'pools': [pool], **more})


def test_lists_are_tables_for_people_and_json_for_programs(
    client: FakeClient,
) -> None:
    """The JSON output of list must be accepted by apply."""
    assert 'check' in run('routes', 'list').stdout
    result = run('pools', 'list', '-o', 'json')
    part = json.loads(result.stdout)
    assert part['version'] == 2
    assert run('pools', 'apply', '-', text=result.stdout).exit_code == 0
    assert not client.edit_ids
    assert json.loads(run('pools', 'show', 'main').stdout)['name'] == 'main'
    missing = run('pools', 'show', 'none')
    assert missing.exit_code == _errors.ExitCode.NOT_FOUND


def test_apply_keeps_other_table_and_reports_instances_in_force(
    client: FakeClient,
) -> None:
    """An edit of pools must not change the routes."""
    client.outdated = ['e2', 'e2']
    result = run('pools', 'apply', '-', '-o', 'json', text=pools(4))
    assert result.exit_code == 0, result.output
    assert [r['name'] for r in client.versions[3]['routes']] == ['check']
    assert client.versions[3]['pools'][0]['slots_per_upstream'] == 4
    reply = json.loads(result.stdout)
    assert (reply['version'], reply['unreachable']) == (3, ['e3'])
    assert reply['in_force'] == ['e1', 'e2']
    assert 'waiting for e2' in result.stderr


def test_apply_ends_after_the_wait_time(client: FakeClient) -> None:
    """An accepted edit must not be reported as failed or as in force."""
    client.outdated = ['e2'] * 99
    result = run('pools', 'apply', '-', '--wait', '0.01', text=pools(4))
    assert result.exit_code == _errors.ExitCode.NOT_IN_FORCE
    assert 'not in force at e2' in result.stderr


def test_daemon_lost_after_accepting_is_not_a_failed_edit(
    client: FakeClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The exit code must not make an operator repeat an accepted edit."""
    gone = _errors.UnreachableError('gone', _errors.ExitCode.UNREACHABLE)
    put = client._put

    def accept(*args: Any) -> bytes:
        monkeypatch.setattr(client, 'get', lambda *_, **__: _raise(gone))
        return put(*args)

    monkeypatch.setattr(client, '_put', accept)
    result = run('pools', 'apply', '-', '--wait', '0.01', text=pools(4))
    assert result.exit_code == _errors.ExitCode.NOT_IN_FORCE
    assert 'version 3 is accepted' in result.stderr


def _raise(error: Exception) -> Any:
    raise error


def test_diff_shows_changes_and_exits_with_its_code(
    client: FakeClient,
) -> None:
    """A script must be able to tell a difference from a failure."""
    result = run('pools', 'diff', '-', text=pools(4))
    assert result.exit_code == _errors.ExitCode.DIFFERS
    assert result.stdout == 'pools.main.slots_per_upstream: 8 -> 4\n'
    assert run('pools', 'diff', '-', text=pools(8)).exit_code == 0
    assert not client.edit_ids


@pytest.mark.parametrize(
    ('text', 'problem'),
    [
        ('{', 'not valid JSON'),
        ('[]', 'not an object'),
        ('{}', 'has none of pools'),
        ('{"pools": [], "routes": []}', 'routes: not part of pools'),
        ('{"pools": [{"name": "other"}]}', 'routes.0.pool'),
        ('{"pools": [], "version": "1"}', 'version: not a number'),
    ],
)
def test_invalid_files_are_rejected_before_sending(
    client: FakeClient, text: str, problem: str
) -> None:
    """Problems must be listed with their paths."""
    result = run('pools', 'apply', '-', text=text)
    assert result.exit_code == _errors.ExitCode.INVALID
    assert problem in result.stderr
    assert not client.edit_ids


def test_lost_answer_is_repeated_with_the_same_edit_id(
    client: FakeClient,
) -> None:
    """A repeat under another id could apply the edit twice."""
    client.failures = [_errors.AnswerLostError('lost')]
    assert run('pools', 'apply', '-', text=pools(4)).exit_code == 0
    assert len(client.edit_ids) == 2
    assert len(set(client.edit_ids)) == 1


@pytest.mark.parametrize(
    'second',
    [
        _errors.UnreachableError('gone', _errors.ExitCode.UNREACHABLE),
        _errors.CommandError(
            'lost', _errors.ExitCode.UNKNOWN, (), core.Verdict.MAY_HAVE_RUN
        ),
    ],
)
def test_unknown_outcome_is_not_reported_as_failure(
    client: FakeClient, second: Exception
) -> None:
    """If a retry fails too, the first request may still have taken effect."""
    client.failures = [_errors.AnswerLostError('lost'), second]
    result = run('pools', 'apply', '-', '-o', 'json', text=pools(4))
    assert result.exit_code == _errors.ExitCode.UNKNOWN
    error = json.loads(result.stderr.splitlines()[-1])
    assert error['verdict'] == 'may_have_run'
    assert client.edit_ids[0] in error['details'][-1]


def test_undo_restores_the_version_before_the_last_change_of_the_scope(
    client: FakeClient,
) -> None:
    """Undo of routes must not change pools."""
    client.versions[2]['pools'] = [{**POOL, 'slots_per_upstream': 5}]
    assert run('routes', 'undo').exit_code == 0
    assert client.versions[3]['routes'] == []
    assert client.versions[3]['pools'][0]['slots_per_upstream'] == 5
    assert 'eva' in run('routes', 'history').stdout
    assert 'eva' not in run('pools', 'history').stdout


def test_edit_saves_the_text_on_a_conflict(
    client: FakeClient, monkeypatch: pytest.MonkeyPatch, tmp_path: Any
) -> None:
    """The operator's text must survive a conflict with another edit."""
    monkeypatch.setattr('tempfile.tempdir', str(tmp_path))
    texts = [pools(-1), pools(4)]
    monkeypatch.setattr(click, 'edit', lambda *_, **__: texts.pop(0))
    client.failures = [
        _errors.CommandError('changed', _errors.ExitCode.CONFLICT, ['a: b'])
    ]
    result = run('pools', 'edit', text='y\n')
    assert result.exit_code == _errors.ExitCode.CONFLICT
    assert 'pools.0.slots_per_upstream' in result.stderr
    assert 'a: b' in result.stderr
    (saved,) = tmp_path.iterdir()
    assert saved.read_text() == pools(4)


def test_edit_of_one_entry_keeps_the_others(
    client: FakeClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator with many pools must be able to edit only one."""
    client.versions[2]['pools'] = [POOL, {'name': 'other'}]
    entry = json.dumps({'name': 'other', 'queue_limit': 7})
    monkeypatch.setattr(click, 'edit', lambda *_, **__: entry)
    assert run('pools', 'edit', 'other').exit_code == 0
    limits = {p['name']: p['queue_limit'] for p in client.versions[3]['pools']}
    assert limits == {'main': 256, 'other': 7}
    assert run('pools', 'edit', 'none').exit_code == 8
    assert run('tables', 'edit', 'main').exit_code == 2


def test_check_lists_all_problems_of_a_file(tmp_path: pathlib.Path) -> None:
    """A file must be checkable without a daemon."""
    path = tmp_path / 'file.json'
    path.write_text(json.dumps({'instance_id': 'e1', 'size': 1}))
    result = run('check', str(path))
    assert result.exit_code == _errors.ExitCode.INVALID
    for field in ('failure_domain', 'region', 'size'):
        assert f'  {field}: ' in result.stderr
    path.write_text(json.dumps({'routes': [ROUTE], 'pools': [POOL]}))
    assert run('check', str(path)).stdout == f'{path}: valid tables\n'
    assert run('check', str(tmp_path / 'none')).exit_code == 4


@pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
def test_completion_scripts_are_printed(shell: str) -> None:
    """The documented completion must exist for each shell."""
    assert '_ORIOLESTAND_COMPLETE' in run('completion', shell).stdout


def _serve(handle: Callable[[Any], None]) -> http.server.HTTPServer:
    """Start an HTTP server that handles one request."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:  # noqa: N802
            handle(self)

        def do_PUT(self) -> None:  # noqa: N802
            handle(self)

        def log_message(self, *args: Any) -> None:
            return

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    threading.Thread(target=server.handle_request, daemon=True).start()
    return server


@pytest.mark.parametrize(
    ('method', 'exit_code', 'verdict'),
    [
        ('GET', _errors.ExitCode.UNREACHABLE, core.Verdict.DID_NOT_RUN),
        ('PUT', _errors.ExitCode.UNKNOWN, core.Verdict.MAY_HAVE_RUN),
    ],
)
def test_connection_lost_after_the_request(
    method: str, exit_code: _errors.ExitCode, verdict: core.Verdict
) -> None:
    """A write whose answer was lost must be reported as may have run."""
    with _serve(lambda _: None) as server:
        address = f'127.0.0.1:{server.server_port}'
        client = _client.AdminClient(['127.0.0.1:1', address])
        with pytest.raises(_errors.AnswerLostError) as caught:
            client.send(method, '/tables')
    assert caught.value.exit_code is exit_code
    assert caught.value.verdict is verdict


def test_response_of_another_server_is_reported_clearly() -> None:
    """A wrong port must give a clear message, not a traceback."""
    with _serve(lambda handler: handler.send_error(404)) as server:
        client = _client.AdminClient([f'127.0.0.1:{server.server_port}'])
        with pytest.raises(_errors.CommandError, match='admin address'):
            client.get('/tables')


def test_unreachable_daemon_error_lists_each_address() -> None:
    """The error must list each address that was tried."""
    result = run('status', '-d', '127.0.0.1:1', '-d', 'nonsense')
    assert result.exit_code == _errors.ExitCode.UNREACHABLE
    assert '127.0.0.1:1: ' in result.stderr
    assert 'nonsense: ' in result.stderr


def test_jobs_are_submitted_listed_shown_and_cancelled(
    client: FakeClient,
) -> None:
    """Each command must show the state in the daemon's answer."""
    result = run('jobs', 'submit', '-', text='{}')
    assert result.stdout == 'n1 submitted, queued\n'
    assert 'running' in run('jobs', 'list').stdout
    assert 'state         running' in run('jobs', 'show', 'n1').stdout
    assert 'requested' in run('jobs', 'cancel', 'n1').stdout
    shown = json.loads(run('jobs', 'show', 'n1', '-o', 'json').stdout)
    assert shown['name'] == 'n1'


def test_refused_job_shows_all_problems(client: FakeClient) -> None:
    """All problems of a job must be printed with their paths."""
    client.failures = [
        _errors.CommandError(
            'the job has problems',
            _errors.ExitCode.INVALID,
            ['pool: no pool is called x', 'priority: too high'],
        )
    ]
    result = run('jobs', 'submit', '-', text='{}')
    assert result.exit_code == _errors.ExitCode.INVALID
    assert 'pool: no pool is called x' in result.output
    assert 'priority: too high' in result.output
