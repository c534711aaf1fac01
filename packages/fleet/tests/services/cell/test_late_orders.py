"""Tests of orders that wait while the owner may not act any more."""

import pytest

from oriolestand_fleet.messages import jobs
from oriolestand_policy import ownership
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
STEP = scheduling.StepSpec(count=1, cpu=1_000)
SEND_DELAY_MS = 600
REMAINING_MS = 300
"""Time from the decision until the last renewal is too old to act."""


@pytest.fixture
def owner(daemons):
    """Return the owner of the cell."""
    return owner_of(daemons)


def test_start_is_not_sent_once_the_owner_may_not_act(site, daemons, owner):
    # The term ends when a renewal fails, up to 1.65 s after the last one has
    # become too old. Orders that waited for a connection were sent meanwhile,
    # when successors assume that no former owner acts.
    for daemon in daemons:
        if daemon is not owner:
            daemon.disconnect()
    owner.store.faults.is_unresponsive = True
    owner.orders.faults.send_delay_ms = SEND_DELAY_MS
    owner_term = owner.kernel.find('cell')._owner_term
    term = owner_term.term
    site.run(2_000)
    end_ms = term.renewed_ms + ownership.MAX_UNRENEWED_MS
    site.run_until(lambda: site.clock.now() >= end_ms - REMAINING_MS, 10_000)
    spec = scheduling.JobSpec(
        id=JOB, route='route', payload='p', steps=(STEP,)
    )
    owner_term.add_job(jobs.StoredJob(id=JOB, spec=spec))
    site.run(REMAINING_MS)
    assert not term.may_act(site.clock.now())
    site.run(2_000)
    assert site.history == []
