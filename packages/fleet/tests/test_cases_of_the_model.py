"""Orders of events that the model of incarnations has shown (0035)."""

import pytest

from oriolestand_fleet.messages import orders as contracts
from oriolestand_policy import scheduling
from oriolestand_standins import fleet

FORMER_CLOCK_MS = 900_000
ORDER_TIMEOUT_MS = 1_200


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
    return daemon


def start_again(site, register_after_ms=1_500):
    """Start w0 again under its id, with another clock."""
    site.add_worker(
        'w0',
        process_start_ms=2,
        clock_ms=10_000,
        register_after_ms=register_after_ms,
    )


def steps(count):
    """Return a step of some tasks."""
    return (scheduling.StepSpec(count=count, cpu=1_000),)


@pytest.mark.parametrize('polled_ms', [1_000, 3_000])
def test_late_poll_that_was_sent_after_a_start_in_doubt(
    site, daemon, polled_ms
):
    # Guards against a task that runs twice: a poll that was sent after the
    # start was given up extends the lease that the late start has begun, and
    # the hold counts from when the start was given up.
    faults = daemon.orders.faults
    faults.effect_delay_ms = 11_500
    faults.unanswered_starts = 1

    async def lose_stop(msg):
        await daemon.kernel.sleep(ORDER_TIMEOUT_MS)
        raise contracts.WorkerError('no answer')

    daemon.orders._stop = lose_stop
    site.submit(daemon, 'second', steps(1), duration_ms=60_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.run(ORDER_TIMEOUT_MS + polled_ms)
    faults.unanswered_polls = {'w0': 1}
    site.run_until(lambda: not faults.unanswered_polls['w0'], 3_000)
    site.workers['w0'].crash()
    site.run(600)
    start_again(site)
    faults.unreachable.add('w0')
    site.add_worker('w1')
    site.run(30_000)
    assert [run.worker for run in site.history[2:]] == ['w0', 'w1']
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('late_ms', [3_000, 5_000])
def test_late_poll_on_a_worker_with_a_run_that_was_carried_over(
    site, daemon, late_ms
):
    # Guards against a task that runs twice: the next incarnation answers a
    # start after it has sent the report that shows the restart, and a poll for
    # the former one extends its lease before it is fenced.
    faults = daemon.orders.faults
    faults.effect_delay_ms = late_ms
    faults.unanswered_polls = {'w0': 1}
    site.run_until(lambda: not faults.unanswered_polls['w0'], 3_000)
    site.workers['w0'].crash()
    on_poll = daemon.orders._poll
    on_start = daemon.orders._start
    begun = []

    async def lose_fencing_poll(msg):
        if msg.target.generation == 0:
            return await on_poll(msg)
        await daemon.kernel.sleep(ORDER_TIMEOUT_MS)
        raise contracts.WorkerError('no answer')

    async def delay_second_start(msg):
        begun.append(msg)
        if len(begun) == 2:
            await daemon.kernel.sleep(200)
        return await on_start(msg)

    daemon.orders._poll = lose_fencing_poll
    daemon.orders._start = delay_second_start
    site.run(50)
    start_again(site, register_after_ms=60_000)
    faults.report_delays_ms = {'w0': 500}
    site.submit(daemon, 'second', steps(2), duration_ms=60_000)
    site.run(1_000)
    faults.unreachable.add('w0')
    faults.report_delays_ms = {}
    site.add_worker('w1')
    site.run(20_000)
    assert [run.worker for run in site.history[2:4]] == ['w0', 'w0']
    assert site.overlapping_runs() == []


def test_late_start_after_the_end_of_its_task(site, daemon):
    # Guards against a task that runs once more after its end as done was
    # acknowledged: it was started again on the same worker, and the first
    # start is carried out by the next incarnation.
    faults = daemon.orders.faults
    faults.effect_delay_ms = 8_000
    faults.unanswered_starts = 1
    site.submit(daemon, 'second', steps(1), duration_ms=1_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.run(6_000)
    assert site.history[2].is_acknowledged
    site.workers['w0'].crash()
    site.run(600)
    faults.unreachable.add('w0')
    start_again(site)
    site.run(10_000)
    assert len(site.history) == 3


@pytest.mark.parametrize('late_ms', [400, 1_000])
def test_poll_acknowledges_an_end_of_an_unknown_incarnation(
    site, daemon, late_ms
):
    # Guards against a task that runs again after its end: the next poll of a
    # worker that did not answer has the number of an end of the former
    # incarnation, and the entry of the next one has not been read.
    faults = daemon.orders.faults
    faults.effect_delay_ms = late_ms
    faults.unanswered_starts = 1
    site.submit(daemon, 'second', steps(1), duration_ms=100)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.workers['w0'].crash()
    site.run(300)
    start_again(site, register_after_ms=60_000)
    site.run(15_000)
    assert [run.outcome for run in site.history[2:]] == ['done']
