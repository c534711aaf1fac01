"""Test the leases that an owner without the store may still extend.

Its successor starts tasks of workers that it cannot reach as soon as these
leases are over, although the former owner may still reach them.
"""

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins import fleet
from oriolestand_standins.fleet import owner_of

SERVICE = 'a' * 16
ONE_SERVICE = (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),)
MANY_TASKS = (scheduling.StepSpec(count=1_000, cpu=1_000),)
WORKER_COUNT = 5
SERVICE_LIMIT_MS = 9_000
"""A service task must run again within 6 s, and capacity must have been free
for 3 s."""


@pytest.fixture
def cell():
    """Return a site whose service task runs, and its daemons."""
    site = fleet.FleetSimulation()
    for number in range(WORKER_COUNT):
        site.add_worker(f'w{number}')
    daemons = [site.add_daemon(f'front-{n}') for n in range(3)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(500)
    site.submit(daemons[-1], SERVICE, ONE_SERVICE, duration_ms=120_000)
    site.run(2_000)
    return site, daemons


def split(site, daemons, reached_count):
    """Cut the owner off from the store, and split the workers.

    The owner reaches some of them, the worker of the service task among
    them, and the other daemons reach the rest.
    """
    owner = owner_of(daemons)
    worker = site.history[0].worker
    others = [name for name in site.workers if name != worker]
    reached = {worker, *others[: reached_count - 1]}
    owner.store.faults.is_unresponsive = True
    owner.orders.faults.unreachable = set(site.workers) - reached
    for daemon in daemons:
        if daemon is not owner:
            daemon.orders.faults.unreachable = reached


@pytest.mark.parametrize('delay_ms', [0, 400, 800])
@pytest.mark.parametrize('reached_count', range(1, WORKER_COUNT))
def test_owner_that_is_cut_off_with_some_workers_runs_no_task_twice(
    cell, reached_count, delay_ms
):
    # Guards against a successor that starts a task while the former owner
    # still extends the lease of its worker.
    site, daemons = cell
    site.run(delay_ms)
    split(site, daemons, reached_count)
    site.run(30_000)
    assert len(site.history) == 2
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('reached_count', [1, 2])
def test_service_task_of_a_cut_off_owner_starts_again_in_time(
    cell, reached_count
):
    # Guards against a wait for all the time in which an owner may act.
    site, daemons = cell
    cut_ms = site.clock.now()
    split(site, daemons, reached_count)
    site.run_until(lambda: len(site.history) > 1, 30_000)
    assert site.history[1].started_ms - cut_ms <= SERVICE_LIMIT_MS


def test_owner_of_most_workers_extends_leases_through_an_outage(cell):
    # Guards against runs that end although no successor can exist.
    site, daemons = cell
    for daemon in daemons:
        daemon.store.faults.is_unresponsive = True
    site.run(9_000)
    for daemon in daemons:
        daemon.store.faults.is_unresponsive = False
    site.run(10_000)
    assert [run.outcome for run in site.history] == ['']


def test_owner_without_most_workers_sends_no_starts(cell):
    # Guards against a start that reaches a worker which has just restarted:
    # it accepts an end on the clock of its former process.
    site, daemons = cell
    owner = owner_of(daemons)
    site.submit(owner, 'b' * 16, MANY_TASKS, duration_ms=500)
    site.run(2_000)
    sent = []
    task = owner.kernel.find('orders')
    real = task._start
    task._start = lambda msg: sent.append(msg) or real(msg)
    split(site, daemons, 2)
    term = owner.kernel.find('cell')._owner_term.term
    site.run_until(lambda: term.lease_limit_ms(site.clock.now()) == 0, 5_000)
    assert sent
    sent.clear()
    site.run(4_000)
    assert term.may_act(site.clock.now())
    assert not sent
