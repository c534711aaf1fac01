"""Test the order of ready tasks."""

from oriolestand_policy import scheduling

BIG = scheduling.StepSpec(count=1, cpu=10_000, estimate_ms=1_000)


def test_job_that_can_be_in_time_goes_before_a_late_one(bench):
    # Guards against an overload in which every job is late, as the oldest
    # one goes first.
    bench.add('old', BIG, accepted_ms=100_000)
    bench.add('new', BIG, accepted_ms=109_500)
    bench.scheduler.workers['w1'].avoid_until_ms = bench.now + 1_000
    starts, _ = bench.decide(wall=110_000)
    # The objective is 1 s: the old job has lost its worth.
    assert [s.key.job for s in starts] == ['new']


def test_late_job_goes_before_one_that_is_lost(bench):
    # Guards against work that nobody waits for any more before other work.
    bench.add('lost', BIG, accepted_ms=100_000)
    bench.add('late', BIG, accepted_ms=108_500)
    bench.scheduler.workers['w1'].avoid_until_ms = bench.now + 1_000
    starts, _ = bench.decide(wall=110_000)
    assert [s.key.job for s in starts] == ['late']


def test_urgent_route_goes_first(bench):
    # Guards against urgent work behind work of a lower priority.
    bench.scheduler.set_routes(
        [scheduling.RoutePolicy(name='slow', pool='p', priority=2)]
    )
    spec = scheduling.JobSpec(
        id='a', route='slow', payload='', steps=(BIG,), accepted_ms=109_900
    )
    bench.scheduler.add_job(spec, bench.now)
    bench.add('b', BIG, accepted_ms=100_000)
    bench.scheduler.workers['w1'].avoid_until_ms = bench.now + 1_000
    starts, _ = bench.decide(wall=110_000)
    assert [s.key.job for s in starts] == ['b']


def test_job_that_can_just_be_in_time_gives_way_to_a_fresh_one(bench):
    # Guards against an overload in which each job starts when any delay
    # makes it late.
    bench.scheduler.set_routes(
        [scheduling.RoutePolicy(name='r', pool='p', stretch=3.0)]
    )
    bench.add('old', BIG, accepted_ms=108_100)
    bench.add('new', BIG, accepted_ms=109_900)
    bench.scheduler.workers['w1'].avoid_until_ms = bench.now + 1_000
    starts, _ = bench.decide(wall=110_000)
    # Two of three seconds may pass before the start; 1.9 s have.
    assert [s.key.job for s in starts] == ['new']


def test_job_that_has_started_keeps_its_turn(bench):
    # Guards against work on the first step of a job that is then given up.
    bench.scheduler.set_routes(
        [scheduling.RoutePolicy(name='r', pool='p', stretch=3.0)]
    )
    bench.add('old', BIG, accepted_ms=108_100)
    bench.scheduler.jobs['old'].has_started = True
    bench.add('new', BIG, accepted_ms=109_900)
    bench.scheduler.workers['w1'].avoid_until_ms = bench.now + 1_000
    starts, _ = bench.decide(wall=110_000)
    assert [s.key.job for s in starts] == ['old']
