"""Tests that a done task does not run again, however its end is reported."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)


@pytest.mark.parametrize('report_delay_ms', [2_500, 4_000])
def test_end_in_a_late_report_of_a_worker_that_exits(
    site, daemons, report_delay_ms
):
    # A worker listed an end and exited. Its report crossed a slow link and
    # arrived after the timeout of the poll, on a connection that had been
    # aborted, and the task ran again.
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=3_000)
    site.run_until(lambda: site.history, 2_000)
    first = site.history[0]
    owner = owner_of(daemons)
    site.run_until(lambda: site.clock.now() > first.started_ms + 2_500, 3_000)
    owner.orders.faults.report_delays_ms[first.worker] = report_delay_ms
    site.run_until(lambda: first.outcome, 1_000)
    site.run(100)
    site.workers[first.worker].crash()
    site.store.unregister_worker(first.worker)
    site.run(15_000)
    assert site.history == [first]
    assert site.state(owner, JOB) == 'completed'


def test_runs_beyond_the_ends_that_a_worker_lists(site, daemons):
    # While the store is down no end is acknowledged, and a worker lists a
    # limited number of ends. A run that ended after these was listed nowhere
    # and counted as lost, and its task ran again.
    for worker in site.workers.values():
        worker.max_listed_ends = 1
    steps = (scheduling.StepSpec(count=6, cpu=1_000),)
    site.submit(daemons[0], JOB, steps, duration_ms=2_000)
    site.run_until(lambda: len(site.history) == 6, 2_000)
    for daemon in daemons:
        daemon.store.faults.is_down = True
    site.run(4_000)
    for daemon in daemons:
        daemon.store.faults.is_down = False
    site.run(4_000)
    assert len(site.history) == 6
    assert site.state(daemons[0], JOB) == 'completed'


def test_worker_that_is_back_under_its_id_lists_all_its_ends(site, daemons):
    # The cursor of a former incarnation acknowledged ends of the next one
    # that its owner had never received.
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=500)
    site.run_until(lambda: site.history and site.history[0].outcome, 3_000)
    name = site.history[0].worker
    site.run(1_500)
    acknowledged = []
    site.workers[name].crash()
    site.add_worker(name, process_start_ms=2)
    worker = site.workers[name]
    poll = worker.poll

    async def record_poll(msg):
        acknowledged.append(msg.acknowledged)
        return await poll(msg)

    worker.poll = record_poll
    site.run(3_000)
    assert acknowledged
    assert set(acknowledged) == {0}


def test_successor_waits_until_a_worker_has_listed_all_ends(site, daemons):
    # The successor took a run that was listed nowhere in the first report for
    # one that does not exist, and started its task.
    for worker in site.workers.values():
        worker.max_listed_ends = 1
    steps = (scheduling.StepSpec(count=6, cpu=1_000),)
    site.submit(daemons[0], JOB, steps, duration_ms=1_000)
    site.run_until(lambda: len(site.history) == 6, 2_000)
    former = owner_of(daemons)
    former.disconnect()
    rest = [daemon for daemon in daemons if daemon is not former]
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    site.run(15_000)
    assert len(site.history) == 6
    assert site.state(rest[0], JOB) == 'completed'
