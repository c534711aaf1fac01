"""Orders that are carried out by another incarnation than they were for.

A worker that starts again under its id cannot tell that an order was meant
for its former incarnation. Its clock and the numbers of its ends start anew.
"""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins import fleet

ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
FORMER_CLOCK_MS = 900_000
LATE_MS = 4_000
CUT_MS = 9_000
HEARTBEAT_MS = 1_500
LATEST_ORDER_MS = 12_000
LEASE_MS = 7_000
"""Longest lease on a slow clock, the time to end its runs, and a round."""


@pytest.fixture
def site():
    """Return a site with one worker, whose clock is ahead."""
    site = fleet.FleetSimulation()
    site.add_worker('w0', clock_ms=FORMER_CLOCK_MS)
    return site


@pytest.fixture
def daemon(site):
    """Return the only daemon, which owns the cell and has run a job."""
    daemon = site.add_daemon('front-0')
    site.run_until(lambda: daemon.is_owner, 5_000)
    site.submit(daemon, 'first', duration_ms=100)
    site.run(1_500)
    assert [run.is_acknowledged for run in site.history] == [True, True]
    return daemon


def hold_up(site, daemon, **orders):
    """Let the next orders to w0 be carried out late, without an answer."""
    daemon.orders.faults.effect_delay_ms = LATE_MS
    for name, value in orders.items():
        setattr(daemon.orders.faults, name, value)


def wait_for_poll(site, daemon):
    """Wait until a poll is held up."""
    polls = daemon.orders.faults.unanswered_polls
    site.run_until(lambda: polls['w0'] == 0, 3_000)


def restart(site):
    """Crash w0 and start it again under its id, with another clock."""
    site.workers['w0'].crash(is_refusing=True)
    site.add_worker('w0', process_start_ms=2, clock_ms=10_000)


def test_late_poll_does_not_acknowledge_ends_of_the_next_incarnation(
    site, daemon
):
    # Guards against a task that starts again after its acknowledged end: the
    # number in the poll is that of an end of the former incarnation.
    hold_up(site, daemon, unanswered_polls={'w0': 1})
    wait_for_poll(site, daemon)
    restart(site)
    site.run(1_500)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=300)
    site.run_until(lambda: len(site.history) == 3, 2_000)
    daemon.orders.faults.unreachable.add('w0')
    site.run(CUT_MS)
    daemon.orders.faults.unreachable.clear()
    site.run(3_000)
    assert site.history[2].outcome == 'done'
    assert site.repeated_runs() == []
    assert site.state(daemon, 'second') == 'completed'


def test_late_poll_does_not_extend_leases_of_the_next_incarnation(
    site, daemon
):
    # Guards against a task that runs twice at the same time: on the clock of
    # the next incarnation the lease that the poll asks for has no end, so it
    # lasts for the longest time from when the poll is carried out.
    hold_up(site, daemon, unanswered_polls={'w0': 1})
    wait_for_poll(site, daemon)
    restart(site)
    site.run(1_000)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: len(site.history) == 3, 2_000)
    daemon.orders.faults.unreachable.add('w0')
    site.add_worker('w1')
    site.run(CUT_MS)
    assert len(site.history) == 4
    assert site.overlapping_runs() == []


def run_elsewhere(site, daemon):
    """Run a task on w1 after its start on w0 was held up.

    Return when the start is carried out.
    """
    hold_up(site, daemon, unanswered_starts=1)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not daemon.orders.faults.unanswered_starts, 2_000)
    late_ms = site.clock.now() + LATE_MS
    site.add_worker('w1')
    # The task would start on w0 again, which refuses the older run then.
    info = dataclasses.replace(site.workers['w0'].info, cpu=100)
    site.store.register_worker(info)
    site.run_until(lambda: len(site.history) == 3, 3_500)
    assert site.history[2].worker == 'w1'
    return late_ms


def test_late_start_does_not_run_on_an_incarnation_that_was_polled(
    site, daemon
):
    # Guards against a task that runs twice: the former incarnation answered
    # the stop of the start in doubt, which does not bind the next one.
    late_ms = run_elsewhere(site, daemon)
    restart(site)
    site.run(late_ms - site.clock.now() + 500)
    assert len(site.history) == 3


def test_late_start_does_not_run_on_an_incarnation_before_it_is_polled(
    site, daemon
):
    # As above, but the next incarnation has received no other order yet.
    late_ms = run_elsewhere(site, daemon)
    site.run(late_ms - site.clock.now() - 10)
    restart(site)
    site.run(500)
    assert len(site.history) == 3


def test_refusal_for_a_former_incarnation_does_not_end_the_owner(site, daemon):
    # Guards against an owner that takes the refusal for a newer owner: a
    # start that was on its way when the worker was polled anew.
    owner_term = daemon.kernel.find('cell')._owner_term
    site.submit(daemon, 'second', ONE_TASK, duration_ms=500)
    daemon.orders.faults.transit_ms = 1_000
    site.run(200)
    daemon.orders.faults.transit_ms = 0
    restart(site)
    site.run(5_000)
    assert daemon.kernel.find('cell')._owner_term is owner_term
    assert site.state(daemon, 'second') == 'completed'


@pytest.mark.parametrize(
    ('every_ms', 'delay_ms'), [(10, 100), (100, 100), (200, 300)]
)
def test_stream_of_entries_of_others_costs_no_lease(every_ms, delay_ms):
    # Guards against a worker that loses its runs, as each later entry lets
    # the owner give up the poll that would show the entry to be wrong.
    site = fleet.FleetSimulation()
    site.add_worker('w0', clock_ms=FORMER_CLOCK_MS)
    daemon = site.add_daemon('front-0')
    site.run_until(lambda: daemon.is_owner, 5_000)
    site.submit(daemon, 'long', ONE_TASK, duration_ms=60_000)
    site.run(1_000)
    daemon.orders.faults.report_delays_ms['w0'] = delay_ms
    site.run(2_000)
    info = site.workers['w0'].info
    for number, at_ms in enumerate(range(0, 20_000, every_ms)):
        site.store.register_worker(
            dataclasses.replace(info, process_start_ms=10 + number)
        )
        if at_ms % 500 == 0:
            site.submit(daemon, f'{at_ms:016x}', ONE_TASK, duration_ms=200)
        site.run(every_ms)
    (long,) = [run for run in site.history if run.key.job == 'long']
    assert long.outcome == ''


@pytest.mark.parametrize('delay_ms', [100, 300, 600])
def test_end_in_the_answer_to_a_superseded_poll_counts(site, daemon, delay_ms):
    # Guards against a task that runs again although the answer that tells of
    # its end was on its way when the next incarnation was registered.
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: len(site.history) == 3, 4_000)
    site.run(2_000)
    worker = site.workers['w0']
    daemon.orders.faults.report_delays_ms['w0'] = delay_ms
    site.run_until(lambda: bool(worker._pending_polls), 4_000)
    site.run(30)
    worker._end_run(site.history[2], 'done')
    site.run(30)
    restart(site)
    site.run(6_000)
    assert len(site.history) == 3


@pytest.mark.parametrize('late_ms', [1_500, 3_000, 4_000, 5_000])
def test_late_start_on_an_incarnation_cut_off_before_its_first_poll(
    site, daemon, late_ms
):
    # Guards against a task that runs twice: the next incarnation begins the
    # longest lease with the late start, and no report ever bounds it.
    daemon.orders.faults.effect_delay_ms = late_ms
    daemon.orders.faults.unanswered_starts = 1
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not daemon.orders.faults.unanswered_starts, 2_000)
    site.workers['w0'].crash()
    daemon.orders.faults.unreachable.add('w0')
    site.run(600)
    site.add_worker('w0', process_start_ms=2, clock_ms=10_000)
    site.add_worker('w1')
    site.run(15_000)
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('up_ms', [100, 500, 1_000, 1_300])
@pytest.mark.parametrize('count', [1, 3])
def test_starts_answered_by_an_incarnation_that_is_cut_off_before_a_poll(
    site, daemon, up_ms, count
):
    # Guards against tasks that run twice: the next incarnation answers their
    # starts and holds the longest lease from then on, but the owner counts
    # that of the former one, as no poll has shown the restart.
    site.run(300)
    site.workers['w0'].crash()
    site.run(600)
    site.add_worker(
        'w0',
        process_start_ms=2,
        clock_ms=10_000,
        register_after_ms=HEARTBEAT_MS,
    )
    site.submit(
        daemon,
        'second',
        (scheduling.StepSpec(count=count, cpu=1_000),),
        duration_ms=60_000,
    )
    site.run(up_ms)
    assert len(site.history) == 2 + count
    daemon.orders.faults.unreachable.add('w0')
    site.add_worker('w1')
    site.run(LATEST_ORDER_MS + LEASE_MS)
    assert site.overlapping_runs() == []
    assert len(site.history) == 2 + 2 * count


def test_task_waits_for_a_restarted_worker_that_may_start_it_late(
    site, daemon
):
    # Guards against a second run beside a late start that the next
    # incarnation carries out before its first poll with a higher token.
    hold_up(site, daemon, unanswered_starts=1)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not daemon.orders.faults.unanswered_starts, 2_000)
    # The task fits nowhere once the former incarnation has refused it.
    info = dataclasses.replace(site.workers['w0'].info, cpu=100)
    site.store.register_worker(info)
    site.run(LATE_MS - 10)
    assert len(site.history) == 2
    daemon.orders.faults.report_delays_ms['w0'] = 500
    restart(site)
    site.add_worker('w1')
    site.run(5_000)
    assert len(site.history) == 3
    assert site.history[2].worker == 'w0'
    assert site.history[2].outcome == ''


@pytest.mark.parametrize('is_cut', [False, True])
def test_task_whose_start_may_be_late_starts_on_the_same_worker(
    site, daemon, is_cut
):
    # Guards against a second run beside a late start that the next
    # incarnation carries out before the owner hears of the restart.
    hold_up(site, daemon, unanswered_starts=1)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not daemon.orders.faults.unanswered_starts, 2_000)
    late_ms = site.clock.now() + LATE_MS
    site.add_worker('w1')
    # The smaller worker is the better fit.
    info = dataclasses.replace(site.workers['w1'].info, cpu=1_500)
    site.store.register_worker(info)
    site.run_until(lambda: len(site.history) == 3, 3_500)
    assert site.history[2].worker == 'w0'
    site.run(late_ms - site.clock.now() - 10)
    site.workers['w0'].crash(is_refusing=True)
    site.add_worker(
        'w0',
        process_start_ms=2,
        clock_ms=10_000,
        register_after_ms=60_000 if is_cut else 0,
    )
    if is_cut:
        daemon.orders.faults.unreachable.add('w0')
    site.run(LATEST_ORDER_MS + 2 * LEASE_MS)
    assert site.overlapping_runs() == []
    assert len(site.history) > 3
    assert site.history[-1].outcome == ''


def test_task_waits_for_a_late_start_on_a_worker_that_is_cut_off(site, daemon):
    # Guards against a second run beside a late start that the next
    # incarnation carries out while the owner cannot reach it.
    daemon.orders.faults.effect_delay_ms = 9_000
    daemon.orders.faults.unanswered_starts = 1
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not daemon.orders.faults.unanswered_starts, 2_000)
    site.run(4_000)
    assert len(site.history) == 3
    daemon.orders.faults.unreachable.add('w0')
    site.workers['w0'].crash()
    site.add_worker(
        'w0', process_start_ms=2, clock_ms=10_000, register_after_ms=60_000
    )
    site.add_worker('w1')
    site.run(LATEST_ORDER_MS + 2 * LEASE_MS)
    assert len(site.history) == 5
    assert site.overlapping_runs() == []


def test_task_that_may_start_late_on_a_worker_that_is_gone_does_not_wait(
    site, daemon
):
    # Guards against a task that waits for a worker which never comes back.
    hold_up(site, daemon, unanswered_starts=1)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not daemon.orders.faults.unanswered_starts, 2_000)
    info = dataclasses.replace(site.workers['w0'].info, cpu=100)
    site.store.register_worker(info)
    site.run(3_500)
    site.workers['w0'].crash()
    site.add_worker('w1')
    site.run(1_000)
    assert [run.worker for run in site.history[2:]] == ['w1']
