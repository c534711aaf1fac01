"""End-to-end tests of jobs, from the caller to the workers and back."""

from oriolestand_fleet.messages import jobs
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import make_route
from oriolestand_standins.fleet import owner_of
from oriolestand_standins.fleet import result_of


def test_all_daemons_report_a_completed_job(site, daemons):
    # Every daemon must report the state, not only the owner of the cell.
    fut = site.submit(follower_of(daemons), 'a' * 16)
    site.run(200)
    assert result_of(fut) is True
    site.run(2_000)
    assert {site.state(d, 'a' * 16) for d in daemons} == {'completed'}
    assert len(site.history) == 2


def test_resubmitted_job_runs_once(site, daemons):
    # A caller that resends a stored request must not cause a second run.
    site.submit(daemons[0], 'a' * 16)
    fut = site.submit(daemons[1], 'a' * 16)
    site.run(2_500)
    assert result_of(fut) in (True, False)
    assert len(site.history) == 2
    again = site.submit(daemons[2], 'a' * 16)
    site.run(1_500)
    assert result_of(again) is False
    assert len(site.history) == 2


def test_steps_run_in_order(site, daemons):
    # A step must not start before the steps that it depends on are done.
    steps = (
        scheduling.StepSpec(count=3, cpu=1_000),
        scheduling.StepSpec(count=2, cpu=1_000, after=(0,)),
    )
    site.submit(daemons[0], 'b' * 16, steps)
    site.run(4_000)
    first_end = max(r.ended_ms for r in site.history if r.key.step == 0)
    second = [r.started_ms for r in site.history if r.key.step == 1]
    assert len(second) == 2
    assert min(second) >= first_end


def test_worker_capacity_is_not_exceeded(site, daemons):
    # The tasks of a worker must not exceed its capacity.
    steps = (scheduling.StepSpec(count=30, cpu=3_000),)
    site.submit(daemons[0], 'c' * 16, steps)
    site.run(8_000)
    assert site.state(daemons[0], 'c' * 16) == 'completed'
    for record in site.history:
        concurrent = [
            r
            for r in site.history
            if r.worker == record.worker
            and r.started_ms <= record.started_ms < r.ended_ms
        ]
        assert len(concurrent) <= 2


def test_failed_task_is_retried_up_to_the_limit(site, daemons):
    # A task must get exactly as many attempts as the route allows.
    site.outcome_of = lambda key, number: 'failed'
    steps = (scheduling.StepSpec(count=1, cpu=1_000),)
    site.submit(daemons[0], 'd' * 16, steps)
    site.run(5_000)
    assert len(site.history) == 2
    assert site.state(daemons[1], 'd' * 16) == 'failed'


def test_service_task_is_restarted(site, daemons):
    # A service task must not stay down after its run ends.
    steps = (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),)
    site.submit(daemons[0], 'e' * 16, steps, duration_ms=700)
    site.run(4_000)
    assert len(site.history) >= 4
    assert site.state(daemons[0], 'e' * 16) == 'running'


def test_cancelling_a_job_stops_its_tasks(site, daemons):
    # Tasks must not keep running after their job is cancelled.
    site.submit(daemons[0], 'f' * 16, duration_ms=60_000)
    site.run(500)
    fut = site.cancel(follower_of(daemons), 'f' * 16)
    site.run(1_000)
    assert result_of(fut) is True
    assert [r.outcome for r in site.history] == ['stopped', 'stopped']
    assert {site.state(d, 'f' * 16) for d in daemons} == {'cancelled'}


def test_unknown_job_is_reported_as_missing(site, daemons):
    # A job that was never submitted must not get a state.
    assert site.state(daemons[0], '0' * 16) is None
    fut = site.cancel(daemons[0], '0' * 16)
    site.run(100)
    assert result_of(fut) is False


def test_waiting_count_includes_jobs_without_room(site, daemons):
    # Jobs that no worker has capacity for must be counted as waiting.
    steps = (scheduling.StepSpec(count=1, cpu=8_000),)
    for number in range(5):
        site.submit(daemons[0], f'{number:016x}', steps, duration_ms=30_000)
    site.run(2_500)
    for daemon in daemons:
        request = jobs.CountWaiting(
            route=make_route(), deadline_ms=site.clock.now() + 1_000
        )
        fut = daemon.kernel.ask('jobs', request)
        assert result_of(fut) == 2
    assert owner_of(daemons)


def test_old_jobs_are_removed_from_the_store(site, daemons):
    # The store and the replicas must not grow without bound.
    site.submit(daemons[0], 'a' * 16)
    site.run(3_000)
    site.submit(daemons[1], 'b' * 16, duration_ms=400_000)
    for _ in range(170):
        site.run(1_000)
    keys = {key for *_, key in site.store.rows}
    assert 'record/' + 'a' * 16 not in keys
    assert 'job/' + 'a' * 16 not in keys
    assert 'spec/' + 'a' * 16 not in keys
    assert 'progress/' + 'a' * 16 not in keys
    assert 'job/' + 'b' * 16 in keys
    for daemon in daemons:
        assert site.state(daemon, 'a' * 16) is None
        assert site.state(daemon, 'b' * 16) == 'running'
