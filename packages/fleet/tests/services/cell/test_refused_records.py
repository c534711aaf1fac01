"""Tests of an owner of which the store refuses the record of one job."""

import pytest

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

REFUSED = 'c' * 16
BATCH = 'b' * 16
ONE_SERVICE = (scheduling.StepSpec(count=1, cpu=2_000, is_service=True),)
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
LONG_MS = 120_000


@pytest.fixture
def owner(site, daemons):
    """Return the owner; a service task waits for a refused record."""
    owner = owner_of(daemons)
    task = owner.kernel.find('store')
    real = task._commit

    async def commit(msg):
        if any(p.key == layout.PROGRESS_PREFIX + REFUSED for p in msg.puts):
            raise store.StoreError('refused', core.Verdict.DID_NOT_RUN)
        return await real(msg)

    task._commit = commit
    site.submit(owner, REFUSED, ONE_SERVICE, duration_ms=LONG_MS)
    site.run(1_000)
    assert not site.history
    return owner


def test_refused_record_of_a_service_does_not_hold_up_others(site, owner):
    # The record of a start that waits was written first, again and again, so
    # that no other record was written.
    site.submit(owner, BATCH, ONE_TASK, duration_ms=500)
    site.run(4_000)
    key = (layout.OWNER_TABLE, layout.CELL_PART)
    assert (*key, layout.PROGRESS_PREFIX + BATCH) in site.store.rows
    assert site.state(owner, BATCH) == 'completed'
