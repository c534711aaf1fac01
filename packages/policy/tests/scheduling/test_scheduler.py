"""Test which tasks are started and stopped, and when."""

from oriolestand_policy import scheduling

STEP = scheduling.StepSpec(count=1, cpu=1_000)
DOUBT = scheduling.StartOutcome.IN_DOUBT


def test_start_in_doubt_is_settled_before_the_next(bench, make):
    # Guards against a second run while an unanswered start may still act.
    bench.add('a', STEP)
    starts, _ = bench.decide()
    bench.answer(starts[0], DOUBT)
    _, stops = bench.effects()
    assert [s.run for s in stops] == [starts[0].run]
    bench.now += 300
    bench.look(starts[0].worker)
    assert bench.decide()[0] == []
    bench.scheduler.on_stop_reply(
        starts[0].worker, starts[0].key, starts[0].run, True, bench.now
    )
    for _ in range(2):
        bench.now += 300
        bench.look(starts[0].worker)
    again, _ = bench.decide()
    assert len(again) == 1
    assert again[0].run > starts[0].run


def test_stop_without_answer_is_repeated(bench):
    # Guards against a cancelled task that runs on as its stop was lost.
    bench.add('a', STEP)
    starts, _ = bench.decide()
    bench.answer(starts[0])
    bench.scheduler.cancel_job('a', bench.now)
    _, stops = bench.effects()
    assert len(stops) == 1
    bench.now += 600
    _, stops = bench.decide()
    assert len(stops) == 1


def test_late_end_of_an_older_run_counts_as_failure(bench, make):
    # Guards against one attempt too many: a worker that was out of reach
    # shows the failure of an older run after a newer one has failed.
    bench.add('a', STEP)
    first = bench.decide()[0][0]
    bench.answer(first)
    bench.now += 10_000
    for name in bench.infos:
        if name != first.worker:
            bench.look(name)
    second = bench.decide()[0][0]
    assert second.worker != first.worker
    bench.answer(second)
    bench.look(second.worker, ended=[make.end(second, 'failed')])
    bench.look(first.worker, ended=[make.end(first, 'failed')])
    assert bench.scheduler.jobs['a'].outcome is scheduling.Outcome.FAILED


def test_failure_that_is_seen_again_counts_once(bench, make):
    # Guards against a job that fails early, as a successor sees the ends
    # again that its predecessor recorded but did not acknowledge.
    bench.add('a', STEP)
    start = bench.decide()[0][0]
    bench.answer(start)
    bench.look(start.worker, ended=[make.end(start, 'failed')])
    bench.look(start.worker, ended=[make.end(start, 'failed')])
    assert bench.scheduler.jobs['a'].outcome is None


def test_end_of_an_ended_job_waits_for_its_record(bench, make):
    # Guards against an acknowledgement before the outcome is written.
    bench.add('a', scheduling.StepSpec(count=2, cpu=1_000))
    one, other = bench.decide()[0]
    bench.answer(one)
    bench.answer(other)
    bench.scheduler.cancel_job('a', bench.now)
    touched = bench.look(one.worker, ended=[make.end(one, 'stopped')])
    assert touched == {'a'}


def test_job_of_a_former_owner_waits_for_all_workers(bench):
    # Guards against a start of what may run on a worker not yet probed.
    spec = scheduling.JobSpec(id='a', route='r', payload='', steps=(STEP,))
    bench.scheduler.add_job(spec, bench.now, needs_probe=True)
    bench.add('b', STEP)
    starts, _ = bench.decide(is_probed=False)
    assert [s.key.job for s in starts] == ['b']
    starts, _ = bench.decide()
    assert [s.key.job for s in starts] == ['a']


def test_unknown_run_is_adopted_or_stopped(bench, make):
    # Guards against runs of a former owner that nobody watches.
    bench.add('a', STEP)
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
    bench.look('w0', running=[make.report(known), make.report(unknown)])
    starts, stops = bench.decide()
    assert starts == []
    assert [s.key.job for s in stops] == ['zz']


def test_done_in_another_run_stops_the_newer_one(bench, make):
    # Guards against a task that goes on although a run of it is done.
    bench.add('a', STEP)
    first = bench.decide()[0][0]
    bench.answer(first)
    bench.now += 10_000
    other = next(n for n in bench.infos if n != first.worker)
    bench.look(other)
    second = bench.decide()[0][0]
    bench.answer(second)
    bench.look(first.worker, ended=[make.end(first, 'done')])
    _, stops = bench.effects()
    assert [(s.worker, s.run) for s in stops] == [(other, second.run)]
    assert bench.scheduler.jobs['a'].outcome is scheduling.Outcome.COMPLETED


def test_gang_starts_whole_or_not_at_all(bench, make):
    # Guards against members that wait for others without room.
    gang = scheduling.StepSpec(count=5, cpu=5_000, is_gang=True)
    bench.add('a', gang)
    assert bench.decide()[0] == []
    bench.add('b', scheduling.StepSpec(count=4, cpu=5_000, is_gang=True))
    starts, _ = bench.decide()
    assert len(starts) == 4
    assert len({s.run for s in starts}) == 1
    for start in starts:
        bench.answer(start)
    bench.look(starts[0].worker, ended=[make.end(starts[0], 'done')])
    assert bench.scheduler.jobs['b'].outcome is scheduling.Outcome.COMPLETED


def test_repeated_job_starts_when_due(bench):
    # Guards against occurrences that start early or not at all.
    bench.add('a', STEP, repeat_count=2, first_due_ms=50_000, period_ms=10_000)
    assert bench.decide(wall=50_050)[0] == []
    starts, _ = bench.decide(wall=50_100)
    assert [s.key.occurrence for s in starts] == [0]
    starts, _ = bench.decide(wall=60_100)
    assert [s.key.occurrence for s in starts] == [1]


def test_worker_that_fails_everything_is_avoided(bench, make):
    # Guards against a fast failer that draws all tasks to itself.
    for number in range(3):
        bench.add(f'j{number}', STEP)
    starts, _ = bench.decide()
    for start in starts:
        bench.answer(start)
    sick = starts[0].worker
    ends = [
        make.end(s, 'failed', n + 1)
        for n, s in enumerate(starts)
        if s.worker == sick
    ]
    assert len(ends) == 3
    bench.look(sick, ended=ends)
    again, _ = bench.decide()
    assert {s.worker for s in again} == set(bench.infos) - {sick}


def test_leaving_worker_gets_nothing_and_service_tasks_move(bench, make):
    # Guards against new work on a worker that leaves.
    service = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
    bench.add('a', service)
    start = bench.decide()[0][0]
    bench.answer(start)
    infos = dict(bench.infos)
    info = infos[start.worker]
    infos[start.worker] = scheduling.WorkerInfo(
        id=info.id,
        pool=info.pool,
        address=info.address,
        failure_domain=info.failure_domain,
        cpu=info.cpu,
        memory_mb=info.memory_mb,
        born_ms=1,
        is_leaving=True,
    )
    bench.scheduler.set_workers(infos)
    _, stops = bench.decide()
    assert [s.run for s in stops] == [start.run]
    bench.look(start.worker, ended=[make.end(start, 'stopped')])
    again = bench.decide()[0]
    assert [s.worker for s in again] == [
        n for n in bench.infos if n != start.worker
    ]


def test_unregistered_worker_keeps_its_tasks_until_its_lease_is_over(bench):
    # Guards against a second run of what a worker may still run that the
    # list of workers has lost.
    bench.add('a', STEP)
    start = bench.decide()[0][0]
    bench.answer(start)
    rest = {n: i for n, i in bench.infos.items() if n != start.worker}
    bench.scheduler.set_workers(rest)
    for _ in range(5):
        bench.now += 1_000
        for name in rest:
            bench.look(name)
        bench.scheduler.decide(bench.now, 0, True)
        assert bench.effects()[0] == []
    bench.now += 3_000
    for name in rest:
        bench.look(name)
    assert len(bench.decide()[0]) == 1


def test_progress_survives_a_change_of_owner(bench, make):
    # Guards against done tasks and failures that a successor forgets.
    bench.add('a', scheduling.StepSpec(count=3, cpu=1_000))
    starts, _ = bench.decide()
    for start in starts:
        bench.answer(start)
    kinds = ('done', 'failed', 'stopped')
    for number, (start, how) in enumerate(zip(starts, kinds, strict=True)):
        bench.look(
            start.worker,
            ended=[make.end(start, how, number + 1, 'cp')],
        )
    job = bench.scheduler.jobs['a']
    progress = scheduling.progress_of(job)
    successor = scheduling.Scheduler(2, 6_000)
    successor.add_job(job.spec, 0, progress=progress)
    tasks = successor.jobs['a'].occurrence(0)[0]
    assert [t.is_done for t in tasks] == [True, False, False]
    assert tasks[1].failed_runs == [starts[1].run]
    assert tasks[2].checkpoint == 'cp'


def test_job_round_trip():
    # Guards against a field that is lost between intake and scheduler.
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
    plain = scheduling.job_to_plain(spec)
    assert scheduling.job_from_plain(plain) == spec
