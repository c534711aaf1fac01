"""Tests of crashes of workers that may never have read a start order."""

import dataclasses
import json

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _probation_round
from oriolestand_policy.scheduling import _record

ALONE = _jobs.CrashKind.ALONE
LATE = _jobs.CrashKind.LATE
SHARED = _jobs.CrashKind.SHARED
STEP = scheduling.StepSpec(count=1, cpu=1_000)
KEY = scheduling.TaskKey('s', 0, 0, 0)


def crashes(kind, addresses):
    return [_jobs.Crash(address=a, kind=kind) for a in addresses]


def add_job(harness, progress=None, step=STEP):
    """Add a job with a record of a former owner; return its task."""
    spec = scheduling.JobSpec(id='s', route='r', payload='', steps=(step,))
    harness.scheduler.add_job(spec, harness.now, progress=progress)
    return harness.scheduler.jobs['s'].find(KEY)


def start_task(harness, make, evidence):
    """Start the task; return the order, of which ``evidence`` tells more."""
    ((start,), _) = harness.decide(wall=harness.now)
    harness.scheduler.on_start_sent(start.worker, start.key, start.run)
    if evidence == 'in doubt':
        harness.answer(start, scheduling.StartOutcome.IN_DOUBT)
    if evidence == 'answered':
        harness.answer(start)
    harness.now += 50
    if evidence == 'listed':
        harness.poll(start.worker, [make.report(start, percent=1)])
    harness.now += 50
    return start


def replace(harness, start):
    """Let another worker answer the polls at the address of a worker."""
    name = start.worker
    harness.scheduler.on_poll_failed(name, harness.now)
    info = harness.infos.pop(name)
    harness.infos['next'] = dataclasses.replace(
        info, id='next', process_start_ms=2
    )
    harness.scheduler.remove_worker(name, 'replaced')
    harness.scheduler.set_workers(harness.infos)


def restart(harness, start):
    """Let a worker start again under its id and report without runs."""
    name = start.worker
    harness.scheduler.on_poll_failed(name, harness.now)
    harness.infos[name] = dataclasses.replace(
        harness.infos[name], process_start_ms=2
    )
    harness.scheduler.set_workers(harness.infos)
    run = harness.scheduler.workers[name].runs.get((start.key, start.run))
    if run is not None and run.phase is _fleet.RunPhase.STARTING:
        harness.answer(start, scheduling.StartOutcome.IN_DOUBT)
    for _ in range(4):
        harness.now += 100
        harness.scheduler.on_worker_report(
            name,
            scheduling.WorkerReport(
                clock_ms=harness.now,
                process_start_ms=2,
                running=(),
                ended=(),
            ),
            harness.now,
            harness.now,
        )


def lose(harness, start):
    """Let the lease of a worker pass before another has its address."""
    name = start.worker
    harness.scheduler.on_poll_failed(name, harness.now)
    info = harness.infos.pop(name)
    harness.scheduler.set_workers(harness.infos)
    harness.scheduler.remove_worker(name, 'lease over')
    # Its task starts again, which is refused.
    ((again,), _) = harness.decide(wall=harness.now)
    harness.answer(again, scheduling.StartOutcome.NO_ROOM)
    next_info = dataclasses.replace(info, id='next', process_start_ms=2)
    harness.infos['next'] = next_info
    harness.scheduler.set_workers(harness.infos)


@pytest.mark.parametrize('crash', [replace, restart, lose])
@pytest.mark.parametrize(
    ('evidence', 'has_begun'),
    [('', 0), ('in doubt', 0), ('answered', 1), ('listed', 1)],
)
def test_only_a_crash_under_a_run_that_had_begun_counts(
    make, crash, evidence, has_begun
):
    # Guards against a job that fails (LOST) for workers that had crashed
    # before they read its start, and against tasks that crash workers and are
    # never given up.
    harness = make.Harness(workers=4)
    task = add_job(harness)
    start = start_task(harness, make, evidence)
    crash(harness, start)
    assert len(task.crashes) == has_begun
    assert len(task.all_crashes) == 1
    assert task.is_suspect


@pytest.mark.parametrize(
    ('evidence', 'has_begun'),
    [('', 0), ('in doubt', 0), ('answered', 1), ('listed', 1)],
)
@pytest.mark.parametrize('is_suspect', [True, False])
def test_successor_knows_whether_a_watched_run_had_begun(
    make, evidence, has_begun, is_suspect
):
    # Guards against the same faults if the owner ends before the crash is
    # noticed; the run of a suspect is watched from its start.
    harness = make.Harness(workers=4)
    former = {'crashes': [[0, 0, 0, [['z', 'shared']], None]]}
    add_job(harness, former if is_suspect else None)
    start = start_task(harness, make, evidence)
    if not is_suspect:
        harness.scheduler.on_poll_failed(start.worker, harness.now)
    job = harness.scheduler.jobs['s']
    progress = json.loads(json.dumps(scheduling.progress_of(job)))
    successor = make.Harness(workers=0)
    task = add_job(successor, progress)
    info = harness.infos[start.worker]
    successor.scheduler.set_workers(
        {'next': dataclasses.replace(info, id='next', process_start_ms=2)}
    )
    assert len(task.crashes) == has_begun + is_suspect
    assert len(task.all_crashes) == 1 + is_suspect


@pytest.mark.parametrize(
    ('begun', 'doubtful', 'is_cause'),
    [
        ([], crashes(ALONE, 'abcdefgh'), False),
        (crashes(ALONE, 'a'), crashes(ALONE, 'bcdefgh'), False),
        (crashes(SHARED, 'aa'), crashes(ALONE, 'bcdefgh'), False),
        (crashes(SHARED, 'abc'), crashes(ALONE, 'd'), False),
        (crashes(LATE, 'ab'), crashes(LATE, 'cd'), False),
        # Workers have crashed under it, and its starts are used up.
        (crashes(SHARED, 'abc'), crashes(ALONE, 'de'), True),
        (crashes(LATE, 'ab'), crashes(LATE, 'cde'), True),
    ],
)
def test_doubtful_crashes_alone_do_not_identify_a_task(
    begun, doubtful, is_cause
):
    # Guards against giving up tasks that no worker has run.
    assert _crashes.is_cause(begun, doubtful) is is_cause


def test_doubtful_crashes_are_stored_apart(make):
    # Guards against a successor that takes them for others, and against
    # records that the version before cannot read.
    spec = scheduling.JobSpec(
        id='s', route='r', payload='', steps=(scheduling.StepSpec(count=3),)
    )
    job = scheduling.Job(spec=spec)
    tasks = job.occurrence(0)[0]
    tasks[0].crashes = crashes(ALONE, 'a')
    tasks[0].doubtful_crashes = crashes(LATE, 'bc')
    tasks[1].doubtful_crashes = crashes(ALONE, 'a')
    tasks[2].watch = _jobs.Watch(
        run=7, worker='w', address='c', kind=ALONE, has_begun=False
    )
    stored = json.loads(json.dumps(scheduling.progress_of(job)))
    assert stored['crashes'] == [
        [0, 0, 0, [['a', 'alone']], None],
        [0, 0, 2, [], [7, 'w', 'c', 'alone', 0, '']],
    ]
    successor = scheduling.Job(spec=spec)
    found = _record.restore(successor, stored)
    assert [task.key.index for task in found] == [0, 2, 1]
    for task, known in zip(successor.occurrence(0)[0], tasks, strict=True):
        assert task.crashes == known.crashes
        assert task.doubtful_crashes == known.doubtful_crashes
        assert task.watch == known.watch


def test_record_of_many_doubtful_crashes_fits_into_a_row():
    # Guards against a record that the store never accepts.
    spec = scheduling.JobSpec(
        id='s', route='r', payload='', steps=(scheduling.StepSpec(count=999),)
    )
    job = scheduling.Job(spec=spec)
    for task in job.occurrence(0)[0]:
        task.doubtful_crashes = crashes(LATE, ['10.200.100.17:8169'])
        task.watch = _jobs.Watch(
            run=1_000_001,
            worker='i-0123456789',
            address='10.200.100.18:8169',
            kind=SHARED,
            began_ms=1_796_000_000_000,
            has_begun=False,
        )
    rows = scheduling.progress_of(job)
    record = json.dumps(
        {name: rows[name] for name in ('crashes', 'began', 'doubtful')},
        separators=(',', ':'),
    )
    assert len(record) <= _record.MAX_CRASH_BYTES + 100


@pytest.mark.parametrize(
    ('count', 'waits_ms'),
    [(1, 0), (2, 0), (3, 10_000), (4, 20_000), (6, 60_000), (99, 60_000)],
)
def test_task_waits_after_doubtful_crashes_in_a_row(make, count, waits_ms):
    # Guards against a task that crashes workers before they can answer, and
    # takes one down each time that another is back.
    harness = make.Harness(workers=4)
    rows = [['z', 'alone']] * count
    task = add_job(harness, {'doubtful': [[0, 0, 0, rows, False]]})
    assert task.is_suspect
    if waits_ms:
        harness.now += waits_ms - 100
        for name in harness.infos:
            harness.poll(name)
        assert harness.decide() == ([], [])
        harness.now += 200
    for name in harness.infos:
        harness.poll(name)
    ((start,), _) = harness.decide()
    assert start.key == KEY


def test_a_task_that_survives_has_no_doubtful_crashes(make):
    # Guards against a sound task that stays apart from others for ever.
    harness = make.Harness(workers=2)
    rows = [['z', 'alone']] * 2
    task = add_job(harness, {'doubtful': [[0, 0, 0, rows, False]]})
    ((start,), _) = harness.decide()
    harness.answer(start)
    harness.now += _crashes.PROBATION_MS
    harness.poll(start.worker, [make.report(start)])
    harness.decide()
    assert not task.is_suspect
    job = harness.scheduler.jobs['s']
    assert not {'crashes', 'doubtful'} & scheduling.progress_of(job).keys()


def test_task_with_a_doubtful_crash_is_tried_elsewhere(make):
    # Guards against a task that is tried again where it may have crashed a
    # worker, so that other addresses never tell.
    harness = make.Harness(workers=3)
    rows = [['w0:1', 'alone'], ['w1:1', 'alone']]
    add_job(harness, {'doubtful': [[0, 0, 0, rows, False]]})
    ((start,), _) = harness.decide()
    assert start.worker == 'w2'


def test_few_tasks_with_doubtful_crashes_are_tried_at_a_time(make):
    # Guards against a pool that loses a quarter of its workers to tasks that
    # were the only suspects of crashes.
    harness = make.Harness(workers=32)
    rows = [[0, 0, n, [['z', 'alone']], False] for n in range(9)]
    step = dataclasses.replace(STEP, count=9)
    add_job(harness, {'doubtful': rows}, step)
    limit = int(_probation_round.MAX_LIKELY_SHARE * 32)
    assert 2 <= len(harness.decide()[0]) <= limit
