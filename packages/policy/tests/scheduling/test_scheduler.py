"""Test when tasks are started and stopped."""

import json

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _fit_budget

STEP = scheduling.StepSpec(count=1, cpu=1_000)
IN_DOUBT = scheduling.StartOutcome.IN_DOUBT


def test_start_in_doubt_is_resolved_before_the_next(harness, make):
    # Guards against a second run while an unanswered start order may still
    # take effect.
    harness.add('a', STEP)
    starts, _ = harness.decide()
    harness.answer(starts[0], IN_DOUBT)
    _, stops = harness.effects()
    assert [s.run for s in stops] == [starts[0].run]
    harness.now += 300
    harness.poll(starts[0].worker)
    assert harness.decide()[0] == []
    harness.scheduler.on_stop_reply(
        starts[0].worker, starts[0].key, starts[0].run, True, harness.now
    )
    for _ in range(2):
        harness.now += 300
        harness.poll(starts[0].worker)
    again, _ = harness.decide()
    assert len(again) == 1
    assert again[0].run > starts[0].run


def test_stop_without_answer_is_repeated(harness):
    # Guards against a cancelled task that keeps running as its stop order was
    # lost.
    harness.add('a', STEP)
    starts, _ = harness.decide()
    harness.answer(starts[0])
    harness.scheduler.cancel_job('a', harness.now)
    _, stops = harness.effects()
    assert len(stops) == 1
    harness.now += 600
    _, stops = harness.decide()
    assert len(stops) == 1


def test_late_end_of_an_older_run_counts_as_failure(harness, make):
    # Guards against one attempt too many: a worker that was unreachable
    # reports the failure of an older run after a newer one has failed.
    harness.add('a', STEP)
    first = harness.decide()[0][0]
    harness.answer(first)
    harness.now += 10_000
    for name in harness.infos:
        if name != first.worker:
            harness.poll(name)
    second = harness.decide()[0][0]
    assert second.worker != first.worker
    harness.answer(second)
    harness.poll(second.worker, ended=[make.end(second, 'failed')])
    harness.poll(first.worker, ended=[make.end(first, 'failed')])
    assert harness.scheduler.jobs['a'].outcome is scheduling.Outcome.FAILED


def test_failure_that_is_reported_again_counts_once(harness, make):
    # Guards against a job that fails early, as a new owner receives again
    # the ends that a former owner recorded but did not acknowledge.
    harness.add('a', STEP)
    start = harness.decide()[0][0]
    harness.answer(start)
    harness.poll(start.worker, ended=[make.end(start, 'failed')])
    harness.poll(start.worker, ended=[make.end(start, 'failed')])
    assert harness.scheduler.jobs['a'].outcome is None


def test_end_of_an_ended_job_waits_for_its_record(harness, make):
    # Guards against acknowledging an end before the outcome is stored.
    harness.add('a', scheduling.StepSpec(count=2, cpu=1_000))
    first, second = harness.decide()[0]
    harness.answer(first)
    harness.answer(second)
    harness.scheduler.cancel_job('a', harness.now)
    jobs_to_save = harness.poll(
        first.worker, ended=[make.end(first, 'stopped')]
    )
    assert jobs_to_save == {'a'}


def test_job_of_a_former_owner_waits_for_all_workers(harness):
    # Guards against starting a task that may already run on a worker that has
    # not been probed.
    spec = scheduling.JobSpec(id='a', route='r', payload='', steps=(STEP,))
    harness.scheduler.add_job(spec, harness.now, needs_probe=True)
    harness.add('b', STEP)
    starts, _ = harness.decide(is_probed=False)
    assert [s.key.job for s in starts] == ['b']
    starts, _ = harness.decide()
    assert [s.key.job for s in starts] == ['a']


def test_unknown_run_is_adopted_or_stopped(harness, make):
    # Guards against runs of a former owner that are not tracked.
    harness.add('a', STEP)
    known = scheduling.StartTask(
        worker='w0',
        key=scheduling.TaskKey('a', 0, 0, 0),
        run=7,
        payload='',
        checkpoint='',
    )
    unknown = scheduling.StartTask(
        worker='w0',
        key=scheduling.TaskKey('zz', 0, 0, 0),
        run=8,
        payload='',
        checkpoint='',
    )
    harness.poll('w0', running=[make.report(known), make.report(unknown)])
    starts, stops = harness.decide()
    assert starts == []
    assert [s.key.job for s in stops] == ['zz']


def test_completion_of_an_older_run_stops_the_newer_one(harness, make):
    # Guards against a task that keeps running after another run completed it.
    harness.add('a', STEP)
    first = harness.decide()[0][0]
    harness.answer(first)
    harness.now += 10_000
    other = next(n for n in harness.infos if n != first.worker)
    harness.poll(other)
    second = harness.decide()[0][0]
    harness.answer(second)
    harness.poll(first.worker, ended=[make.end(first, 'done')])
    _, stops = harness.effects()
    assert [(s.worker, s.run) for s in stops] == [(other, second.run)]
    assert harness.scheduler.jobs['a'].outcome is scheduling.Outcome.COMPLETED


def test_gang_starts_whole_or_not_at_all(harness, make):
    # Guards against members that hold capacity while others cannot start.
    gang = scheduling.StepSpec(count=5, cpu=5_000, is_gang=True)
    harness.add('a', gang)
    assert harness.decide()[0] == []
    harness.add('b', scheduling.StepSpec(count=4, cpu=5_000, is_gang=True))
    starts, _ = harness.decide()
    assert len(starts) == 4
    assert len({s.run for s in starts}) == 1
    for start in starts:
        harness.answer(start)
    harness.poll(starts[0].worker, ended=[make.end(starts[0], 'done')])
    assert harness.scheduler.jobs['b'].outcome is scheduling.Outcome.COMPLETED


def test_repeated_job_starts_when_due(harness):
    # Guards against occurrences that start early or not at all.
    harness.add(
        'a', STEP, repeat_count=2, first_due_ms=50_000, period_ms=10_000
    )
    assert harness.decide(wall=50_050)[0] == []
    starts, _ = harness.decide(wall=50_100)
    assert [s.key.occurrence for s in starts] == [0]
    starts, _ = harness.decide(wall=60_100)
    assert [s.key.occurrence for s in starts] == [1]


def test_worker_that_fails_everything_is_avoided(harness, make):
    # Guards against a worker that attracts tasks because it fails them fast.
    for number in range(3):
        harness.add(f'j{number}', STEP)
    starts, _ = harness.decide()
    for start in starts:
        harness.answer(start)
    failing = starts[0].worker
    ends = [
        make.end(s, 'failed', n + 1)
        for n, s in enumerate(starts)
        if s.worker == failing
    ]
    assert len(ends) == 3
    harness.poll(failing, ended=ends)
    again, _ = harness.decide()
    assert {s.worker for s in again} == set(harness.infos) - {failing}


def test_leaving_worker_gets_nothing_and_service_tasks_move(harness, make):
    # Guards against new tasks on a leaving worker.
    service = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
    harness.add('a', service)
    start = harness.decide()[0][0]
    harness.answer(start)
    infos = dict(harness.infos)
    info = infos[start.worker]
    infos[start.worker] = scheduling.WorkerInfo(
        id=info.id,
        pool=info.pool,
        address=info.address,
        failure_domain=info.failure_domain,
        cpu=info.cpu,
        memory_mb=info.memory_mb,
        process_start_ms=1,
        is_leaving=True,
    )
    harness.scheduler.set_workers(infos)
    _, stops = harness.decide()
    assert [s.run for s in stops] == [start.run]
    harness.poll(start.worker, ended=[make.end(start, 'stopped')])
    again = harness.decide()[0]
    assert [s.worker for s in again] == [
        n for n in harness.infos if n != start.worker
    ]


def test_unregistered_worker_keeps_its_tasks_until_its_lease_expires(harness):
    # Guards against a second run of a task that may still run on a worker
    # that is missing from the list of workers.
    harness.add('a', STEP)
    start = harness.decide()[0][0]
    harness.answer(start)
    rest = {n: i for n, i in harness.infos.items() if n != start.worker}
    harness.scheduler.set_workers(rest)
    for _ in range(5):
        harness.now += 1_000
        for name in rest:
            harness.poll(name)
        harness.scheduler.decide(harness.now, 0, scheduling.FormerRuns())
        assert harness.effects()[0] == []
    harness.now += 3_000
    for name in rest:
        harness.poll(name)
    assert len(harness.decide()[0]) == 1


def test_progress_survives_a_change_of_owner(harness, make):
    # Guards against a new owner that loses completed tasks and failures.
    harness.add('a', scheduling.StepSpec(count=3, cpu=1_000))
    starts, _ = harness.decide()
    for start in starts:
        harness.answer(start)
    kinds = ('done', 'failed', 'stopped')
    for number, (start, how) in enumerate(zip(starts, kinds, strict=True)):
        harness.poll(
            start.worker,
            ended=[make.end(start, how, number + 1, 'cp')],
        )
    job = harness.scheduler.jobs['a']
    progress = scheduling.progress_of(job)
    successor = scheduling.Scheduler(2, 6_000)
    successor.add_job(job.spec, 0, progress=progress)
    tasks = successor.jobs['a'].occurrence(0)[0]
    assert [t.is_done for t in tasks] == [True, False, False]
    assert tasks[1].failed_runs == [starts[1].run]
    assert tasks[2].checkpoint == 'cp'


def test_job_round_trip():
    # Guards against a field that is lost when a job is stored.
    spec = scheduling.JobSpec(
        id='a',
        route='r',
        payload='x',
        steps=(
            STEP,
            scheduling.StepSpec(
                count=2,
                after=(0,),
                is_filling=True,
                image='i',
                max_per_worker=1,
            ),
        ),
        accepted_ms=5,
    )
    mapping = scheduling.job_to_dict(spec)
    assert scheduling.job_from_dict(mapping) == spec
    # Guards against rows of other bytes than those of earlier versions.
    assert json.dumps(mapping) == (
        '{"id": "a", "route": "r", "payload": "x", "steps": ['
        '{"count": 1, "cpu": 1000}, '
        '{"count": 2, "after": [0], "max_per_worker": 1, "image": "i", '
        '"is_filling": true}], '
        '"repeat_count": 0, "first_due_ms": 0, "period_ms": 0, '
        '"accepted_ms": 5}'
    )


def test_task_that_fits_starts_beside_one_without_accelerators(harness):
    # A task without free accelerators hid the tasks with equal processors and
    # memory for as long as it waited.
    harness.add(
        'first', scheduling.StepSpec(count=1, cpu=1_000, accelerators=1)
    )
    harness.add('second', scheduling.StepSpec(count=1, cpu=1_000))
    starts, _ = harness.decide()
    assert [s.key.job for s in starts] == ['second']


def test_filling_tasks_behind_many_that_fit_nowhere_start(harness):
    # The most urgent filling tasks were examined in each round, so that all
    # others waited although there was room for them.
    workers = len(harness.infos)
    limit = _fit_budget.MAX_FAILED_FIT_CHECKS_PER_ROUND // workers
    for number in range(limit + 2):
        large = scheduling.StepSpec(
            count=1, cpu=20_001 - number, is_filling=True, image='i'
        )
        harness.add(f'large{number:04}', large, accepted_ms=1)
    small = scheduling.StepSpec(count=1, cpu=1_000, is_filling=True, image='i')
    harness.add('small', small, accepted_ms=2)
    jobs = set()
    for _ in range(3):
        harness.now += 40
        jobs |= {s.key.job for s in harness.decide(wall=10)[0]}
    assert jobs == {'small'}
