"""Starts that may be carried out late, across a change of owner."""

import json

import pytest

from oriolestand_policy import scheduling

LEASE_MS = 6_000
LATE_MS = 12_000 + 6_623
"""A late order, and then a lease on a slow clock with its margin."""

IN_DOUBT = scheduling.StartOutcome.IN_DOUBT
PLAIN = scheduling.StepSpec(count=1, cpu=1_000)
SERVICE = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)


class Successor:
    """A scheduler that loads the record of a job of a former owner."""

    def __init__(self, harness, progress, step=PLAIN, now=0):
        self.now = now
        self.scheduler = scheduling.Scheduler(33, LEASE_MS)
        self.scheduler.set_routes(
            [scheduling.RoutePolicy(name='r', pool='p', max_attempts=2)]
        )
        self.infos = harness.infos
        self.scheduler.set_workers(self.infos)
        self.scheduler.mark_workers_recorded(self.infos)
        self.scheduler.add_job(
            scheduling.JobSpec(id='j', route='r', payload='x', steps=(step,)),
            now,
            progress=json.loads(json.dumps(progress)),
            needs_probe=True,
        )
        self.report('w1')

    def report(self, worker, running=()):
        """Apply a report of a worker to a poll that is sent now."""
        self.scheduler.on_worker_report(
            worker,
            scheduling.WorkerReport(
                clock_ms=self.now,
                process_start_ms=1,
                running=tuple(running),
                ended=(),
            ),
            self.now,
            self.now,
        )

    def decide(self):
        """Let the takeover be complete; return where tasks start."""
        self.report('w1')
        self.scheduler.new_lease_end('w1', self.now)
        self.scheduler.decide(self.now, 0, scheduling.FormerRuns())
        effects = self.scheduler.take_effects()
        return [e for e in effects if isinstance(e, scheduling.StartTask)]


def give_up_start(harness, step=PLAIN):
    """Let a start on w0 get no answer; return it and the jobs to save."""
    harness.scheduler.take_effects()
    harness.add('j', step)
    harness.scheduler.workers['w1'].backoff_until_ms = harness.now + 1
    (start,), _ = harness.decide()
    assert start.worker == 'w0'
    harness.now += 1_200
    harness.answer(start, IN_DOUBT)
    effects = harness.scheduler.take_effects()
    saved = [e.job for e in effects if isinstance(e, scheduling.SaveJob)]
    return start, saved


def record_of(harness):
    """Return the record of the job."""
    return scheduling.progress_of(harness.scheduler.jobs['j'])


def test_start_that_was_given_up_is_stored_once(harness):
    # Guards against a successor that does not know of it, and against a store
    # that is written more than once for it.
    start, saved = give_up_start(harness)
    assert saved == ['j']
    assert record_of(harness)['late'] == [
        [0, 0, 0, 'w0', start.run, harness.now + LATE_MS]
    ]
    harness.now += 100
    harness.decide()
    effects = harness.scheduler.take_effects()
    assert not [e for e in effects if isinstance(e, scheduling.SaveJob)]


def test_start_that_was_answered_is_not_stored(harness):
    # Guards against a write for each start in calm times.
    harness.scheduler.take_effects()
    harness.add('j', PLAIN)
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.poll('w0')
    harness.poll('w1')
    assert 'late' not in record_of(harness)


@pytest.mark.parametrize('step', [PLAIN, SERVICE])
@pytest.mark.parametrize('is_time_known', [True, False])
def test_successor_waits_for_a_late_start(harness, step, is_time_known):
    # Guards against a second run beside one whose start the next incarnation
    # of a worker that cannot be reached carries out late.
    start, _ = give_up_start(harness, step)
    begin_ms = harness.now
    progress = record_of(harness)
    late_ms = begin_ms + LATE_MS
    load_ms = begin_ms + 3_000
    if not is_time_known:
        progress['late'][0][-1] = 0
        late_ms = load_ms + LATE_MS
    successor = Successor(harness, progress, step, load_ms)
    while successor.now <= late_ms:
        assert successor.decide() == []
        successor.now += 100
    starts = successor.decide()
    assert [(x.key, x.worker) for x in starts] == [(start.key, 'w1')]


def test_successor_does_not_wait_once_the_worker_has_reported(harness):
    # Guards against a wait for a worker that refuses late starts.
    _, _ = give_up_start(harness)
    successor = Successor(harness, record_of(harness), now=harness.now)
    assert successor.decide() == []
    successor.report('w0')
    assert len(successor.decide()) == 1


def test_successor_does_not_wait_for_a_worker_that_is_gone(harness):
    # Guards against tasks that wait for a worker without an entry.
    _, _ = give_up_start(harness)
    successor = Successor(harness, record_of(harness), now=harness.now)
    successor.scheduler.remove_worker('w0', 'never answered')
    assert len(successor.decide()) == 1


def test_successor_does_not_wait_for_a_start_that_is_too_late(harness):
    # Guards against a wait for what an old record holds.
    _, _ = give_up_start(harness)
    late_ms = harness.now + LATE_MS
    successor = Successor(harness, record_of(harness), now=late_ms + 1)
    assert len(successor.decide()) == 1


def test_wait_does_not_begin_anew_with_each_successor(harness):
    # Guards against a task that waits as long as owners change.
    _, _ = give_up_start(harness)
    late = record_of(harness)['late']
    successor = Successor(harness, record_of(harness), now=harness.now + 9_000)
    assert scheduling.progress_of(successor.scheduler.jobs['j'])['late'] == (
        late
    )


@pytest.mark.parametrize('how', ['listed', 'ended', 'adopted'])
def test_start_that_was_carried_out_is_not_late(harness, how):
    # Guards against a task that waits after its worker is lost, as a start
    # that was carried out is taken for one that may follow.
    start, _ = give_up_start(harness)
    listed = scheduling.RunReport(
        key=start.key, number=start.run, checkpoint='', percent=1
    )
    owner = harness
    if how == 'adopted':
        owner = Successor(harness, record_of(harness), now=harness.now)
        owner.report('w0', [listed])
    elif how == 'listed':
        harness.poll('w0', running=[listed])
    else:
        end = scheduling.EndReport(
            sequence=1,
            key=start.key,
            number=start.run,
            kind=scheduling.EndKind.LAPSED,
            checkpoint='',
        )
        harness.poll('w0', ended=[end])
    assert 'late' not in record_of(owner)


def test_late_starts_of_a_large_job_are_limited(harness):
    # Guards against a record that the store refuses for its size.
    harness.add('j', scheduling.StepSpec(count=500, cpu=1))
    for task in harness.scheduler.jobs['j'].occurrence(0)[0]:
        task.late_worker = 'w0'
        task.late_runs.add(1)
    assert len(record_of(harness)['late']) == 100


def test_listed_start_leaves_the_note_of_an_older_one(harness):
    # Guards against a second run: a start that was given up is forgotten as
    # the next one of the task on the same worker has been listed.
    first, _ = give_up_start(harness)
    harness.scheduler.on_stop_reply('w0', first.key, first.run, True, 5_000)
    second = None
    for _ in range(4):
        harness.now += 1_000
        harness.poll('w0')
        harness.poll('w1')
        starts, _ = harness.decide()
        second = starts[0] if starts else second
    assert second is not None
    assert second.worker == 'w0'
    harness.now += 1_200
    harness.answer(second, IN_DOUBT)
    listed = scheduling.RunReport(
        key=second.key, number=second.run, checkpoint='', percent=1
    )
    harness.poll('w0', running=[listed])
    assert [row[4] for row in record_of(harness)['late']] == [first.run]
