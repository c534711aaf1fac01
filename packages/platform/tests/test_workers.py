"""Test the fencing, leases and injected faults of a simulated worker."""

import json

import pytest
from twisted.internet import defer

import oriolestand_core as core
import oriolestand_platform as platform

Status = platform.RunStatus


class WorkerHarness:
    """Send requests to a worker in virtual time."""

    def __init__(self, **kw):
        self.clock = core.ManualClock()
        self.worker = platform.MemoryWorker(self.clock.now, **kw)

    def run(self, attempt=1, epoch=0, task='t'):
        return platform.Renewal(
            task=task, attempt=attempt, epoch=epoch, lease_ms=100
        )

    def start(self, attempt=1, epoch=0, task='t', **kw):
        values = {
            'boot': self.worker.boot,
            'not_after_ms': self.clock.now() + 10,
            'payload': json.dumps({'work_ms': 1_000}),
            **kw,
        }
        run = self.run(attempt, epoch, task)
        return self.send(platform.StartRequest(run=run, **values))

    def renew(self, attempt=1, epoch=0, **kw):
        values = {
            'boot': self.worker.boot,
            'not_after_ms': self.clock.now() + 10,
            **kw,
        }
        run = self.run(attempt, epoch)
        return self.send(platform.RenewRequest(runs=(run,), **values))

    def send(self, request):
        return self.worker.handle(request).reports[0]


@pytest.fixture
def harness():
    return WorkerHarness()


def test_repeated_start_runs_once(harness):
    """A retry after a lost response must not start a second run."""
    assert harness.start().status is Status.RUNNING
    assert harness.start().status is Status.RUNNING
    assert len(harness.worker.history) == 1


@pytest.mark.parametrize('token', [(1, 5), (2, 0)])
def test_lower_attempt_or_epoch_is_fenced(harness, token):
    """A former controller must not affect the current run."""
    harness.start(attempt=2, epoch=1)
    attempt, epoch = token
    assert harness.start(attempt, epoch).status is Status.FENCED
    assert harness.renew(attempt, epoch).status is Status.FENCED
    run = harness.run(attempt, epoch)
    stop = harness.send(platform.StopRequest(run=run))
    assert stop.status is Status.FENCED
    assert harness.start(2, 1).status is Status.RUNNING


def test_late_start_or_start_for_former_boot_expires(harness):
    """A start that was delayed in transit must not begin a run."""
    harness.clock.advance(50)
    assert harness.start(not_after_ms=49).status is Status.EXPIRED
    assert harness.start(boot='former').status is Status.EXPIRED
    assert harness.worker.history == []


def test_late_renewal_does_not_extend_the_lease(harness):
    """A renewal that was delayed in transit must have no effect."""
    harness.start()
    harness.clock.advance(60)
    assert harness.renew(not_after_ms=59).status is Status.RUNNING
    harness.clock.advance(41)
    assert harness.renew().status is Status.STOPPED


def test_task_stops_when_its_lease_expires(harness):
    """A task must stop without a request when its lease is not renewed."""
    harness.start()
    harness.clock.advance(500)
    report = harness.renew()
    assert (report.status, report.ran_ms) == (Status.STOPPED, 100)


def test_stop_reports_stopped_or_finished(harness):
    """A task that finished before the stop must be reported as finished."""
    harness.start(payload=json.dumps({'work_ms': 50}))
    harness.clock.advance(60)
    stop = platform.StopRequest(run=harness.run())
    assert harness.send(stop).status is Status.FINISHED
    harness.start(attempt=2)
    stop = platform.StopRequest(run=harness.run(attempt=2))
    assert harness.send(stop).status is Status.STOPPED


def test_only_complete_checkpoints_are_reported(harness):
    """A task must not be resumed from an incomplete checkpoint."""
    harness.worker.faults.checkpoint_ms = 30
    harness.start()
    harness.clock.advance(20)
    report = harness.send(platform.CheckpointRequest(run=harness.run()))
    assert (report.checkpoint, report.is_saving) == ('', True)
    harness.clock.advance(30)
    report = harness.renew()
    assert (report.checkpoint, report.is_saving) == ('20', False)
    harness.send(platform.CheckpointRequest(run=harness.run()))
    report = harness.send(platform.StopRequest(run=harness.run()))
    assert report.checkpoint == '20'


def test_throttled_task_takes_longer(harness):
    """A task at half speed must need twice the time to finish."""
    harness.start(payload=json.dumps({'work_ms': 80}))
    harness.send(platform.ThrottleRequest(run=harness.run(), percent=50))
    harness.clock.advance(90)
    assert harness.renew().status is Status.RUNNING
    harness.clock.advance(80)
    assert harness.renew().status is Status.FINISHED


def test_refused_attempt_stays_refused():
    """A late retry must not start an attempt that was refused."""
    harness = WorkerHarness(slots=2, memory_mb=100)
    assert harness.start(slots=2).status is Status.RUNNING
    assert harness.start(task='u').status is Status.REFUSED
    harness.send(platform.StopRequest(run=harness.run()))
    assert harness.start(task='u').status is Status.REFUSED
    assert harness.start(task='v', memory_mb=101).status is Status.REFUSED


def test_usage_is_reported_with_a_delay(harness):
    """Reported usage must be as old as the platform's measurements are."""
    harness.worker._usage_lag_ms = 50
    harness.start()
    reply = harness.worker.handle(platform.UsageRequest())
    assert reply.usage == ()
    harness.clock.advance(60)
    reply = harness.worker.handle(platform.UsageRequest())
    assert [u.task for u in reply.usage] == ['t']
    assert reply.usage_as_of_ms == 10


def test_failing_worker_fails_each_task(harness):
    """The ``fails_tasks`` fault must fail each task that is started."""
    harness.worker.faults.fails_tasks = True
    assert harness.start().status is Status.FAILED


def call(harness, request):
    workers = platform.MemoryWorkers()
    workers.workers['w'] = harness.worker
    results = []
    fut = defer.ensureDeferred(workers.call('w', request))
    fut.addBoth(results.append)
    return results[0]


@pytest.mark.parametrize(
    ('fault', 'value', 'error', 'has_effect'),
    [
        ('hangs', True, platform.WorkerTimeoutError, False),
        ('loses_answers', 1, platform.WorkerTimeoutError, True),
        ('is_gone', True, platform.WorkerUnreachableError, False),
    ],
)
def test_connection_faults_raise_the_matching_error(
    harness, fault, value, error, has_effect
):
    """The error must tell a caller whether the request took effect."""
    setattr(harness.worker.faults, fault, value)
    request = platform.StartRequest(
        run=harness.run(), boot=harness.worker.boot, not_after_ms=10
    )
    failure = call(harness, request)
    assert failure.type is error
    assert bool(harness.worker.history) is has_effect
