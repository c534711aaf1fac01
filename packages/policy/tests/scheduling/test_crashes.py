"""Tests of which crashes of workers count against which tasks."""

import dataclasses
import json

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _losses
from oriolestand_policy.scheduling import _probation_round
from oriolestand_policy.scheduling import _record

ALONE = _jobs.CrashKind.ALONE
SHARED = _jobs.CrashKind.SHARED
COMMON = _jobs.CrashKind.COMMON
LATE = _jobs.CrashKind.LATE


def crashes(*entries):
    return [_jobs.Crash(address=a, kind=kind) for a, kind in entries]


@pytest.mark.parametrize(
    ('entries', 'is_cause'),
    [
        ([], False),
        ([('a', ALONE)], False),
        ([('a', ALONE), ('b', ALONE)], True),
        # Only one of the tasks that had just started did it.
        ([('a', SHARED), ('b', SHARED), ('c', SHARED)], False),
        ([('a', SHARED), ('b', ALONE)], False),
        ([('a', SHARED), ('b', ALONE), ('c', ALONE)], True),
        # Workers that crash by chance a while after the start.
        ([('a', LATE), ('b', LATE)], False),
        ([('a', LATE), ('b', ALONE)], False),
        # Workers whose polls time out.
        ([('a', LATE), ('b', LATE), ('c', LATE)], True),
        # Racks that lose power.
        ([('a', COMMON), ('b', COMMON), ('c', COMMON)], False),
        ([('a', COMMON), ('b', ALONE)], False),
        # Crashes in a row that seem to have a common cause by chance.
        ([('a', SHARED), ('b', COMMON), ('c', ALONE)], False),
        ([('a', SHARED), ('b', COMMON), ('c', COMMON), ('d', ALONE)], True),
        ([('a', SHARED), ('b', COMMON), ('c', COMMON), ('d', SHARED)], False),
        ([('a', SHARED), ('b', COMMON), ('a', COMMON), ('b', ALONE)], False),
        ([(address, COMMON) for address in 'abcd'], False),
        ([(address, COMMON) for address in 'abcde'], True),
        # A machine that crashes by itself.
        ([('a', ALONE), ('a', ALONE)], False),
        ([('a', ALONE), ('a', ALONE), ('a', ALONE)], True),
    ],
)
def test_only_crashes_that_point_to_one_task_identify_it(entries, is_cause):
    # Guards against giving up tasks that ran beside the cause.
    assert _crashes.is_cause(crashes(*entries)) is is_cause


def test_crash_noticed_late_proves_less(make):
    # Guards against giving up tasks for workers that crash by chance, each
    # some time after the start of the same task.
    harness = make.Harness(workers=4)
    harness.add('j', scheduling.StepSpec(count=1, cpu=1_000))
    for number, delay_ms in enumerate((_crashes.PROMPT_MS, 400)):
        (start,), _ = harness.decide()
        harness.answer(start)
        harness.now += delay_ms
        harness.scheduler.on_poll_failed(start.worker, harness.now)
        harness.scheduler.remove_worker(start.worker, 'replaced')
        progress = scheduling.progress_of(harness.scheduler.jobs['j'])
        kinds = [crash.kind for crash in progress['crashes'][0][3]]
        assert kinds == [ALONE, LATE][: number + 1]
    assert harness.scheduler.jobs['j'].outcome is None


def loss(name, moment_ms=1_000, rack='r', **fields):
    return _losses.Loss(
        worker=name, pool='p', rack=rack, moment_ms=moment_ms, **fields
    )


@pytest.mark.parametrize(
    ('others', 'is_common'),
    [
        ([], False),
        # Half of the rack at the same moment, but not before.
        ([loss('b'), loss('c')], False),
        ([loss('b'), loss('c'), loss('d')], True),
        ([loss('b'), loss('c'), loss('d', 3_000)], False),
        # A tenth of the pool.
        ([loss(f'x{n}', rack=f's{n}') for n in range(3)], False),
        ([loss(f'x{n}', rack=f's{n}') for n in range(5)], True),
        # Polls that fail later, of workers that may have been lost then.
        ([loss(n, 3_000, alive_ms=900) for n in 'bcd'], True),
        ([loss(n, 3_000, alive_ms=1_300) for n in 'bcd'], False),
        ([loss(n, 500, alive_ms=100) for n in 'bcd'], False),
        # Workers that were tried with suspects are no sign of it.
        ([loss(n, is_explained=True) for n in 'bcdefg'], False),
        # Nor are those that a former owner may have lost at any time.
        ([loss(n, is_moment_known=False) for n in 'bcdefg'], False),
    ],
)
def test_many_losses_at_the_same_moment_have_a_common_cause(others, is_common):
    # Guards against suspects of a rack that lost power, and against harmful
    # tasks that are never suspected, as several crash workers at a time.
    assert (
        _losses.has_common_cause(loss('a'), others, pool_size=60, rack_size=8)
        is is_common
    )


@pytest.mark.parametrize('is_released', [True, False])
@pytest.mark.parametrize(
    ('replied_ms', 'is_common'), [(1_200, True), (2_900, False)]
)
def test_reply_to_a_start_shows_that_a_worker_was_not_lost_before(
    make, replied_ms, is_common, is_released
):
    # Guards against harmful tasks that are never suspected, as the workers
    # that they crash one after the other seem to be lost together: a report
    # comes once a second only.
    workers = make.Harness(workers=5).scheduler.workers
    tracker = _losses.LossTracker(workers)
    first, *others = workers.values()
    for worker in workers.values():
        worker.last_report_ms = 1_000
        worker.unreachable_ms = 1_300 if worker is first else 3_000
        worker.add(
            _fleet.Run(
                key=scheduling.TaskKey('j', 0, 0, 0),
                number=1,
                spec=scheduling.StepSpec(count=1),
                phase=_fleet.RunPhase.RUNNING,
                since_ms=1_200 if worker is first else replied_ms,
            )
        )
        tracker.on_unreachable(worker)
        if is_released:
            for run in list(worker.runs.values()):
                worker.drop(run)
    for worker in others:
        # The others have a common cause with each other.
        assert tracker.add(worker)
    assert tracker.add(first) is is_common


def job_with(step=None):
    step = step or scheduling.StepSpec(count=2)
    spec = scheduling.JobSpec(id='j', route='r', payload='', steps=(step,))
    job = scheduling.Job(spec=spec)
    return job, job.occurrence(0)[0]


def test_crashes_are_stored_with_the_progress_of_a_job():
    # Guards against a successor that starts to count anew.
    job, tasks = job_with()
    tasks[1].crashes = crashes(('a', SHARED), ('b', ALONE))
    tasks[1].watch = _jobs.Watch(
        run=7, worker='w', address='c', kind=ALONE, began_ms=9
    )
    stored = json.loads(json.dumps(scheduling.progress_of(job)))
    successor, restored = job_with()
    found = _record.restore(successor, stored)
    assert restored[1].crashes == tasks[1].crashes
    assert restored[1].watch == tasks[1].watch
    assert restored[1].is_suspect
    assert found == [restored[1]]
    assert not restored[0].crashes


@pytest.mark.parametrize('kind', [ALONE, SHARED])
def test_a_watch_of_a_removed_worker_counts(make, kind):
    # Guards against a crash that is forgotten as the owner ended after it had
    # removed the worker and before it stored the crash.
    harness = make.Harness()
    spec = scheduling.JobSpec(
        id='s', route='r', payload='', steps=(scheduling.StepSpec(count=1),)
    )
    watch = [7, 'removed', 'a', kind, 1, 'rack1']
    harness.scheduler.add_job(
        spec, harness.now, progress={'crashes': [[0, 0, 0, [], watch]]}
    )
    job = harness.scheduler.jobs['s']
    # The worker may be cut off and run on.
    assert scheduling.progress_of(job)['crashes'] == [
        [0, 0, 0, [], tuple(watch)]
    ]
    next_worker = dataclasses.replace(
        harness.infos['w0'], id='next', address='a'
    )
    harness.scheduler.set_workers({**harness.infos, 'next': next_worker})
    assert scheduling.progress_of(job)['crashes'] == [
        [0, 0, 0, crashes(('a', kind)), None]
    ]


def test_a_watch_tells_a_successor_which_life_and_rack_it_was(make):
    # Guards against a successor that takes a worker that has started again
    # under its id for the one that crashed, and the loss of a rack for that
    # of single workers: rows of workers hold neither.
    harness = make.Harness()
    worker = harness.scheduler.workers['w0']
    worker.info = dataclasses.replace(
        worker.info, process_start_ms=7, rack='rack1'
    )
    worker.described_ms = 7
    harness.add('s', scheduling.StepSpec(count=2, cpu=6_000))
    for start in harness.decide()[0]:
        harness.answer(start)
    harness.scheduler.on_poll_failed('w0', harness.now)
    progress = scheduling.progress_of(harness.scheduler.jobs['s'])
    ((_, _, _, _, watch),) = progress['crashes']
    assert watch[1] == 'w0'
    assert watch[4:] == (7, 'rack1')


def test_runs_on_a_leaving_worker_are_not_watched(make):
    # Guards against a crash that a successor counts although the worker had
    # announced to leave.
    harness = make.Harness()
    harness.add('s', scheduling.StepSpec(count=2, cpu=6_000))
    for start in harness.decide()[0]:
        harness.answer(start)
    harness.infos['w0'] = dataclasses.replace(
        harness.infos['w0'], is_leaving=True
    )
    harness.scheduler.set_workers(harness.infos)
    harness.scheduler.on_poll_failed('w0', harness.now)
    progress = scheduling.progress_of(harness.scheduler.jobs['s'])
    assert 'crashes' not in progress


def test_progress_without_crashes_is_as_before():
    # Guards against records that an earlier version cannot read, and against
    # a record of such a version that is refused.
    job, _ = job_with()
    stored = scheduling.progress_of(job)
    assert set(stored) == {'outcome', 'started', 'ended', 'done', 'open'}
    assert _record.restore(job_with()[0], stored) == []


def test_a_single_common_crash_makes_no_suspect():
    # Guards against all new tasks of a lost rack waiting for probation.
    _, tasks = job_with()
    tasks[0].crashes = crashes(('a', COMMON))
    assert not tasks[0].is_suspect
    # Harmful tasks may crash workers at the same moment again and again.
    tasks[0].crashes = crashes(('a', COMMON), ('b', COMMON))
    assert tasks[0].is_suspect


class Tried:
    """A cell of idle workers with suspects, some in a full pool."""

    def __init__(self, harness, make):
        self.harness = harness
        self.make = make

    def suspects(self, count, kind='shared', **step):
        """Add a job all of whose tasks are suspects."""
        spec = scheduling.JobSpec(
            id='s',
            route='r',
            payload='x',
            steps=(scheduling.StepSpec(count=count, **step),),
        )
        self.harness.scheduler.add_job(
            spec,
            self.harness.now,
            progress={
                'crashes': [
                    [0, 0, n, [['z', kind]], None] for n in range(count)
                ]
            },
        )


@pytest.fixture
def tried(make):
    """Return a cell of eight idle workers, to which suspects can be added."""
    return Tried(make.Harness(workers=8), make)


@pytest.mark.parametrize(
    ('kind', 'share'),
    [
        ('shared', _probation_round.MAX_PROBATION_SHARE),
        ('alone', _probation_round.MAX_LIKELY_SHARE),
    ],
)
def test_few_suspects_are_tried_at_a_time(make, kind, share):
    # Guards against a pool that loses most of its workers to one round of
    # starts.
    tried = Tried(make.Harness(workers=32), make)
    tried.suspects(40, kind, cpu=100)
    started = []
    for _ in range(40):
        starts, _ = tried.harness.decide()
        started += starts
    assert len({start.worker for start in started}) == len(started)
    assert 2 <= len(started) <= share * 32


def test_nothing_starts_beside_a_suspect_until_it_has_passed(tried):
    # Guards against a second suspect of the next crash.
    harness = tried.harness
    tried.suspects(1, cpu=100)
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.add('o', scheduling.StepSpec(count=70, cpu=1_000))
    starts, _ = harness.decide()
    assert len(starts) == 70
    assert start.worker not in {s.worker for s in starts}
    harness.now += _crashes.PROBATION_MS - 1
    harness.poll(start.worker, [tried.make.report(start)])
    harness.add('p', scheduling.StepSpec(count=1, cpu=5_000))
    assert harness.decide() == ([], [])
    harness.now += 1
    harness.poll(start.worker, [tried.make.report(start)])
    (after,), _ = harness.decide()
    assert after.worker == start.worker
    progress = scheduling.progress_of(harness.scheduler.jobs['s'])
    assert 'crashes' not in progress


def test_a_suspect_waits_until_the_other_runs_on_its_worker_are_old(make):
    # Guards against giving up a task although another one, started just
    # before it, may have crashed the worker.
    harness = make.Harness(workers=1)
    harness.add('o', scheduling.StepSpec(count=1, cpu=1_000))
    (other,), _ = harness.decide()
    harness.answer(other)
    Tried(harness, make).suspects(1, cpu=100)
    assert harness.decide() == ([], [])
    harness.now += _crashes.PROBATION_MS
    harness.poll('w0', [make.report(other)])
    (start,), _ = harness.decide()
    assert start.key.job == 's'


def test_a_suspect_goes_where_a_crash_costs_least(tried):
    # Guards against probations on workers with service tasks and many runs.
    harness = tried.harness
    harness.add(
        'o',
        scheduling.StepSpec(
            count=7, cpu=1_000, is_service=True, max_per_worker=1
        ),
    )
    starts, _ = harness.decide()
    for start in starts:
        harness.answer(start)
    harness.now += _crashes.PROBATION_MS
    for start in starts:
        harness.poll(start.worker, [tried.make.report(start)])
    tried.suspects(1, cpu=100)
    (start,), _ = harness.decide()
    assert start.worker not in {s.worker for s in starts}


def test_room_is_made_for_a_suspect_in_a_full_pool(make):
    # Guards against a suspect that never starts, as other tasks take each
    # room that becomes free.
    harness = make.Harness(workers=2)
    harness.add('o', scheduling.StepSpec(count=40, cpu=1_000))
    starts, _ = harness.decide()
    for start in starts:
        harness.answer(start)
    Tried(harness, make).suspects(1, cpu=5_000)
    runs = {start.worker: [] for start in starts}
    for start in starts:
        runs[start.worker].append(start)
    sequence = 0
    for _ in range(12):
        harness.now += _crashes.PROBATION_MS
        for worker in runs:
            sequence += 1
            ended, runs[worker] = runs[worker][:1], runs[worker][1:]
            harness.poll(
                worker,
                [make.report(start) for start in runs[worker]],
                [make.end(start, 'done', sequence) for start in ended],
            )
        started, _ = harness.decide()
        for start in started:
            harness.answer(start)
            runs[start.worker].append(start)
            if start.key.job == 's':
                return
    pytest.fail('the suspect was not started')


@pytest.mark.parametrize('crash_count', [0, 1, 2])
def test_record_of_many_suspects_fits_into_a_row(crash_count):
    # Guards against a record that the store never accepts, after a pool has
    # lost power right after the start of a large step.
    step = scheduling.StepSpec(count=1_000)
    spec = scheduling.JobSpec(id='j', route='r', payload='', steps=(step,))
    job = scheduling.Job(spec=spec)
    for task in job.occurrence(0)[0]:
        crash = _jobs.Crash(
            address='10.200.100.17:8169', kind=_jobs.CrashKind.COMMON
        )
        task.crashes = [crash] * crash_count
        if crash_count:
            task.watch = _jobs.Watch(
                run=1_000_001,
                worker='i-0123456789',
                address='10.200.100.18:8169',
                kind=_jobs.CrashKind.SHARED,
                began_ms=1_796_000_000_000,
            )
    record = json.dumps(scheduling.progress_of(job), separators=(',', ':'))
    assert len(record) <= 65_536


def test_record_keeps_the_task_with_the_most_crashes():
    # Guards against a harmful task that is forgotten, as the record has no
    # room for all tasks that were lost with a pool.
    step = scheduling.StepSpec(count=1_000)
    spec = scheduling.JobSpec(id='j', route='r', payload='', steps=(step,))
    job = scheduling.Job(spec=spec)
    crash = _jobs.Crash(
        address='10.200.100.17:8169', kind=_jobs.CrashKind.COMMON
    )
    tasks = job.occurrence(0)[0]
    for task in tasks:
        task.crashes = [crash]
    tasks[700].crashes = [crash, crash]
    restored = scheduling.Job(spec=spec)
    _record.restore(restored, scheduling.progress_of(job))
    assert len(restored.occurrence(0)[0][700].crashes) == 2


@pytest.mark.parametrize(
    'outcome', [o for o in scheduling.StartOutcome if o.value != 'started']
)
def test_start_of_a_suspect_that_had_no_effect_is_no_crash(make, outcome):
    # Guards against a job that fails for a worker that was down before it got
    # the start order of a suspect: the order was refused, or not sent.
    harness = make.Harness(workers=1)
    spec = scheduling.JobSpec(
        id='s', route='r', payload='', steps=(scheduling.StepSpec(count=1),)
    )
    progress = {'crashes': [[0, 0, 0, [['z', ALONE]], None]]}
    harness.scheduler.add_job(spec, harness.now, progress=progress)
    ((start,), _) = harness.decide()
    harness.answer(start, outcome)
    harness.infos['w0'] = dataclasses.replace(
        harness.infos['w0'], process_start_ms=2
    )
    harness.scheduler.set_workers(harness.infos)
    harness.decide()
    job = harness.scheduler.jobs['s']
    assert job.outcome is None
    assert len(job.find(start.key).crashes) == 1
