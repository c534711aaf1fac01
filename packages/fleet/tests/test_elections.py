"""Tests that the cell has one acting owner when the store is seen late."""

import itertools
import json

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import owner_of

ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)


def stored_owner(site):
    """Return the content of the owner row."""
    return json.loads(
        site.store.rows[('oriolestand', 'cell-0', 'owner')].value
    )


def record_claims(site):
    """Return a list to which the time of each attempted claim is added."""
    times = []
    commit = site.store.commit

    def record(msg):
        if any(put.key == 'owner' for put in msg.puts):
            times.append(site.clock.now())
        return commit(msg)

    site.store.commit = record
    return times


@pytest.mark.parametrize('delay_ms', [2_000, 3_000, 5_000, 9_000])
def test_late_view_does_not_replace_a_healthy_owner(site, daemons, delay_ms):
    # A daemon that receives renewals seconds late must not take the cell
    # from an owner that renews.
    owner = owner_of(daemons)
    before = stored_owner(site)
    site.submit(daemons[0], 'a' * 16, duration_ms=12_000)
    follower = follower_of(daemons)
    for fault_ms in (delay_ms, 0, delay_ms):
        follower.store.faults.change_delay_ms = fault_ms
        site.run(12_000)
        assert stored_owner(site) == before
        assert owner.is_owner
    assert site.overlapping_runs() == []
    assert len(site.history) == 2


def test_daemon_with_a_late_view_takes_over_a_silent_owner(site, daemons):
    # The condition on the renewal row must not prevent a takeover when only
    # a daemon that sees the store late is left.
    lost = owner_of(daemons)
    follower = follower_of(daemons)
    for daemon in daemons:
        if daemon not in (lost, follower):
            daemon.disconnect()
    follower.store.faults.change_delay_ms = 4_000
    site.run(10_000)
    assert lost.is_owner
    lost.disconnect()
    site.run_until(lambda: stored_owner(site)['epoch'] == 2, 8_000)


def test_refused_claim_is_repeated_only_after_further_silence(site, daemons):
    # A daemon that learns from a refusal that the owner renews must not send
    # claim after claim.
    times = record_claims(site)
    follower_of(daemons).store.faults.change_delay_ms = 9_000
    site.run(9_000)
    assert len(times) >= 2
    pauses = [later - time for time, later in itertools.pairwise(times)]
    assert min(pauses) >= 2_600


def test_late_changes_do_not_undo_the_rows_of_a_refusal(site, daemons):
    # A claim that names the older version of a late change would be refused
    # again, even if the owner is gone.
    follower = follower_of(daemons)
    follower.store.faults.change_delay_ms = 5_000
    cell = follower.kernel.find('cell')
    versions = []
    for _ in range(100):
        site.run(100)
        versions.append(cell._renewal_version)
    assert versions == sorted(versions)
    assert versions[-1] > versions[0]
