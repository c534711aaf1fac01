"""Tests of the HTTP answers to callers and readiness checks."""

import json

import pytest
from twisted.internet import defer
from twisted.internet import testing

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import lifecycle
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services import frontend
from oriolestand_fleet.services.frontend import const
from oriolestand_policy import scheduling
from oriolestand_standins import fleet

JOB = '5c0e7a21d94b36f8'
UNKNOWN_JOB = 'f' * 16


class _Codec(settings.JobCodec):
    content_type = 'application/json'

    def decode_job(self, body, job, route, accepted_ms):
        if body == b'bad':
            raise scheduling.InvalidJobError('the body is not a job')
        return scheduling.JobSpec(
            id=job,
            route=route,
            payload='',
            steps=(scheduling.StepSpec(count=1),),
        )

    def encode_state(self, state):
        return json.dumps({'state': state}).encode()

    def encode_waiting(self, count):
        return json.dumps({'waiting': count}).encode()

    def encode_error(self, code, message, verdict):
        return json.dumps({'code': code, 'verdict': verdict}).encode()


class _Telemetry(core.Task):
    @core.handles(telemetry.Count)
    def _on_count(self, msg):
        pass


class _Jobs(core.Task):
    """Record requests and reply with a configured answer."""

    def __init__(self, kernel):
        super().__init__(kernel, 'jobs')
        self.received = []
        self.answer = defer.succeed(True)
        self.places = {}

    @core.handles(jobs.FindJob)
    def _on_find(self, msg):
        if msg.job == UNKNOWN_JOB:
            raise jobs.StateUnknownError('the store is out of reach')
        return self.places.get(msg.job) == msg.route.path

    @core.handles(jobs.SubmitJob)
    @core.handles(jobs.GetState)
    @core.handles(jobs.CancelJob)
    @core.handles(jobs.CountWaiting)
    def _on_any(self, msg):
        self.received.append(msg)
        return self.answer


class _FrontendHarness:
    def __init__(self, pass_ms=0):
        self.clock = core.ManualClock(start=1_000)
        self.reactor = testing.MemoryReactorClock()
        clock = fleet.SlowClock(self.clock, pass_ms) if pass_ms else self.clock
        self.kernel = core.Kernel(clock, reactor=self.reactor)
        self.jobs = _Jobs(self.kernel)
        self.kernel.register('jobs', self.jobs)
        self.kernel.register('telemetry', _Telemetry(self.kernel, 'telemetry'))
        address = settings.Address(host='127.0.0.1', port=1)
        cfg = settings.FleetSettings(
            instance='a',
            failure_domain='d',
            front=address,
            ready=address,
            metrics=address,
            limits=settings.Limits(
                lease_max_ms=6_000,
                retention_ms=1,
                shutdown_ms=6_000,
                row_bytes=1,
            ),
            log=settings.LogSettings(),
            codec=_Codec(),
        )
        self.task = frontend.setup(self.kernel, cfg)
        self.task.start()
        self.kernel.register('frontend', self.task)

    def configure(self):
        routes = tuple(
            store.Route(
                host='jobs.test',
                prefix=prefix,
                policy=scheduling.RoutePolicy(name=name, pool='p'),
            )
            for prefix, name in (('/j/', 'short'), ('/j/long/', 'long'))
        )
        self.kernel.publish(
            config.ConfigChanged(
                config=store.FleetConfig(
                    version=3,
                    routes=routes,
                    header_bytes=16_384,
                    body_bytes=100,
                    header_timeout_ms=3_000,
                    idle_timeout_ms=15_000,
                )
            ),
            is_state=True,
        )

    def open(self, listener=0):
        factory = self.reactor.tcpServers[listener][1]
        channel = factory.buildProtocol(None)
        transport = testing.StringTransport()
        channel.makeConnection(transport)
        return channel, transport

    def send(self, line, body=b'', headers=(), channel=None, listener=0):
        found = channel or self.open(listener)
        lines = [f'{line} HTTP/1.1', 'Host: jobs.test', *headers]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        found[0].dataReceived('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        return found

    def status(self, *args, **kwargs):
        _, transport = self.send(*args, **kwargs)
        return int(transport.value().split(b' ')[1])


@pytest.fixture
def front():
    """Return a frontend with a configuration."""
    front = _FrontendHarness()
    front.configure()
    return front


def test_job_is_stored_before_the_answer(front):
    # A job must not be acknowledged before the store has it.
    front.jobs.answer = defer.Deferred()
    channel, transport = front.send(f'POST /j/{JOB}', b'{}')
    assert transport.value() == b''
    front.jobs.answer.callback(True)
    assert transport.value().startswith(b'HTTP/1.1 200')
    assert front.jobs.received[0].spec.id == JOB


def test_longest_prefix_wins(front):
    # A job must not be queued for a route with a shorter prefix.
    front.send(f'POST /j/long/{JOB}', b'{}')
    assert front.jobs.received[0].spec.route == 'long'


@pytest.mark.parametrize(
    'line', [f'{m} /j/long/{JOB}' for m in ('POST', 'GET', 'DELETE')]
)
def test_requests_carry_the_path_of_their_route(front, line):
    # With the name of the route alone, a job of a renamed route was answered
    # 410, and one could be found under the path of another route.
    front.send(line, b'{}')
    (request,) = front.jobs.received
    assert request.route.path == 'jobs.test/j/long/'


@pytest.mark.parametrize(
    ('line', 'body', 'expected'),
    [
        (f'POST /none/{JOB}', b'{}', 404),
        ('POST /j/../etc/passwd0000', b'{}', 400),
        (f'PATCH /j/{JOB}', b'{}', 400),
        (f'POST /j/{JOB}', b'bad', 400),
        ('POST /j/', b'{}', 400),
        (f'POST /j/{JOB}', b'x' * 101, 413),
    ],
)
def test_invalid_requests_are_refused(front, line, body, expected):
    # Invalid input must neither be stored nor leave the request open.
    assert front.status(line, body) == expected
    assert front.jobs.received == []


def test_no_configuration_is_unavailable():
    # A 404 would be wrong while the routes are not loaded yet.
    assert _FrontendHarness().status(f'POST /j/{JOB}', b'{}') == 503


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        (f'POST /j/{JOB}', 200),
        (f'GET /j/{JOB}', 503),
        (f'DELETE /j/{JOB}', 503),
        (f'POST /other/{JOB}', 503),
        (f'POST /j/x{JOB}', 503),
        (f'POST /j/{JOB[1:]}', 503),
        (f'POST /j/{UNKNOWN_JOB}', 503),
    ],
)
def test_repeated_submission_without_a_configuration(line, expected):
    # A caller was told that its job did not run, although another daemon had
    # accepted it.
    front = _FrontendHarness()
    front.jobs.places[JOB] = 'jobs.test/j/'
    assert front.status(line, b'{}') == expected


def test_unexpected_error_leaves_a_job_in_doubt(front):
    # A caller was told that its job had not run, although an unexpected error
    # may come after the job was stored.
    front.jobs.answer = defer.fail(RuntimeError('unexpected'))
    _, transport = front.send(f'POST /j/{JOB}', b'{}')
    assert int(transport.value().split(b' ')[1]) == 500
    assert b'"verdict": "may_have_run"' in transport.value()


@pytest.mark.parametrize(
    ('error', 'status'),
    [
        (jobs.JobInDoubtError('?'), 504),
        (jobs.StateUnknownError('?'), 503),
    ],
)
def test_verdicts_become_statuses(front, error, status):
    # A job that may have been stored must not be reported as refused.
    front.jobs.answer = defer.fail(error)
    _, transport = front.send(f'POST /j/{JOB}', b'{}')
    assert int(transport.value().split(b' ')[1]) == status
    has_hint = b'retry-after' in transport.value().lower()
    assert has_hint == (status == 503)


def test_refused_caller_is_told_when_the_owner_may_have_caught_up(front):
    # A caller that returns earlier adds to the work of the daemons.
    front.jobs.answer = defer.fail(
        jobs.OwnerOverloadedError('?', retry_after_s=4, job=JOB)
    )
    _, transport = front.send(f'POST /j/{JOB}', b'{}')
    assert int(transport.value().split(b' ')[1]) == 503
    assert b'retry-after: 4\r\n' in transport.value().lower()
    assert b'"verdict": "did_not_run"' in transport.value()


def test_state_and_count_are_returned(front):
    # The answers must be in the format that callers expect.
    front.jobs.answer = defer.succeed(jobs.JobState.RUNNING)
    _, transport = front.send(f'GET /j/{JOB}')
    assert transport.value().endswith(b'{"state": "running"}')
    front.jobs.answer = defer.succeed(None)
    assert front.status(f'GET /j/{JOB}') == 410
    front.jobs.answer = defer.succeed(4)
    _, transport = front.send('GET /j/')
    assert transport.value().endswith(b'{"waiting": 4}')


@pytest.mark.parametrize('read_ms', [0, 50])
def test_deadline_counts_from_the_beginning_of_a_pause(read_ms):
    # A request that waited in a daemon that stood still was stored after its
    # caller had given up and cancelled the job at another daemon.
    front = _FrontendHarness(pass_ms=4_000)
    front.configure()
    front.clock.advance(4_000 - front.clock.now() % 4_000)
    began_ms = front.clock.now()
    front.clock.advance(3_990)
    if read_ms:
        # After the timers of the first pass.
        front.clock.advance(10 + read_ms)
    front.send(f'POST /j/{JOB}', b'{}', headers=('X-Deadline-Ms: 700',))
    assert front.jobs.received[0].deadline_ms == began_ms + 700


def test_deadline_of_the_caller_is_passed_on(front):
    # An answer after the deadline would reach no caller.
    front.send(f'POST /j/{JOB}', b'{}', ['X-Deadline-Ms: 700'])
    assert front.jobs.received[0].deadline_ms == 1_700


def test_ready_only_with_configuration_and_store():
    # Callers must not be sent to a daemon that cannot store jobs.
    front = _FrontendHarness()
    assert front.status('GET /readiness', listener=1) == 503
    front.configure()
    assert front.status('GET /readiness', listener=1) == 503
    synced = jobs.ReplicaSyncAttempted(is_reachable=True, is_complete=True)
    front.kernel.publish(synced)
    assert front.status('GET /readiness', listener=1) == 200
    front.clock.advance(const.SYNC_GRACE_MS + 1_001)
    assert front.status('GET /readiness', listener=1) == 503


def test_shutdown_answers_requests_in_progress(front):
    # A planned shutdown must not interrupt requests.
    front.jobs.answer = defer.Deferred()
    channel, transport = front.send(f'POST /j/{JOB}', b'{}')
    idle, idle_transport = front.open()
    front.kernel.publish(lifecycle.ShutdownStarted(), is_state=True)
    done = []
    fut = front.kernel.ask('frontend', lifecycle.DrainConnections())
    fut.addCallback(done.append)
    front.clock.advance(const.DRAIN_SERVE_MS + const.DRAIN_IDLE_MS + 100)
    assert idle_transport.disconnecting
    assert not transport.disconnecting
    assert not done
    front.jobs.answer.callback(True)
    assert b'200' in transport.value()
    assert b'connection: close' in transport.value().lower()
    for each in (channel, idle):
        each.connectionLost()
    front.clock.advance(const.DRAIN_POLL_MS * 2)
    assert done == [None]


def test_shutdown_answers_requests_that_were_received_in_a_pause(front):
    # After a pause of the process the reactor calls due timers before it
    # reads from sockets: a connection was closed as idle with a request in
    # its buffer, which got no answer.
    front.jobs.answer = True
    channel, transport = front.open()
    front.kernel.publish(lifecycle.ShutdownStarted(), is_state=True)
    front.kernel.ask('frontend', lifecycle.DrainConnections())
    front.clock.advance(const.DRAIN_SERVE_MS - 10)
    is_closed_before = []

    def read():
        is_closed_before.append(transport.disconnecting)
        front.send(f'POST /j/{JOB}', b'{}', channel=(channel, transport))

    front.clock._now += const.DRAIN_IDLE_MS
    # Runs after the timers that became due during the pause.
    front.clock.call_later(0, read)
    front.clock.advance(0)
    assert is_closed_before == [False]
    assert b'200' in transport.value()


def test_disconnected_caller_gets_no_answer(front):
    # Answering a request whose connection is closed must not fail.
    front.jobs.answer = defer.Deferred()
    channel, transport = front.send(f'POST /j/{JOB}', b'{}')
    channel.connectionLost()
    front.jobs.answer.callback(True)
    assert transport.value() == b''
