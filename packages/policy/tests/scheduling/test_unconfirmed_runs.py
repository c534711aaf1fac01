"""Runs that another incarnation of a silent worker may have."""

import pytest

from oriolestand_policy import scheduling

LEASE_OVER_MS = 6_700
"""A lease of 6 s on a slow clock, and the time to end its runs."""

MAX_ORDER_DELAY_MS = 12_000
TICK_MS = 100
STARTED = scheduling.StartOutcome.STARTED
IN_DOUBT = scheduling.StartOutcome.IN_DOUBT


@pytest.fixture
def cell(make):
    """Return a scheduler whose only worker has reported just now."""
    cell = make.Harness(workers=1)
    cell.add('j', scheduling.StepSpec(count=1, cpu=1_000))
    return cell


def reply(
    cell, start, outcome=STARTED, clock_ms=None, reason='', is_limited=False
):
    """Apply the reply to a start that was sent now."""
    cell.scheduler.on_start_reply(
        start.worker,
        start.key,
        start.run,
        outcome,
        reason,
        cell.now,
        scheduling.Answer(
            clock_ms=clock_ms,
            lease_end_ms=cell.scheduler.workers['w0'].requested_end_ms,
            sent_ms=cell.now,
            received_ms=cell.now,
            are_leases_limited=is_limited,
        ),
    )


def silent_until_release(cell, limit_ms=30_000):
    """Let the worker be silent; return after how long its runs are over."""
    begin_ms = cell.now
    while cell.scheduler.workers['w0'].runs:
        cell.now += TICK_MS
        assert cell.now - begin_ms < limit_ms
        starts, _ = cell.decide()
        for start in starts:
            cell.scheduler.withdraw_start(
                start.worker, start.key, start.run, cell.now
            )
    return cell.now - begin_ms


def test_run_answered_with_the_known_clock_ends_with_the_known_lease(cell):
    # Guards against a wait that is longer than the lease of a lost worker.
    cell.now += 1_000
    (start,), _ = cell.decide()
    cell.now += 900
    reply(cell, start, clock_ms=cell.now)
    assert silent_until_release(cell) <= LEASE_OVER_MS - 900 + TICK_MS


@pytest.mark.parametrize('clock_ms', [3, None])
@pytest.mark.parametrize(
    'outcome',
    [
        STARTED,
        scheduling.StartOutcome.NO_ROOM,
        scheduling.StartOutcome.REFUSED,
    ],
)
def test_runs_last_for_a_lease_from_an_answer_of_another_incarnation(
    cell, clock_ms, outcome
):
    # Guards against a second run beside one that the next incarnation holds
    # under a lease of its own. Refusals extend its lease, too, and so do polls
    # for the former incarnation, once another one is known to answer.
    cell.add('k', scheduling.StepSpec(count=1, cpu=1_000))
    cell.now += 1_000
    (first, second), _ = cell.decide()
    cell.now += 500
    reply(cell, first, clock_ms=clock_ms)
    cell.now += 400
    reply(cell, second, outcome, clock_ms=clock_ms)
    waited_ms = silent_until_release(cell)
    longest_ms = LEASE_OVER_MS
    if clock_ms is not None:
        longest_ms += MAX_ORDER_DELAY_MS
    assert LEASE_OVER_MS - 2 * TICK_MS <= waited_ms <= longest_ms + TICK_MS


def test_listed_runs_do_not_wait_for_the_lease_of_another_incarnation(cell):
    # Guards against a service task without a run for the sum of two leases.
    (start,), _ = cell.decide()
    reply(cell, start, clock_ms=cell.now)
    cell.now += 500
    listed = scheduling.RunReport(
        key=start.key, number=start.run, checkpoint='', percent=1
    )
    cell.poll('w0', running=[listed])
    cell.add('k', scheduling.StepSpec(count=1, cpu=1_000))
    cell.now += 500
    (second,), _ = cell.decide()
    cell.now += 500
    reply(cell, second, clock_ms=3)
    begin_ms = cell.now
    while (start.key, start.run) in cell.scheduler.workers['w0'].runs:
        cell.now += TICK_MS
        cell.decide()
    assert cell.now - begin_ms <= LEASE_OVER_MS - 500 + TICK_MS
    assert list(cell.scheduler.workers['w0'].runs) == [
        (second.key, second.run)
    ]


@pytest.mark.parametrize('clock_ms', [3, 900_000])
def test_worker_whose_clock_changed_is_polled_and_gets_nothing_before(
    cell, clock_ms
):
    # Guards against more starts on the clock of a former incarnation.
    (start,), _ = cell.decide()
    reply(cell, start, clock_ms=clock_ms)
    effects = cell.scheduler.take_effects()
    assert scheduling.PollWorkerAgain(worker='w0') in effects
    cell.add('k', scheduling.StepSpec(count=1, cpu=1_000))
    assert cell.decide() == ([], [])
    assert cell.scheduler.new_lease_end('w0', cell.now) is None
    assert cell.scheduler.lease_end_for_start('w0', cell.now) is None
    sent_ms = cell.now
    cell.now += 10
    cell.poll('w0', sent=sent_ms)
    assert cell.decide() == ([], [])
    cell.poll('w0', sent=cell.now)
    starts, _ = cell.decide()
    assert [x.key.job for x in starts] == ['k']


@pytest.mark.parametrize(
    ('clock_ms', 'is_limited', 'is_stopped'),
    [
        (3, True, True),
        (3, False, False),
        (None, True, False),
        (10_000, True, False),
    ],
)
def test_runs_of_another_incarnation_end_while_leases_are_limited(
    cell, clock_ms, is_limited, is_stopped
):
    # Guards against a second run under a successor: the next incarnation
    # holds the longest lease, but the successor of an owner that may request
    # shorter ones or none waits for those only.
    (start,), _ = cell.decide()
    reply(cell, start, clock_ms=cell.now)
    listed = scheduling.RunReport(
        key=start.key, number=start.run, checkpoint='', percent=1
    )
    cell.poll('w0', running=[listed])
    cell.add('k', scheduling.StepSpec(count=2, cpu=1_000))
    (first, second), _ = cell.decide()
    reply(cell, first, clock_ms=clock_ms, is_limited=is_limited)
    _, stops = cell.effects()
    stopped = {(x.key, x.run) for x in stops}
    expected = {(x.key, x.run) for x in (first, second)}
    assert stopped == (expected if is_stopped else set())
    # The answer to the next start shows the same clock.
    reply(cell, second, clock_ms=clock_ms, is_limited=is_limited)
    assert cell.effects() == ([], [])


def test_start_in_doubt_on_a_listed_worker_is_held_until_it_is_too_late(cell):
    # Guards against a second run beside one whose start was carried out late
    # by the next incarnation.
    (start,), _ = cell.decide()
    cell.now += 1_200
    reply(cell, start, IN_DOUBT)
    waited_ms = silent_until_release(cell)
    expected_ms = MAX_ORDER_DELAY_MS + LEASE_OVER_MS
    assert expected_ms - 2 * TICK_MS <= waited_ms <= expected_ms + TICK_MS


def test_start_in_doubt_on_a_worker_without_an_entry_is_not_held(cell):
    # Guards against tasks that wait for a worker which is gone for good.
    (start,), _ = cell.decide()
    cell.now += 1_200
    reply(cell, start, IN_DOUBT)
    cell.scheduler.set_workers({})
    cell.now += LEASE_OVER_MS
    cell.decide()
    assert cell.scheduler.workers == {}


def test_next_owner_waits_for_runs_of_another_incarnation(cell):
    # Guards against an end of the runs that is carried to the next owner
    # and counts the lease of the former incarnation only.
    (start,), _ = cell.decide()
    cell.now += 900
    reply(cell, start, clock_ms=3)
    over_ms = cell.scheduler.hold_leases_of_silent('w0')
    assert cell.now + LEASE_OVER_MS - 200 <= over_ms


def test_worker_without_an_entry_stays_for_the_lease_it_has_begun(cell):
    # Guards against a second run beside that of an incarnation that was cut
    # off before it wrote an entry.
    (start,), _ = cell.decide()
    cell.now += 900
    reply(cell, start, clock_ms=3)
    cell.scheduler.set_workers({})
    cell.now += LEASE_OVER_MS - 2 * TICK_MS
    cell.decide()
    assert list(cell.scheduler.workers) == ['w0']
    cell.now += 3 * TICK_MS
    cell.decide()
    assert cell.scheduler.workers == {}
