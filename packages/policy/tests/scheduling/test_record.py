"""Tests of the placements of service tasks in the record of a job."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

STEP = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
PLAIN = scheduling.StepSpec(count=1, cpu=1_000)
GANG = scheduling.StepSpec(
    count=2, cpu=1_000, is_service=True, is_gang=True, max_per_worker=1
)
KEY = scheduling.TaskKey('a', 0, 0, 0)
UNKNOWN = scheduling.FormerRuns(has_unknown_workers=True)


def record_of(harness, job='a'):
    """Return the record of a job."""
    return scheduling.progress_of(harness.scheduler.jobs[job])


def placed(harness, job='a'):
    """Return the placements in the record of a job."""
    return record_of(harness, job)['placed']


def load(harness, progress, *steps):
    """Add a job of a former owner with its record."""
    spec = scheduling.JobSpec(id='a', route='r', payload='x', steps=steps)
    harness.scheduler.add_job(
        spec, harness.now, progress=progress, needs_probe=True
    )


def row(*placements):
    """Return a record with placements."""
    return {'started': True, 'placed': [list(p) for p in placements]}


def decide(harness, former_runs):
    """Run a round; return the starts and the jobs to save."""
    harness.scheduler.decide(harness.now, 0, former_runs)
    effects = harness.scheduler.take_effects()
    return (
        [e for e in effects if isinstance(e, scheduling.StartTask)],
        {e.job for e in effects if isinstance(e, scheduling.SaveJob)},
    )


def test_start_of_a_service_task_is_saved_first(harness):
    # Guards against a start that the record does not place.
    harness.add('a', dataclasses.replace(STEP, count=2))
    harness.scheduler.decide(harness.now, 0, scheduling.FormerRuns())
    kinds = [
        type(effect)
        for effect in harness.scheduler.take_effects()
        if isinstance(effect, scheduling.StartTask | scheduling.SaveJob)
    ]
    assert kinds == [scheduling.SaveJob, scheduling.StartTask] * 2
    rows = [(w, r) for *_, w, r in placed(harness)]
    assert len(rows) == 2
    # A later start is saved too, although the job has started.
    harness.add('b', STEP)
    start = next(s for s in decide(harness, scheduling.FormerRuns())[0])
    assert start.needs_record
    harness.answer(start, scheduling.StartOutcome.NO_ROOM)
    harness.now += 1_000
    harness.poll('w0')
    harness.poll('w1')
    harness.scheduler.take_effects()
    starts, saved = decide(harness, scheduling.FormerRuns())
    assert [s.key.job for s in starts] == ['b']
    assert saved == {'b'}


def test_start_of_another_task_needs_no_record(harness):
    # Guards against a write for each start of a short task.
    harness.add('a', PLAIN)
    ((start,), _) = harness.decide()
    assert not start.needs_record
    assert 'placed' not in record_of(harness)


def _lease_over(harness, make, start):
    harness.now += 20_000
    harness.scheduler.decide(harness.now, 0, scheduling.FormerRuns())


def _restart_reported(harness, make, start):
    harness.scheduler.on_worker_report(
        start.worker,
        scheduling.WorkerReport(
            clock_ms=harness.now, process_start_ms=2, running=(), ended=()
        ),
        harness.now,
        harness.now,
    )


def _restart_registered(harness, make, start):
    info = dataclasses.replace(harness.infos[start.worker], process_start_ms=2)
    harness.scheduler.set_workers({**harness.infos, start.worker: info})
    # The entry alone may be that of another writer.
    _restart_reported(harness, make, start)


def _removed(harness, make, start):
    harness.scheduler.remove_worker(start.worker, 'replaced')


def _missing(harness, make, start):
    for _ in range(3):
        harness.now += 1_000
        harness.poll(start.worker)


def _reported(how):
    def apply(harness, make, start):
        harness.poll(start.worker, ended=[make.end(start, how)])

    return apply


@pytest.mark.parametrize(
    'apply',
    [
        _lease_over,
        _restart_reported,
        _restart_registered,
        _removed,
        _missing,
        *(_reported(kind.value) for kind in scheduling.EndKind),
    ],
)
def test_each_end_of_a_run_frees_its_placement(harness, make, apply):
    # Guards against a successor that waits for a worker although the former
    # owner knew that the run has ended there.
    harness.add('a', STEP)
    ((start,), _) = harness.decide()
    harness.answer(start)
    harness.poll(start.worker, running=[make.report(start)])
    harness.scheduler.workers['w0'].backoff_until_ms = harness.now + 60_000
    harness.scheduler.workers['w1'].backoff_until_ms = harness.now + 60_000
    harness.scheduler.take_effects()
    assert placed(harness) == [[0, 0, 0, start.worker, start.run]]
    apply(harness, make, start)
    saved = [
        e
        for e in harness.scheduler.take_effects()
        if isinstance(e, scheduling.SaveJob)
    ]
    assert saved
    assert placed(harness) == []


@pytest.mark.parametrize(
    'outcome',
    [
        scheduling.StartOutcome.NO_ROOM,
        scheduling.StartOutcome.REFUSED,
        scheduling.StartOutcome.UNHEALTHY,
        scheduling.StartOutcome.WITHDRAWN,
        None,
    ],
)
def test_start_that_had_no_effect_frees_its_placement(harness, outcome):
    # As above, for an order that was refused or not sent.
    harness.add('a', STEP)
    ((start,), _) = harness.decide()
    if outcome is None:
        harness.scheduler.withdraw_start(
            start.worker, start.key, start.run, harness.now
        )
    else:
        harness.answer(start, outcome)
    effects = harness.scheduler.take_effects()
    assert scheduling.SaveJob(job='a') in effects
    assert placed(harness) == []
    assert not harness.scheduler.workers[start.worker].runs


def test_start_in_doubt_keeps_its_placement(harness):
    # Guards against a successor that starts a task whose start is in doubt.
    harness.add('a', STEP)
    ((start,), _) = harness.decide()
    harness.answer(start, scheduling.StartOutcome.IN_DOUBT)
    harness.scheduler.on_stop_reply(
        start.worker, start.key, start.run, True, harness.now
    )
    assert placed(harness) == [[0, 0, 0, start.worker, start.run]]


def test_held_back_start_is_dropped_after_a_stop_or_an_end(harness):
    # Guards against an order for a run that was stopped or released while it
    # waited for the record.
    harness.add('a', dataclasses.replace(STEP, count=3))
    starts, _ = harness.decide()
    orders = [(s.worker, s.key, s.run) for s in starts]
    scheduler = harness.scheduler
    assert all(scheduler.is_start_pending(*order) for order in orders)
    scheduler.withdraw_start(*orders[0], harness.now)
    assert not scheduler.is_start_pending(*orders[0])
    worker, key, number = orders[1]
    scheduler.workers[worker].runs[key, number].stop_sent_ms = harness.now
    assert not scheduler.is_start_pending(*orders[1])
    scheduler.cancel_job('a', harness.now)
    assert not scheduler.is_start_pending(*orders[2])
    scheduler.remove_job('a')
    harness.add('a', dataclasses.replace(STEP, count=3))
    assert not scheduler.is_start_pending(*orders[2])


def test_task_without_a_placement_starts_before_all_workers_reported(harness):
    # Guards against a task whose end is known but which waits for others.
    load(harness, row(), STEP)
    starts, _ = decide(harness, UNKNOWN)
    assert [s.key for s in starts] == [KEY]


def test_job_without_a_record_starts_before_all_workers_reported(harness):
    # A service task is recorded before its first start.
    load(harness, None, STEP)
    starts, _ = decide(harness, UNKNOWN)
    assert [s.key for s in starts] == [KEY]


@pytest.mark.parametrize(
    ('former_runs', 'waits'),
    [
        (scheduling.FormerRuns(worker_ids=frozenset({'left'})), True),
        (scheduling.FormerRuns(worker_ids=frozenset({'other'})), False),
        (UNKNOWN, True),
        (scheduling.FormerRuns(), False),
    ],
)
def test_placed_task_waits_only_for_its_worker(harness, former_runs, waits):
    # Guards against a second run, and against a wait for another worker.
    load(harness, row((0, 0, 0, 'left', 7)), STEP)
    starts, saved = decide(harness, former_runs)
    assert bool(starts) is not waits
    assert bool(saved) is not waits
    if waits:
        assert placed(harness) == [[0, 0, 0, 'left', 7]]


def test_placed_task_waits_for_a_worker_that_has_not_reported(harness):
    # Guards against a task on a worker that a former owner used but whose row
    # could not be read: it is registered, but its runs are not known.
    load(harness, row((0, 0, 0, 'w2', 7)), STEP)
    info = dataclasses.replace(harness.infos['w0'], id='w2', address='w2:1')
    harness.scheduler.set_workers({**harness.infos, 'w2': info})
    starts, _ = decide(harness, UNKNOWN)
    assert starts == []
    partial = scheduling.WorkerReport(
        clock_ms=harness.now,
        process_start_ms=1,
        running=(),
        ended=(),
        has_more_ends=True,
    )
    harness.scheduler.on_worker_report('w2', partial, harness.now, harness.now)
    starts, _ = decide(harness, UNKNOWN)
    assert starts == []
    harness.poll('w2')
    starts, _ = decide(harness, UNKNOWN)
    assert len(starts) == 1


def test_gang_waits_for_the_workers_of_all_members(harness):
    # Guards against a gang that starts while one of its members runs.
    load(harness, row((0, 0, 1, 'left', 7)), GANG)
    missing = scheduling.FormerRuns(worker_ids=frozenset({'left'}))
    harness.now += 15_000
    harness.poll('w0')
    harness.poll('w1')
    starts, _ = decide(harness, missing)
    assert starts == []
    starts, _ = decide(harness, scheduling.FormerRuns())
    assert len(starts) == 2


def test_overdue_service_task_waits_for_its_worker(harness):
    # Guards against a second run of a task that starts first as it is overdue.
    load(harness, row((0, 0, 0, 'left', 7)), STEP)
    missing = scheduling.FormerRuns(worker_ids=frozenset({'left'}))
    for _ in range(15):
        harness.now += 1_000
        harness.poll('w0')
        harness.poll('w1')
        assert decide(harness, missing)[0] == []


def test_plain_step_of_a_service_job_waits_for_all_workers(harness):
    # Guards against a second run of a task that records do not place.
    load(harness, row(), STEP, PLAIN)
    starts, _ = decide(harness, UNKNOWN)
    assert [s.key.step for s in starts] == [0]


def test_adopted_run_replaces_its_placement(harness, make):
    # Guards against a task that starts beside its adopted run.
    load(harness, row((0, 0, 0, 'w0', 7)), STEP)
    run = scheduling.StartTask(
        worker='w0', key=KEY, run=7, payload='', checkpoint=''
    )
    harness.poll('w0', running=[make.report(run)])
    assert decide(harness, UNKNOWN)[0] == []
    assert placed(harness) == [[0, 0, 0, 'w0', 7]]
    harness.poll('w0', ended=[make.end(run, 'failed')])
    assert placed(harness) == []
    assert len(decide(harness, UNKNOWN)[0]) == 1


def test_adopted_run_that_is_lost_leaves_no_placement(harness, make):
    # Guards against a placement by a former owner that outlives its run.
    load(harness, row((0, 0, 0, 'w0', 7)), STEP)
    run = scheduling.StartTask(
        worker='w0', key=KEY, run=7, payload='', checkpoint=''
    )
    harness.poll('w0', running=[make.report(run)])
    _missing(harness, make, run)
    assert placed(harness) == []


def test_placement_of_a_worker_without_the_run_is_removed(harness):
    # Guards against a wait of the next owner for a worker that has reported
    # to this one, while no worker has room for the task.
    step = dataclasses.replace(STEP, cpu=99_000)
    load(harness, row((0, 0, 0, 'w0', 7)), step)
    starts, saved = decide(harness, UNKNOWN)
    assert (starts, saved) == ([], {'a'})
    assert placed(harness) == []
    assert decide(harness, UNKNOWN) == ([], set())


def test_end_of_a_placed_run_frees_its_placement(harness, make):
    # Guards against a wait of the next owner for a run whose end is known;
    # the end of an older run says nothing.
    load(harness, row((0, 0, 0, 'w0', 7)), STEP)
    harness.scheduler.workers['w0'].is_probed = False
    harness.scheduler.take_effects()
    run = scheduling.StartTask(
        worker='w0', key=KEY, run=6, payload='', checkpoint=''
    )
    harness.poll('w0', ended=[make.end(run, 'failed')])
    assert placed(harness) == [[0, 0, 0, 'w0', 7]]
    run = dataclasses.replace(run, run=7)
    assert harness.poll('w0', ended=[make.end(run, 'failed', 2)]) == {'a'}
    assert placed(harness) == []
    assert scheduling.SaveJob(job='a') in harness.scheduler.take_effects()


def test_record_of_an_earlier_version_places_no_task(harness, make):
    # Guards against a record that says that no task runs, written before the
    # runs of former owners are known.
    load(harness, {'started': True}, dataclasses.replace(STEP, count=2), PLAIN)
    assert decide(harness, UNKNOWN)[0] == []
    run = scheduling.StartTask(
        worker='w0', key=KEY, run=7, payload='', checkpoint=''
    )
    harness.poll('w0', running=[make.report(run)])
    assert 'placed' not in record_of(harness)
    harness.poll('w0', ended=[make.end(run, 'failed')])
    assert 'placed' not in record_of(harness)
    assert decide(harness, UNKNOWN)[0] == []
    starts, saved = decide(harness, scheduling.FormerRuns())
    assert len(starts) == 3
    assert saved == {'a'}
    assert len(placed(harness)) == 2


def test_placements_survive_a_change_of_owner(harness):
    # Guards against a placement that is lost when a record is restored.
    harness.add('a', dataclasses.replace(STEP, count=2), PLAIN)
    harness.decide()
    progress = record_of(harness)
    assert len(progress['placed']) == 2
    successor = scheduling.Scheduler(2, 6_000)
    job = harness.scheduler.jobs['a']
    successor.add_job(job.spec, 0, progress=progress, needs_probe=True)
    restored = scheduling.progress_of(successor.jobs['a'])
    assert restored['placed'] == progress['placed']


def test_placements_of_a_large_job_are_left_out(harness):
    # Guards against a record that the store refuses for its size, and with it
    # all records of the same commit.
    harness.add('a', dataclasses.replace(STEP, count=1_001))
    tasks = harness.scheduler.jobs['a'].occurrence(0)[0]
    for number, task in enumerate(tasks):
        assert 'placed' in record_of(harness)
        task.assign('w0', number + 1, harness.now)
    progress = record_of(harness)
    assert 'placed' not in progress
    (step,) = harness.scheduler.jobs['a'].spec.steps
    harness.scheduler.remove_job('a')
    load(harness, progress, step)
    assert decide(harness, UNKNOWN)[0] == []


def test_ended_job_has_no_placements(harness):
    # Guards against records that grow with the runs of jobs that have ended.
    harness.add('a', STEP)
    harness.decide()
    harness.scheduler.cancel_job('a', harness.now)
    assert placed(harness) == []
