"""Tests of ends of runs whose job the owner does not know."""

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import orders
from oriolestand_fleet.services.cell import const
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
KEY = scheduling.TaskKey(JOB, 0, 0, 0)
DURATION_MS = 300


@pytest.fixture
def owner(site, daemons):
    """Return an owner to which no new jobs arrive."""
    found = owner_of(daemons)
    found.store.faults.paused_tables = {layout.SPEC_TABLE}
    site.run(2_000)
    return found


def start_as_former_owner(site):
    """Start a run on the worker ``w0``, as a former owner could have done."""
    site.durations[JOB] = DURATION_MS
    site.workers['w0'].start(
        orders.StartRun(
            target=orders.Target(worker='w0', address='w0:1'),
            key=KEY,
            number=7,
            payload='p',
            checkpoint='',
            lease_end_ms=site.clock.now() + 5_000,
            epoch=1,
            send_by_ms=site.clock.now() + 5_000,
        )
    )
    return site.history[-1]


def test_end_is_listed_again_to_the_next_owner(site, daemons, owner):
    # The end was acknowledged although the owner did not know the job yet,
    # and the next owner started the done task again.
    others = [daemon for daemon in daemons if daemon is not owner]
    site.submit(others[0], JOB, ONE_TASK, duration_ms=DURATION_MS)
    first = start_as_former_owner(site)
    site.run(1_500)
    assert first.outcome == 'done'
    assert not first.is_acknowledged
    owner.disconnect()
    site.run_until(lambda: any(d.is_owner for d in others), 8_000)
    site.run(12_000)
    assert site.history == [first]
    assert first.is_acknowledged
    assert site.state(others[0], JOB) == 'completed'


def test_end_is_acknowledged_once_the_job_is_recorded(site, daemons, owner):
    # Guards against ends that stay listed although they are applied, and
    # against an acknowledgement before the record is written.
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=DURATION_MS)
    first = start_as_former_owner(site)
    site.run(1_500)
    for daemon in daemons:
        daemon.store.faults.unanswered_commits = 1_000
    owner.store.faults.paused_tables = set()
    site.run(1_200)
    assert not first.is_acknowledged
    for daemon in daemons:
        daemon.store.faults.unanswered_commits = 0
    site.run(2_500)
    assert first.is_acknowledged
    assert site.state(daemons[0], JOB) == 'completed'
    assert site.history == [first]


def test_end_of_a_removed_job_is_acknowledged_in_time(site, owner):
    # A worker lists 500 ends at most, so an end of a job that was removed
    # must not stay listed, and it must not hold up others for longer.
    first = start_as_former_owner(site)
    site.run(const.UNKNOWN_JOB_WAIT_MS)
    assert not first.is_acknowledged
    site.run(2 * DURATION_MS + 500)
    assert first.is_acknowledged


def test_polls_pause_while_an_end_waits(site, owner):
    # A worker that lists ends answers each poll at once.
    start_as_former_owner(site)
    worker = site.workers['w0']
    poll = worker.poll
    polls = []

    async def record_poll(msg):
        polls.append(site.clock.now())
        return await poll(msg)

    worker.poll = record_poll
    site.run(4_000)
    assert len(polls) <= 4_000 // const.RECORD_WAIT_MS + 2
