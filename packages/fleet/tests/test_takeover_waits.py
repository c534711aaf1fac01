"""Test how long tasks wait when several daemons are restarted in a row.

Workers leave or are lost meanwhile, so that no later owner hears from them.
"""

import dataclasses

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.services.cell import models
from oriolestand_policy import ownership
from oriolestand_policy import scheduling
from oriolestand_standins import fleet
from oriolestand_standins.fleet import owner_of

SERVICE = 'a' * 16
PLAIN = 'b' * 16
ONE_SERVICE = (scheduling.StepSpec(count=1, cpu=2_000, is_service=True),)
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
TERM_MS = 1_500
RESTARTS = 6
SERVICE_LIMIT_MS = 9_000
"""A service task must run again within 6 s, and capacity must have been free
for 3 s."""

LEASE_LIMIT_MS = 8_500
"""The lease of a lost worker lasts up to 6 s, 2% more on a slow clock, and
0.7 s are allowed to end its runs. The owner may have requested it up to a poll
after the loss, and its successor claims the cell within a second."""


@pytest.fixture
def cell():
    """Return a site with four workers and daemons for several restarts."""
    site = fleet.FleetSimulation()
    for number in range(4):
        site.add_worker(f'w{number}')
    daemons = [site.add_daemon(f'front-{n}') for n in range(RESTARTS + 2)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(500)
    return site, daemons


def restart_owner(site, daemons, run_ms=TERM_MS):
    """Shut the owner down and let its successor act for some time."""
    owner = owner_of(daemons)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
    site.run(run_ms)


def lose_worker(site, name):
    """Crash a worker and remove its registration."""
    site.workers[name].crash()
    site.store.unregister_worker(name)


def leave(site, name):
    """Let a worker announce that it leaves."""
    info = dataclasses.replace(site.workers[name].info, is_leaving=True)
    site.store.register_worker(info)


def runs_of(site, job):
    """Return the runs of a job, the oldest first."""
    return [run for run in site.history if run.key.job == job]


def idle_worker(site):
    """Return the name of a worker on which nothing has run."""
    used = {run.worker for run in site.history}
    return next(name for name in site.workers if name not in used)


def test_ended_service_task_does_not_wait_for_other_workers(cell):
    # Guards against a task whose end is known but which waits, under each new
    # owner anew, for workers that left before the claim.
    site, daemons = cell
    site.outcome_of = lambda key, number: 'failed'
    site.submit(daemons[0], SERVICE, ONE_SERVICE, duration_ms=3_500)
    site.run(1_000)
    lose_worker(site, idle_worker(site))
    for _ in range(RESTARTS):
        restart_owner(site, daemons)
    site.run(SERVICE_LIMIT_MS)
    runs = runs_of(site, SERVICE)
    assert len(runs) > 1
    for former, latter in zip(runs, runs[1:], strict=False):
        assert latter.started_ms - former.ended_ms <= SERVICE_LIMIT_MS
    assert site.overlapping_runs() == []


def test_task_of_a_lost_worker_waits_for_its_lease_once(cell):
    # Guards against a wait for the lease of a lost worker that begins anew
    # with each owner, although none of them has extended the lease.
    site, daemons = cell
    site.submit(daemons[0], SERVICE, ONE_SERVICE, duration_ms=120_000)
    site.run(1_000)
    (run,) = runs_of(site, SERVICE)
    lost_ms = site.clock.now()
    lose_worker(site, run.worker)
    for _ in range(RESTARTS):
        restart_owner(site, daemons)
    site.run(LEASE_LIMIT_MS)
    latter = runs_of(site, SERVICE)[1]
    assert latter.started_ms - lost_ms <= LEASE_LIMIT_MS


def test_short_terms_add_nothing_to_the_wait_of_a_takeover(cell):
    # Guards against a successor that allows for a former owner that can still
    # act, although every former owner has released the cell.
    site, daemons = cell
    restart_owner(site, daemons)
    lose_worker(site, 'w0')
    restart_owner(site, daemons)
    claimed_ms = site.clock.now() - TERM_MS
    term = owner_of(daemons).kernel.find('cell')._owner_term
    assert term.term.takeover_deadline_ms - claimed_ms <= LEASE_LIMIT_MS


def test_plain_task_waits_for_the_lease_of_a_lost_worker_once(cell):
    # As above, for a task that the record of its job does not place.
    site, daemons = cell
    site.outcome_of = lambda key, number: 'failed'
    site.submit(daemons[0], PLAIN, ONE_TASK, duration_ms=2_500)
    site.run(1_000)
    lost_ms = site.clock.now()
    lose_worker(site, idle_worker(site))
    for _ in range(RESTARTS):
        restart_owner(site, daemons)
    site.run(LEASE_LIMIT_MS)
    latter = runs_of(site, PLAIN)[1]
    assert latter.started_ms - lost_ms <= LEASE_LIMIT_MS


def test_successor_does_not_wait_for_a_worker_that_left_empty(cell):
    # Guards against tasks that wait for the lease of a worker which had
    # nothing left to run when it announced that it leaves.
    site, daemons = cell
    site.outcome_of = lambda key, number: 'failed'
    site.submit(daemons[0], PLAIN, ONE_TASK, duration_ms=4_800)
    site.run(1_000)
    left = idle_worker(site)
    leave(site, left)
    site.run(3_000)
    lose_worker(site, left)
    restart_owner(site, daemons, run_ms=4_000)
    first, second = runs_of(site, PLAIN)
    assert second.started_ms - first.ended_ms <= 1_000


def test_silent_owner_before_a_released_one_is_waited_for(cell):
    # Guards against a successor of a released owner that does not allow for
    # the silent owner before, which still extends leases of a worker that
    # only it reaches.
    site, daemons = cell
    site.submit(daemons[0], PLAIN, ONE_TASK, duration_ms=30_000)
    site.run(1_000)
    (run,) = runs_of(site, PLAIN)
    silent = owner_of(daemons)
    daemons.remove(silent)
    silent.store.faults.is_unresponsive = True
    silent.orders.faults.unreachable = set(site.workers) - {run.worker}
    for daemon in daemons:
        daemon.orders.faults.unreachable = {run.worker}
    site.run_until(lambda: any(d.is_owner for d in daemons), 6_000)
    site.run(500)
    restart_owner(site, daemons, run_ms=500)
    restart_owner(site, daemons, run_ms=25_000)
    assert len(runs_of(site, PLAIN)) == 2
    assert site.overlapping_runs() == []


def test_successor_of_a_settled_owner_waits_for_leases_only(cell):
    # Guards against a renewal that stays unsettled until the whole wait of
    # its owner's takeover from a silent owner is over.
    site, daemons = cell
    silent = owner_of(daemons)
    daemons.remove(silent)
    silent.disconnect()
    lose_worker(site, 'w0')
    site.run_until(lambda: any(d.is_owner for d in daemons), 6_000)
    site.run(ownership.MAX_UNRENEWED_MS + 2 * ownership.RENEW_INTERVAL_MS)
    restart_owner(site, daemons)
    claimed_ms = site.clock.now() - TERM_MS
    term = owner_of(daemons).kernel.find('cell')._owner_term
    assert term.term.takeover_deadline_ms - claimed_ms <= LEASE_LIMIT_MS


def test_wait_for_a_silent_owner_does_not_begin_anew_with_each_owner(cell):
    # Guards against a chain of short terms after a silent owner in which each
    # owner allows 10 s for it anew, although it has been unable to act for
    # long.
    site, daemons = cell
    silent = owner_of(daemons)
    daemons.remove(silent)
    silent.disconnect()
    site.run_until(lambda: any(d.is_owner for d in daemons), 6_000)
    settled_ms = site.clock.now() + ownership.MAX_UNRENEWED_MS
    daemons += [site.add_daemon(f'front-{n}') for n in range(20, 28)]
    site.run(TERM_MS)
    while site.clock.now() < settled_ms + TERM_MS:
        restart_owner(site, daemons)
    lose_worker(site, 'w0')
    restart_owner(site, daemons)
    claimed_ms = site.clock.now() - TERM_MS
    term = owner_of(daemons).kernel.find('cell')._owner_term
    assert term.term.takeover_deadline_ms - claimed_ms <= LEASE_LIMIT_MS


def test_row_of_an_empty_leaving_worker_is_removed_under_short_terms(cell):
    # Guards against a row that no owner removes, as each one counts the time
    # for which a silent owner may act from its own claim.
    site, daemons = cell
    silent = owner_of(daemons)
    daemons.remove(silent)
    silent.disconnect()
    site.run_until(lambda: any(d.is_owner for d in daemons), 6_000)
    settled_ms = site.clock.now() + ownership.MAX_UNRENEWED_MS
    daemons += [site.add_daemon(f'front-{n}') for n in range(20, 28)]
    leave(site, 'w0')
    site.run(TERM_MS)
    while site.clock.now() < settled_ms + TERM_MS:
        restart_owner(site, daemons)
    key = layout.WORKER_PREFIX + 'w0'
    assert not any(key == row_key for *_, row_key in site.store.rows)


def test_silent_owner_does_not_restart_tasks_that_its_successor_keeps(cell):
    # Guards against a silent owner that releases the runs of a worker which
    # it cannot reach, as the lease that it requested is over, and starts
    # their tasks at another worker, while its successor extends that lease.
    site, daemons = cell
    site.submit(daemons[0], PLAIN, ONE_TASK, duration_ms=30_000)
    site.run(1_000)
    (run,) = runs_of(site, PLAIN)
    near = idle_worker(site)
    silent = owner_of(daemons)
    daemons.remove(silent)
    silent.store.faults.is_unresponsive = True
    silent.orders.faults.unreachable = set(site.workers) - {near}
    for daemon in daemons:
        daemon.orders.faults.unreachable = {near}
    site.run(20_000)
    assert any(daemon.is_owner for daemon in daemons)
    assert not run.outcome
    assert site.overlapping_runs() == []


def test_renewals_of_an_epoch_never_tell_a_longer_wait(cell):
    # Guards against an old view of a renewal that gives a shorter wait than
    # the last one, and against a claim that begins the wait anew.
    site, daemons = cell
    silent = owner_of(daemons)
    daemons.remove(silent)
    silent.disconnect()
    site.run_until(lambda: any(d.is_owner for d in daemons), 6_000)
    site.run(4_000)
    restart_owner(site, daemons, run_ms=9_000)
    renewals = {}
    for _, row in site.store.changes:
        if row.key == layout.RENEWAL_KEY and row.value is not None:
            renewal = models.decode_renewal(row.value)
            renewals.setdefault(renewal.epoch, []).append(renewal)
    former, latter = list(renewals.values())[-2:]
    waits = [renewal.unsettled_ms for renewal in former + latter]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] == ownership.MAX_UNRENEWED_MS
    assert former[-1].unsettled_ms > latter[0].unsettled_ms > 0
    assert waits[-1] == 0
