"""Tests that ids which callers were told have no job never run."""

import pytest

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import make_route

JOB = 'a' * 16
STEPS = (scheduling.StepSpec(count=1, cpu=1_000),)
ROUTE_OF_OTHERS = make_route('other', '/other/')
PAUSE_MS = 4_000
RETENTION_MS = 120_000
"""That of the simulated daemons."""


def result_of(site, fut):
    """Return the result or the error of a request."""
    results = []
    fut.addBoth(results.append)
    site.run_until(lambda: bool(results), 5_000)
    return results[0]


def refuse(site, daemon):
    """Submit the job to a daemon while it refuses jobs."""
    daemon.kernel.publish(jobs.OwnerLoadReported(delay_ms=9_000))
    answer = result_of(site, site.submit(daemon, JOB, STEPS))
    daemon.kernel.publish(jobs.OwnerLoadReported(delay_ms=0))
    return answer


def submit_late(site, daemon, effect_delay_ms):
    """Submit the job; its write is applied late and never answered."""
    daemon.store.faults.unanswered_commits = 2
    daemon.store.faults.effect_delay_ms = effect_delay_ms
    return site.submit(daemon, JOB, STEPS)


@pytest.mark.parametrize('effect_delay_ms', [300, 900, 3_000])
def test_job_that_does_not_exist_when_it_is_cancelled_never_runs(
    site, daemons, effect_delay_ms
):
    # A caller without an answer cancelled its job, got 410, and the write of
    # its submission was applied afterwards.
    answer = submit_late(site, daemons[0], effect_delay_ms)
    site.run(200)
    assert result_of(site, site.cancel(daemons[1], JOB)) is False
    site.run(8_000)
    assert site.history == []
    late = result_of(site, answer).value
    assert late.code in ('job_refused', 'job_in_doubt')
    # A submission that was sent before may reach any daemon at any time.
    for daemon in daemons:
        late = result_of(site, site.submit(daemon, JOB, STEPS)).value
        assert (late.code, late.verdict) == (
            'job_refused',
            core.Verdict.DID_NOT_RUN,
        )
        assert result_of(site, site.cancel(daemon, JOB)) is False
    site.run(5_000)
    assert site.history == []


def test_job_that_is_stored_while_it_is_cancelled_is_cancelled(site, daemons):
    # Guards against 410 for a job that another daemon stores between the read
    # and the write of the cancelling one.
    submit_late(site, daemons[0], 2).addErrback(lambda _: None)
    assert result_of(site, site.cancel(daemons[1], JOB)) is True
    site.run(1_000)
    assert site.state(daemons[2], JOB) == 'cancelled'


def test_job_of_another_path_is_not_cancelled(site, daemons):
    # Guards against a cancellation that is stored because the id is in use.
    assert result_of(site, site.submit(daemons[0], JOB, STEPS)) is True
    for daemon in daemons:
        cancelled = site.cancel(daemon, JOB, route=ROUTE_OF_OTHERS)
        assert result_of(site, cancelled) is False
    site.run(3_000)
    assert site.state(daemons[0], JOB) == 'completed'


@pytest.mark.parametrize('effect_delay_ms', [300, 900, 3_000])
def test_refused_id_may_be_submitted_again_and_be_refused_again(
    site, daemons, effect_delay_ms
):
    # Each refusal must hold for the submissions before it, and for no other.
    assert refuse(site, daemons[1]).value.code == 'owner_overloaded'
    site.run(1_000)
    submit_late(site, daemons[0], effect_delay_ms).addErrback(lambda _: None)
    site.run(200)
    assert refuse(site, daemons[1]).value.code == 'owner_overloaded'
    site.run(5_000)
    assert site.history == []
    assert result_of(site, site.submit(daemons[2], JOB, STEPS)) is True
    assert refuse(site, daemons[1]) is False
    site.run(3_000)
    assert len(site.history) == 1


def test_submission_that_arrived_before_a_refusal_is_not_stored_after_it(
    site, daemons
):
    # A daemon that could not write at first knew the refusal by the time it
    # tried again, and would have taken itself for a later submission.
    daemons[0].store.faults.is_down = True
    answer = site.submit(daemons[0], JOB, STEPS)
    site.run(20)
    assert refuse(site, daemons[1]).value.code == 'owner_overloaded'
    daemons[0].store.faults.is_down = False
    assert result_of(site, answer).value.code == 'job_refused'
    site.run(3_000)
    assert site.history == []


def test_refusal_without_an_answer_of_the_store_is_in_doubt(site, daemons):
    # Guards against a refusal that the store may not have applied.
    daemons[1].store.faults.unanswered_commits = 100
    daemons[1].store.faults.effect_delay_ms = 60_000
    reason = refuse(site, daemons[1]).value
    assert reason.code == 'job_in_doubt'
    assert reason.verdict is core.Verdict.MAY_HAVE_RUN


def test_accepted_job_takes_one_write(site, daemons):
    # Calls that write are priced; only refusals may take more.
    site.run(500)
    before = site.store.commits
    fut = site.submit(daemons[0], JOB, STEPS)
    site.run(5)
    assert result_of(site, fut) is True
    assert site.store.commits == before + 1


def test_refusals_are_removed_some_time_later(site, daemons):
    # Guards against rows that every daemon keeps for ever.
    assert refuse(site, daemons[1]).value.code == 'owner_overloaded'
    other = 'b' * 16
    assert result_of(site, site.cancel(daemons[1], other)) is False
    keys = {layout.JOB_PREFIX + job for job in (JOB, other)}

    def stored():
        return keys & {key for *_, key in site.store.rows}

    site.run(RETENTION_MS - 5_000)
    assert stored() == keys
    site.run(15_000)
    assert not stored()
    replicas = [d.kernel.find('jobs')._replica for d in daemons]
    assert not any(replica.entries for replica in replicas)


def test_submission_is_not_stored_after_its_deadline(site, daemons):
    # A daemon that stood still for longer than that sent another copy of the
    # write when it went on.
    slow = site.add_daemon('slow', pass_ms=PAUSE_MS)
    site.run(5 * PAUSE_MS - site.clock.now() % PAUSE_MS + 50)
    slow.store.faults.is_unresponsive = True
    answer = site.submit(slow, JOB, STEPS)
    slow.store.faults.is_unresponsive = False
    site.run(3 * PAUSE_MS)
    assert result_of(site, answer).value.code == 'job_in_doubt'
    assert site.history == []
    late = site.submit(slow, JOB, STEPS, deadline_ms=0)
    assert result_of(site, late).value.code == 'job_in_doubt'
    site.run(3 * PAUSE_MS)
    assert site.history == []
