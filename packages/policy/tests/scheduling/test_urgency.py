"""Test the order in which ready tasks start."""

import dataclasses

from oriolestand_policy import scheduling

BIG = scheduling.StepSpec(count=1, cpu=10_000, estimate_ms=1_000)


def test_job_that_can_be_in_time_goes_before_a_late_one(harness):
    # Guards against making every job late under overload by starting the
    # oldest one first.
    harness.add('old', BIG, accepted_ms=100_000)
    harness.add('new', BIG, accepted_ms=109_500)
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 1_000
    starts, _ = harness.decide(wall=110_000)
    # The objective is 1 s, so the old job has no value left.
    assert [s.key.job for s in starts] == ['new']


def test_late_job_goes_before_one_that_is_lost(harness):
    # Guards against starting jobs without value before jobs with some.
    harness.add('lost', BIG, accepted_ms=100_000)
    harness.add('late', BIG, accepted_ms=108_500)
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 1_000
    starts, _ = harness.decide(wall=110_000)
    assert [s.key.job for s in starts] == ['late']


def test_urgent_route_goes_first(harness):
    # Guards against urgent jobs that wait behind a lower priority.
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='slow', pool='p', priority=2)]
    )
    spec = scheduling.JobSpec(
        id='a', route='slow', payload='', steps=(BIG,), accepted_ms=109_900
    )
    harness.scheduler.add_job(spec, harness.now)
    harness.add('b', BIG, accepted_ms=100_000)
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 1_000
    starts, _ = harness.decide(wall=110_000)
    assert [s.key.job for s in starts] == ['b']


def test_job_with_little_slack_yields_to_a_new_one(harness):
    # Guards against starting each job under overload so late that any delay
    # makes it miss its objective.
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='r', pool='p', stretch=3.0)]
    )
    harness.add('old', BIG, accepted_ms=108_100)
    harness.add('new', BIG, accepted_ms=109_900)
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 1_000
    starts, _ = harness.decide(wall=110_000)
    # Of the objective of 3 s, 1 s is run time. 1.9 s have passed, so only
    # 0.1 s of slack is left.
    assert [s.key.job for s in starts] == ['new']


def test_job_that_has_started_keeps_its_place(harness):
    # Guards against abandoning a job after its first steps have run.
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='r', pool='p', stretch=3.0)]
    )
    harness.add('old', BIG, accepted_ms=108_100)
    harness.scheduler.jobs['old'].is_start_decided = True
    harness.add('new', BIG, accepted_ms=109_900)
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 1_000
    starts, _ = harness.decide(wall=110_000)
    assert [s.key.job for s in starts] == ['old']


def test_begun_job_is_finished_before_one_that_is_due_earlier(harness, make):
    # Under overload each job was begun and then left for others that were due
    # earlier, so that most of the work earned nothing.
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='r', pool='p', stretch=3.0)]
    )
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 10_000
    long = dataclasses.replace(BIG, count=2, estimate_ms=1_500)
    harness.add('begun', long, accepted_ms=109_900)
    first = harness.decide(wall=110_000)[0][0]
    harness.answer(first)
    harness.add('new', BIG, accepted_ms=110_000)
    harness.poll('w0', ended=[make.end(first, 'done')])
    starts, _ = harness.decide(wall=110_100)
    # It is due at 114.4 s, the new one at 113 s.
    assert [s.key.job for s in starts] == ['begun']


def test_begun_job_of_many_steps_does_not_pass_short_ones(harness, make):
    # A job of a hundred steps took all room from short jobs for minutes,
    # although it had time to spare.
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='r', pool='p', stretch=3.0)]
    )
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 10_000
    steps = [
        dataclasses.replace(BIG, after=(number - 1,) if number else ())
        for number in range(100)
    ]
    harness.add('long', *steps, accepted_ms=109_900)
    first = harness.decide(wall=110_000)[0][0]
    harness.answer(first)
    harness.add('short', BIG, accepted_ms=110_900)
    harness.now += 1_000
    harness.poll('w0', ended=[make.end(first, 'done')])
    starts, _ = harness.decide(wall=111_000)
    assert [s.key.job for s in starts] == ['short']


def test_job_without_its_last_task_goes_before_a_new_one(harness, make):
    # A run that failed when the job could no longer be in time was repeated
    # after tens of seconds, although it was all that the job lacked.
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 100_000
    step = scheduling.StepSpec(count=8, cpu=1_000, estimate_ms=1_000)
    harness.add('old', step, accepted_ms=109_900)
    runs = harness.decide(wall=110_000)[0]
    for run in runs:
        harness.answer(run)
    harness.now += 1_000
    harness.add('new', BIG, accepted_ms=110_900)
    ends = [make.end(run, 'done') for run in runs[:-1]]
    harness.poll('w0', ended=[*ends, make.end(runs[-1], 'failed')])
    harness.scheduler.workers['w0'].avoid_until_ms = 0
    starts, _ = harness.decide(wall=111_000)
    assert [s.key.job for s in starts] == ['old']


def test_late_job_with_much_work_left_comes_after_a_new_one(harness, make):
    # Guards against work for a value that is mostly gone.
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='r', pool='p', stretch=2.0)]
    )
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 100_000
    harness.add('old', dataclasses.replace(BIG, count=2), accepted_ms=108_000)
    first = harness.decide(wall=108_100)[0][0]
    harness.answer(first)
    harness.now += 2_900
    harness.add('new', BIG, accepted_ms=111_000)
    harness.poll('w0', ended=[make.end(first, 'done')])
    starts, _ = harness.decide(wall=111_000)
    assert [s.key.job for s in starts] == ['new']


def test_ended_service_task_starts_before_later_services(harness, make):
    # A service is past its objective once it has run for some time. Every
    # service submitted later then started before its ended tasks.
    service = dataclasses.replace(BIG, is_service=True)
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 100_000
    harness.add('old', service, accepted_ms=1)
    start = harness.decide(wall=1)[0][0]
    harness.answer(start)
    harness.now += 60_000
    harness.add('new', service, accepted_ms=59_990)
    harness.poll('w0', ended=[make.end(start, 'failed')])
    harness.now += 9_000
    harness.poll('w0')
    starts, _ = harness.decide(wall=60_000)
    assert [s.key.job for s in starts] == ['old']


def test_ended_service_task_is_not_starved_by_plain_tasks(harness, make):
    # In a full cell plain tasks of the same priority took all room that
    # became free, so that ended service tasks waited for 30 s.
    service = dataclasses.replace(BIG, is_service=True)
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 100_000
    harness.add('service', service, accepted_ms=1)
    start = harness.decide(wall=1)[0][0]
    harness.answer(start)
    harness.now += 60_000
    harness.add('first', BIG, accepted_ms=60_000)
    harness.poll('w0', ended=[make.end(start, 'failed')])
    harness.scheduler.workers['w0'].avoid_until_ms = 0
    plain = harness.decide(wall=60_000)[0][0]
    assert plain.key.job == 'first'
    harness.answer(plain)
    harness.now += 2_500
    harness.add('second', BIG, accepted_ms=62_500)
    harness.poll('w0', ended=[make.end(plain, 'done')])
    starts, _ = harness.decide(wall=62_500)
    assert [s.key.job for s in starts] == ['service']
