"""Test the admin interface through its HTTP site in memory."""

import json
from typing import Any

import pytest
from twisted.internet import testing

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.admin import _task
from oriolestand_daemon.services.admin import const
from oriolestand_daemon.services.batch import errors as batch_errors
from oriolestand_daemon.services.tables import errors
import oriolestand_models as models

CFG = settings.parse_settings(
    {'instance_id': 'e1', 'failure_domain': 'a', 'region': 'north'}
)
DOCUMENT = {'version': 3, 'routes': [{'name': 'r', 'pool': 'p'}], 'pools': []}


class FakeTables(core.Task):
    """A tables service that records edits and returns fixed replies."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'tables')
        self.edits: list[Any] = []
        self.error: Exception | None = None
        self.is_known = True

    @core.handles(config.ApplyDocument)
    @core.handles(config.EditEntry)
    @core.handles(config.UndoEdit)
    def _on_edit(self, msg: Any) -> bytes:
        if self.error is not None:
            raise self.error
        self.edits.append(msg)
        return json.dumps(DOCUMENT).encode()

    @core.handles(config.GetDocument)
    def _on_get(self, msg: config.GetDocument) -> bytes:
        return json.dumps(DOCUMENT).encode()

    @core.handles(config.GetHistory)
    def _on_history(self, msg: config.GetHistory) -> Any:
        entry = config.HistoryEntry(
            version=3, edited_by='x', edit_id='i', digest='d', changes=()
        )
        return (entry,) * min(msg.limit, 2)

    @core.handles(config.GetInstances)
    def _on_instances(self, msg: config.GetInstances) -> Any:
        return ()

    @core.handles(config.GetTablesStatus)
    def _on_status(self, msg: config.GetTablesStatus) -> config.TablesStatus:
        return config.TablesStatus(
            version=3,
            digest='d',
            is_known=self.is_known,
            store_version=3,
            store_error='',
            conflicting_digest='',
            adoptions=(),
        )


class FakeDispatch(core.Task):
    """A dispatch service without pools."""

    @core.handles(dispatch.GetDispatchStatus)
    def _on_status(self, msg: dispatch.GetDispatchStatus) -> dict[str, Any]:
        return {}


class FakeBatch(core.Task):
    """A batch service that echoes messages and refuses invalid jobs."""

    @core.handles(batch.SubmitJob)
    @core.handles(batch.ListJobs)
    @core.handles(batch.GetJob)
    @core.handles(batch.CancelJob)
    def _on_message(self, msg: Any) -> Any:
        if isinstance(msg, batch.SubmitJob) and msg.document == b'bad':
            raise batch_errors.InvalidJobError(['pool: missing', 'name: bad'])
        return {'type': type(msg).__name__, 'message': str(msg)}


class FakeTelemetry(core.Task):
    """A telemetry service with fixed replies."""

    @core.handles(telemetry.GetMetrics)
    def _on_metrics(self, msg: telemetry.GetMetrics) -> bytes:
        return b'up 1\n'

    @core.handles(telemetry.GetTrace)
    def _on_trace(self, msg: telemetry.GetTrace) -> Any:
        return ({'name': 'hop'},) if msg.trace_id == 'ab' else ()


class Admin:
    """An admin service and a client that sends it requests."""

    def __init__(self) -> None:
        self.reactor: Any = testing.MemoryReactorClock()
        self.kernel = core.Kernel(core.ManualClock(), reactor=self.reactor)
        self.tables = FakeTables(self.kernel)
        self.kernel.register('tables', self.tables)
        self.kernel.register('dispatch', FakeDispatch(self.kernel, 'dispatch'))
        self.task = _task.AdminTask(self.kernel, CFG)

    def call(
        self, method: str, path: str, body: bytes = b'', extra: str = ''
    ) -> tuple[int, str, bytes]:
        """Send a request; return status, head and body of the response."""
        protocol = self.task.make_site().buildProtocol(None)
        transport = testing.StringTransport()
        protocol.makeConnection(transport)
        head = (
            f'{method} {path} HTTP/1.0\r\n'
            f'Content-Length: {len(body)}\r\n{extra}\r\n'
        )
        protocol.dataReceived(head.encode() + body)
        top, _, rest = transport.value().partition(b'\r\n\r\n')
        return int(top.split()[1]), top.decode(), rest

    def json(self, method: str, path: str, **kwargs: Any) -> tuple[int, Any]:
        status, _, body = self.call(method, path, **kwargs)
        return status, json.loads(body)


@pytest.fixture
def admin() -> Admin:
    return Admin()


def test_listens_on_loopback_unless_set_otherwise(admin: Admin) -> None:
    """The interface has no authentication, so it must not be exposed."""
    setattr(admin.reactor, 'listenTCP', record := Recorder())  # noqa: B010
    admin.task.start()
    assert record.interface == '127.0.0.1'


class Recorder:
    """A replacement for listenTCP that records the interface."""

    interface = ''

    def __call__(self, port: int, site: Any, interface: str) -> Any:
        self.interface = interface
        return testing.MemoryReactor().listenTCP(port, site)


def test_readiness_follows_tables_and_shutdown(admin: Admin) -> None:
    """The load balancer must not use a daemon without tables."""
    assert admin.call('GET', '/ready')[0] == 200
    assert admin.call('HEAD', '/ready')[::2] == (200, b'')
    admin.tables.is_known = False
    assert admin.call('GET', '/ready')[0] == 503
    admin.tables.is_known = True
    admin.task.is_leaving = True
    assert b'shutting down' in admin.call('GET', '/ready')[2]
    assert admin.call('GET', '/live')[0] == 200


def test_status_shows_version_and_digest(admin: Admin) -> None:
    """Operators and other tests compare daemons by these fields."""
    _, status = admin.json('GET', '/status')
    assert (status['version'], status['digest']) == (3, 'd')
    assert status['ready'] is True


def test_edits_forward_all_parameters(admin: Admin) -> None:
    """Conflict checks need the base version and the edit id."""
    query = 'base_version=3&edited_by=me&edit_id=x'
    assert admin.call('PUT', f'/tables?{query}', b'{}')[0] == 200
    assert admin.call('PUT', f'/tables/pools/a%2Fb?{query}', b'{}')[0] == 200
    assert admin.call('DELETE', '/tables/routes/r')[0] == 200
    assert admin.call('POST', f'/tables/undo?version=1&{query}')[0] == 200
    whole, entry, removal, undo = admin.tables.edits
    for edit in (whole, entry, undo):
        assert (edit.base_version, edit.edited_by, edit.edit_id) == (
            3,
            'me',
            'x',
        )
    assert (entry.table, entry.name, entry.entry) == ('pools', 'a/b', b'{}')
    assert (removal.entry, removal.base_version) == (None, None)
    assert undo.version == 1


@pytest.mark.parametrize(
    ('method', 'path', 'code'),
    [
        ('PUT', '/tables', 'bad_request'),
        ('PUT', '/tables?base_version=-1', 'bad_request'),
        ('PUT', '/tables?base_version=x', 'bad_request'),
        ('PUT', '/tables?base_version=1&edit_id=' + 'x' * 65, 'bad_request'),
        ('POST', '/tables/undo', 'bad_request'),
        ('GET', '/tables/history?limit=%FF', 'bad_request'),
        ('PATCH', '/tables', 'unknown_method'),
        ('DELETE', '/tables/routes', 'unknown_method'),
        ('POST', '/status', 'unknown_method'),
        ('GET', '/', 'unknown_path'),
        ('GET', '/nothing', 'unknown_path'),
        ('GET', '/tables/other', 'unknown_path'),
        ('GET', '/tables/routes/r/x', 'unknown_path'),
        ('GET', '/tables/routes/none', 'unknown_entry'),
        ('GET', '/metrics', 'service_not_loaded'),
        ('GET', '/traces/ab', 'service_not_loaded'),
    ],
)
def test_invalid_requests_are_refused_with_a_code(
    admin: Admin, method: str, path: str, code: str
) -> None:
    """Invalid requests must yield a clear error and change nothing."""
    status, body = admin.json(method, path)
    assert (body['code'], body['verdict']) == (code, 'did_not_run')
    assert 400 <= status < 500
    assert not admin.tables.edits


def test_errors_of_edits_include_their_details(admin: Admin) -> None:
    """Operators need all problems, and the changes made meanwhile."""
    path = '/tables?base_version=1'
    admin.tables.error = models.InvalidTablesError(['a: x', 'b: y'])
    status, body = admin.json('PUT', path)
    assert (status, body['problems']) == (400, ['a: x', 'b: y'])
    admin.tables.error = errors.EditConflictError(
        'changed', ['r: 1 -> 2'], current_version=4
    )
    status, body = admin.json('PUT', path)
    assert (status, body['changes']) == (409, ['r: 1 -> 2'])
    assert body['values'] == {'current_version': 4}
    admin.tables.error = ValueError('bug')
    status, body = admin.json('PUT', path)
    assert (status, body['verdict']) == (500, 'may_have_run')


def test_long_bodies_and_web_pages_are_refused(admin: Admin) -> None:
    """Requests with too long bodies or from browsers must not edit."""
    path = '/tables?base_version=1'
    body = b'x' * (const.MAX_BODY_BYTES + 1)
    assert admin.json('PUT', path, body=body)[1]['code'] == 'body_too_long'
    origin = 'Origin: http://elsewhere\r\n'
    assert admin.json('POST', path, extra=origin)[0] == 403
    assert not admin.tables.edits


def test_tables_history_instances_and_telemetry(admin: Admin) -> None:
    """All views are JSON except for metrics, which are text."""
    _, routes = admin.json('GET', '/tables/routes/')
    assert routes == {'version': 3, 'routes': DOCUMENT['routes']}
    assert admin.json('GET', '/tables/routes/r')[1]['pool'] == 'p'
    assert admin.json('GET', '/tables/history?limit=1')[1][0]['version'] == 3
    assert admin.json('GET', '/instances')[1] == {'instances': []}
    telemetry_task = FakeTelemetry(admin.kernel, 'telemetry')
    admin.kernel.register('telemetry', telemetry_task)
    _, head, body = admin.call('GET', '/metrics')
    assert 'text/plain' in head and body == b'up 1\n'
    assert admin.json('GET', '/traces/ab')[1]['spans'] == [{'name': 'hop'}]
    assert admin.json('GET', '/traces/cd')[1]['code'] == 'unknown_trace'


def test_job_requests_forward_all_parameters(admin: Admin) -> None:
    """The batch service must get each request with its parameters."""
    admin.kernel.register('batch', FakeBatch(admin.kernel, 'batch'))
    _, body = admin.json('POST', '/jobs', body=b'{}')
    assert body['type'] == 'SubmitJob'
    _, body = admin.json('GET', '/jobs?prefix=n&state=done&limit=3')
    expected = batch.ListJobs(prefix='n', state='done', limit=3)
    assert body['jobs']['message'] == str(expected)
    _, body = admin.json('GET', '/jobs/n1')
    assert body['message'] == str(batch.GetJob(name='n1'))
    _, body = admin.json('DELETE', '/jobs/n1')
    assert body['message'] == str(batch.CancelJob(name='n1'))


def test_errors_of_jobs_include_all_problems(admin: Admin) -> None:
    """Operators need all problems of a submission at once."""
    admin.kernel.register('batch', FakeBatch(admin.kernel, 'batch'))
    status, body = admin.json('POST', '/jobs', body=b'bad')
    assert (status, body['code']) == (422, 'invalid_job')
    assert body['problems'] == ['pool: missing', 'name: bad']
    assert admin.json('PUT', '/jobs')[1]['code'] == 'unknown_method'
    assert admin.json('GET', '/jobs/a/b')[1]['code'] == 'unknown_path'
