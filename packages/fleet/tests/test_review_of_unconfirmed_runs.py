"""Orders of events in which runs of another incarnation are misjudged."""

import dataclasses

import pytest

from oriolestand_fleet.messages import orders as contracts
from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _incarnations
from oriolestand_standins import fleet

ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
FORMER_CLOCK_MS = 900_000
HEARTBEAT_MS = 1_500
DOWN_MS = 600


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


def start_again(
    site, register_after_ms=HEARTBEAT_MS, start_ms=2, clock=10_000
):
    """Start w0 again under its id, with another clock."""
    site.add_worker(
        'w0',
        process_start_ms=start_ms,
        clock_ms=clock,
        register_after_ms=register_after_ms,
    )


def overlap_ms(site):
    """Return for how long two runs of a task overlap."""

    def end(run):
        return run.ended_ms if run.outcome else site.clock.now()

    return [
        min(end(first), end(second)) - max(first.started_ms, second.started_ms)
        for first, second in site.overlapping_runs()
    ]


def lose_polls(daemon, is_lost):
    """Lose the polls for which ``is_lost`` holds, without an effect."""
    on_poll = daemon.orders._poll

    async def poll(msg):
        if is_lost(msg):
            await daemon.kernel.sleep(1_200)
            raise contracts.WorkerError('no answer')
        return await on_poll(msg)

    daemon.orders._poll = poll


@pytest.mark.parametrize('late_ms', [3_000, 6_000, 60_000])
def test_late_poll_after_a_start_that_another_incarnation_answered(
    site, daemon, late_ms
):
    # Guards against a task that runs twice: a poll for the former incarnation
    # extends the lease that the next one has begun with the start.
    faults = daemon.orders.faults
    faults.effect_delay_ms = late_ms
    faults.unanswered_polls = {'w0': 1}
    site.run_until(lambda: not faults.unanswered_polls['w0'], 3_000)
    site.workers['w0'].crash()
    # The poll that follows the doubt is lost.
    lose_polls(daemon, lambda msg: True)
    site.run(DOWN_MS)
    start_again(site)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run(200)
    assert [run.worker for run in site.history[2:]] == ['w0']
    faults.unreachable.add('w0')
    site.add_worker('w1')
    daemon.orders._poll = type(daemon.orders)._poll.__get__(daemon.orders)
    site.run(20_000)
    assert overlap_ms(site) == []


@pytest.mark.parametrize('late_ms', [4_000, 6_000, 60_000])
def test_late_poll_after_the_first_report_of_an_incarnation(
    site, daemon, late_ms
):
    # Guards against a task that runs twice: the run is listed by the next
    # incarnation, whose lease an order with the former token extends, as the
    # poll with the higher one is lost.
    faults = daemon.orders.faults
    faults.effect_delay_ms = late_ms
    faults.unanswered_polls = {'w0': 1}
    site.run_until(lambda: not faults.unanswered_polls['w0'], 3_000)
    site.workers['w0'].crash()
    lose_polls(daemon, lambda msg: msg.target.generation > 0)
    site.run(DOWN_MS)
    start_again(site)
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run(200)
    assert [run.worker for run in site.history[2:]] == ['w0']
    faults.unreachable.add('w0')
    site.add_worker('w1')
    site.run(20_000)
    assert overlap_ms(site) == []


@pytest.mark.parametrize('late_ms', [5_000, 7_000, 10_000])
def test_start_in_doubt_that_was_stopped_on_an_incarnation_cut_off(
    site, daemon, late_ms
):
    # Guards against a task that runs twice for a lease: the former
    # incarnation answered the stop, the next one carries out the start and is
    # cut off before its first poll.
    faults = daemon.orders.faults
    faults.effect_delay_ms = late_ms
    faults.unanswered_starts = 1
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    due_ms = site.clock.now() + late_ms
    site.add_worker('w1')
    # The task would start on w0 again, which refuses the older run then.
    info = dataclasses.replace(site.workers['w0'].info, cpu=100)
    site.store.register_worker(info)
    site.run_until(lambda: len(site.history) == 3, 4_500)
    assert site.history[2].worker == 'w1'
    site.run(due_ms - site.clock.now() - 1_000)
    site.workers['w0'].crash()
    faults.unreachable.add('w0')
    site.run(DOWN_MS)
    start_again(site)
    site.run(15_000)
    assert overlap_ms(site) == []


@pytest.mark.parametrize('late_ms', [3_000, 11_000, 60_000])
@pytest.mark.parametrize('entry_ms', [4_000])
def test_start_in_doubt_on_a_worker_whose_entry_has_lapsed(
    site, daemon, late_ms, entry_ms
):
    # Guards against a task that runs twice: a worker that is cut off writes
    # no entry, so its start in doubt is not held.
    faults = daemon.orders.faults
    faults.effect_delay_ms = late_ms
    faults.unanswered_starts = 1
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.workers['w0'].crash()
    faults.unreachable.add('w0')
    site.run(DOWN_MS)
    start_again(site, register_after_ms=60_000)
    site.add_worker('w1')
    site.run(entry_ms - DOWN_MS)
    site.store.unregister_worker('w0')
    site.run(25_000)
    assert overlap_ms(site) == []


@pytest.mark.parametrize('late_ms', [6_000, 11_500, 60_000])
@pytest.mark.parametrize('how', ['killed', 'released'])
def test_start_in_doubt_whose_owner_is_lost(site, daemon, late_ms, how):
    # Guards against a successor that starts a task while the start of the
    # former owner may still be carried out by the next incarnation.
    successor = site.add_daemon('front-1')
    for number in range(1, 5):
        site.add_worker(f'w{number}')
        info = dataclasses.replace(site.workers[f'w{number}'].info, cpu=100)
        site.store.register_worker(info)
    site.run(3_000)
    faults = daemon.orders.faults
    faults.effect_delay_ms = late_ms
    faults.unanswered_starts = 1
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.workers['w0'].crash()
    faults.unreachable.add('w0')
    successor.orders.faults.unreachable.add('w0')
    site.run(1_500)
    if how == 'released':
        site.shut_down(daemon)
    else:
        daemon.disconnect()
    site.run(DOWN_MS)
    start_again(site)
    site.add_worker('w9')
    site.run(30_000)
    assert overlap_ms(site) == []


@pytest.mark.parametrize('up_ms', [300, 1_000])
@pytest.mark.parametrize('down_ms', [600, 1_200])
@pytest.mark.parametrize('clock', [0, 100_000])
def test_start_answered_by_the_next_of_two_young_incarnations(
    site, daemon, up_ms, down_ms, clock
):
    # Guards against a task that runs twice: the clocks of two incarnations of
    # a worker that crashes often differ by less than the time that a start
    # waits for a connection and an answer.
    faults = daemon.orders.faults
    site.workers['w0'].crash(is_refusing=True)
    start_again(site, register_after_ms=0, clock=clock)
    site.run(100)
    faults.send_delay_ms = 2_000
    faults.transit_ms = 900
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    site.run(up_ms - 100)
    site.workers['w0'].crash()
    site.run(down_ms)
    start_again(site, start_ms=3, clock=0)
    lose_polls(daemon, lambda msg: True)
    site.run_until(lambda: len(site.history) == 3, 4_000)
    site.run(50)
    faults.send_delay_ms = faults.transit_ms = 0
    faults.unreachable.add('w0')
    daemon.orders._poll = type(daemon.orders)._poll.__get__(daemon.orders)
    site.add_worker('w1')
    site.run(20_000)
    assert overlap_ms(site) == []


@pytest.mark.parametrize('is_dead', [True, False, 'expires'])
def test_start_in_doubt_on_a_listed_worker_that_is_cut_off(
    site, daemon, is_dead
):
    # Guards against a service task that has no run for longer than about 9 s.
    faults = daemon.orders.faults
    faults.unanswered_starts = 1
    faults.effect_delay_ms = 60_000
    site.submit(
        daemon,
        'second',
        (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),),
        duration_ms=60_000,
    )
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    cut_ms = site.clock.now()
    if is_dead:
        site.workers['w0'].crash()
    faults.unreachable.add('w0')
    site.add_worker('w1')
    if is_dead == 'expires':
        site.clock.call_later(
            4_500, lambda: site.store.unregister_worker('w0')
        )
    site.run_until(lambda: len(site.history) == 3, 30_000)
    waited_ms = site.history[2].started_ms - cut_ms
    assert waited_ms <= 9_000


def count_doubts(monkeypatch):
    """Return a list that grows with each doubt."""
    doubts = []
    on_other = getattr(_incarnations.Incarnations, 'on_other_clock', None)

    def note(self, worker, answer):
        doubts.append(worker.info.id)
        on_other(self, worker, answer)

    monkeypatch.setattr(
        _incarnations.Incarnations, 'on_other_clock', note, raising=False
    )
    return doubts


@pytest.mark.parametrize(
    ('delay_ms', 'transit_ms'),
    [(0, 0), (300, 0), (900, 0), (1_500, 0), (0, 1_000), (900, 1_000)],
)
@pytest.mark.parametrize('every_ms', [100])
def test_stream_of_doubts_costs_no_lease(
    site, daemon, monkeypatch, delay_ms, transit_ms, every_ms
):
    # Guards against a worker that loses its runs as each answer to a start
    # shows another clock than its reports.
    doubts = count_doubts(monkeypatch)
    site.submit(daemon, 'long', ONE_TASK, duration_ms=60_000)
    site.run(2_000)
    worker = site.workers['w0']
    on_start = worker.answer_start
    worker.answer_start = lambda msg: dataclasses.replace(
        on_start(msg), clock_ms=5
    )
    faults = daemon.orders.faults
    faults.transit_ms = transit_ms
    if delay_ms:
        faults.report_delays_ms['w0'] = delay_ms
    for at_ms in range(0, 20_000, every_ms):
        site.submit(daemon, f'{at_ms:016x}', ONE_TASK, duration_ms=200)
        site.run(every_ms)
    (long,) = [run for run in site.history if run.key.job == 'long']
    assert long.outcome == ''
    assert len(doubts) > 0


@pytest.mark.parametrize('pass_ms', [20, 200, 500])
@pytest.mark.parametrize('delay_ms', [0, 400])
def test_slow_owner_does_not_doubt_a_worker(monkeypatch, pass_ms, delay_ms):
    # Guards against false alarms of an owner that reads answers late.
    doubts = count_doubts(monkeypatch)
    site = fleet.FleetSimulation()
    site.add_worker('w0', clock_ms=FORMER_CLOCK_MS)
    daemon = site.add_daemon('front-0', pass_ms=pass_ms)
    site.run_until(lambda: daemon.is_owner, 9_000)
    if delay_ms:
        daemon.orders.faults.report_delays_ms['w0'] = delay_ms
    daemon.orders.faults.send_delay_ms = delay_ms
    for at_ms in range(0, 10_000, 300):
        site.submit(daemon, f'{at_ms:016x}', ONE_TASK, duration_ms=200)
        site.run(300)
    site.run(4_000)
    assert len(site.history) > 5
    assert doubts == []


def test_restarts_in_quick_succession_with_one_open_poll(site, daemon):
    # Guards against tasks that wait as a second doubt sends no poll: only one
    # superseded poll is open.
    site.submit(daemon, 'second', ONE_TASK, duration_ms=400)
    site.run(300)
    for start_ms in (2, 3):
        site.workers['w0'].crash()
        site.run(DOWN_MS)
        start_again(site, start_ms=start_ms, clock=10_000 * start_ms + 1)
        site.submit(daemon, f'next{start_ms}', ONE_TASK, duration_ms=60_000)
        site.run(250)
    site.run(1_000)
    begin_ms = site.clock.now()
    site.submit(daemon, 'last', ONE_TASK, duration_ms=100)
    site.run_until(lambda: site.history[-1].key.job == 'last', 15_000)
    assert site.clock.now() - begin_ms <= 1_500
    assert overlap_ms(site) == []


@pytest.mark.parametrize('kill_ms', [3_900, 4_400])
def test_carried_end_and_a_start_that_waits_for_a_connection(
    site, daemon, kill_ms
):
    # Guards against a successor that starts a task too early: the end of the
    # runs was carried to it while a start waited for a connection, and the
    # next incarnation has answered that start since.
    successor = site.add_daemon('front-1')
    for number in range(1, 5):
        site.add_worker(f'w{number}')
        info = dataclasses.replace(site.workers[f'w{number}'].info, cpu=100)
        site.store.register_worker(info)
    site.run(3_000)
    worker = site.workers['w0']
    count = len(worker._pending_polls)
    site.run_until(lambda: len(worker._pending_polls) > count, 3_000)
    begin_ms = site.clock.now()

    def run_until(at_ms):
        site.run(begin_ms + at_ms - site.clock.now())

    faults = daemon.orders.faults
    run_until(100)
    worker.crash()
    successor.orders.faults.unreachable.add('w0')
    lose_polls(daemon, lambda msg: msg.target.worker == 'w0')
    run_until(1_400)
    faults.send_delay_ms = 2_200
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    run_until(3_000)
    start_again(site, register_after_ms=60_000)
    run_until(kill_ms)
    daemon.disconnect()
    site.add_worker('w9')
    site.run(30_000)
    assert len(site.history) == 4
    assert overlap_ms(site) == []


@pytest.mark.parametrize('transit_ms', [0, 1_100])
def test_start_of_an_owner_that_is_cut_off_with_a_restarted_worker(
    site, daemon, transit_ms
):
    # Guards against a successor that counts the lease which a former owner
    # may request, but not the one that the next incarnation begins.
    successor = site.add_daemon('front-1')
    others = [f'w{number}' for number in range(1, 5)]
    for name in others:
        site.add_worker(name)
        info = dataclasses.replace(site.workers[name].info, cpu=100)
        site.store.register_worker(info)
    site.run(3_000)
    term = daemon.kernel.find('cell')._owner_term.term
    renewed_ms = term.renewed_ms
    site.run_until(lambda: term.renewed_ms > renewed_ms, 3_000)
    begin_ms = term.renewed_ms

    def run_until(at_ms):
        site.run(begin_ms + at_ms - site.clock.now())

    faults = daemon.orders.faults
    faults.send_delay_ms = 2_200
    faults.transit_ms = transit_ms
    run_until(800)
    site.workers['w0'].crash()
    site.submit(daemon, 'second', ONE_TASK, duration_ms=60_000)
    run_until(950)
    daemon.store.faults.is_unresponsive = True
    faults.unreachable.update(others)
    successor.orders.faults.unreachable.add('w0')
    lose_polls(daemon, lambda msg: True)
    run_until(1_500)
    start_again(site, register_after_ms=60_000)
    site.add_worker('w9')
    faults.unreachable.add('w9')
    site.run(20_000)
    assert [run.worker for run in site.history[2:]] == ['w0', 'w9']
    assert overlap_ms(site) == []
