"""Guard what a worker accepts and how its faults show."""

import json

import pytest
from twisted.internet import defer

import oriolestand_core as core
import oriolestand_platform as platform

Status = platform.RunStatus


class Rig:
    """Send requests to one worker in virtual time."""

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
def rig():
    return Rig()


def test_repeated_start_runs_once(rig):
    """A repeat after a lost answer must not start a second run."""
    assert rig.start().status is Status.RUNNING
    assert rig.start().status is Status.RUNNING
    assert len(rig.worker.history) == 1


@pytest.mark.parametrize('lower', [(1, 5), (2, 0)])
def test_lower_attempt_or_epoch_is_fenced(rig, lower):
    """A former controller must have no effect on the present run."""
    rig.start(attempt=2, epoch=1)
    attempt, epoch = lower
    assert rig.start(attempt, epoch).status is Status.FENCED
    assert rig.renew(attempt, epoch).status is Status.FENCED
    run = rig.run(attempt, epoch)
    stop = rig.send(platform.StopRequest(run=run))
    assert stop.status is Status.FENCED
    assert rig.start(2, 1).status is Status.RUNNING


def test_start_past_its_window_or_for_a_former_boot_expires(rig):
    """A start that was delayed on its way must not begin a run."""
    rig.clock.advance(50)
    assert rig.start(not_after_ms=49).status is Status.EXPIRED
    assert rig.start(boot='former').status is Status.EXPIRED
    assert rig.worker.history == []


def test_renewal_past_its_window_extends_nothing(rig):
    """A delayed renewal must not extend a lease."""
    rig.start()
    rig.clock.advance(60)
    assert rig.renew(not_after_ms=59).status is Status.RUNNING
    rig.clock.advance(41)
    assert rig.renew().status is Status.STOPPED


def test_lapsed_lease_stops_the_task_at_the_lapse(rig):
    """A task without renewals must stop by itself."""
    rig.start()
    rig.clock.advance(500)
    report = rig.renew()
    assert (report.status, report.ran_ms) == (Status.STOPPED, 100)


def test_stop_answers_either_stopped_or_finished(rig):
    """A task that finished must not be reported as stopped."""
    rig.start(payload=json.dumps({'work_ms': 50}))
    rig.clock.advance(60)
    stop = platform.StopRequest(run=rig.run())
    assert rig.send(stop).status is Status.FINISHED
    rig.start(attempt=2)
    stop = platform.StopRequest(run=rig.run(attempt=2))
    assert rig.send(stop).status is Status.STOPPED


def test_only_a_whole_checkpoint_is_reported(rig):
    """A checkpoint in progress must not be resumed from."""
    rig.worker.faults.checkpoint_ms = 30
    rig.start()
    rig.clock.advance(20)
    report = rig.send(platform.CheckpointRequest(run=rig.run()))
    assert (report.checkpoint, report.is_saving) == ('', True)
    rig.clock.advance(30)
    report = rig.renew()
    assert (report.checkpoint, report.is_saving) == ('20', False)
    rig.send(platform.CheckpointRequest(run=rig.run()))
    report = rig.send(platform.StopRequest(run=rig.run()))
    assert report.checkpoint == '20'


def test_throttled_task_takes_longer(rig):
    """A throttle must slow the task down and nothing else."""
    rig.start(payload=json.dumps({'work_ms': 80}))
    rig.send(platform.ThrottleRequest(run=rig.run(), percent=50))
    rig.clock.advance(90)
    assert rig.renew().status is Status.RUNNING
    rig.clock.advance(80)
    assert rig.renew().status is Status.FINISHED


def test_task_that_does_not_fit_is_refused_for_good():
    """A refused attempt must not start from a late repeat."""
    rig = Rig(slots=2, memory_mb=100)
    assert rig.start(slots=2).status is Status.RUNNING
    assert rig.start(task='u').status is Status.REFUSED
    rig.send(platform.StopRequest(run=rig.run()))
    assert rig.start(task='u').status is Status.REFUSED
    assert rig.start(task='v', memory_mb=101).status is Status.REFUSED


def test_usage_lags(rig):
    """Usage must show the past, as the platform's measurements do."""
    rig.worker._usage_lag_ms = 50
    rig.start()
    reply = rig.worker.handle(platform.UsageRequest())
    assert reply.usage == ()
    rig.clock.advance(60)
    reply = rig.worker.handle(platform.UsageRequest())
    assert [u.task for u in reply.usage] == ['t']
    assert reply.usage_as_of_ms == 10


def test_worker_that_fails_tasks(rig):
    """The switch must fail each task that is started."""
    rig.worker.faults.fails_tasks = True
    assert rig.start().status is Status.FAILED


def call(rig, request):
    workers = platform.MemoryWorkers()
    workers.workers['w'] = rig.worker
    results = []
    fut = defer.ensureDeferred(workers.call('w', request))
    fut.addBoth(results.append)
    return results[0]


@pytest.mark.parametrize(
    ('fault', 'value', 'error', 'acts'),
    [
        ('hangs', True, platform.WorkerTimeoutError, False),
        ('loses_answers', 1, platform.WorkerTimeoutError, True),
        ('is_gone', True, platform.WorkerUnreachableError, False),
    ],
)
def test_faults_of_the_connection(rig, fault, value, error, acts):
    """Each switch must show the verdict that a caller can rely on."""
    setattr(rig.worker.faults, fault, value)
    request = platform.StartRequest(
        run=rig.run(), boot=rig.worker.boot, not_after_ms=10
    )
    failure = call(rig, request)
    assert failure.type is error
    assert bool(rig.worker.history) is acts
