"""Tests of what an owner does less of while its processor is short."""

import collections
import dataclasses

import pytest

from oriolestand_fleet.services.cell import const
from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility

PASS_MS = 500
"""A delay from which on an owner saves work."""

COST_MS = 4
"""Time that a busy owner takes for a start."""

TASKS = 40


def add_owner(site, pass_ms):
    """Start a slow daemon that owns the cell; return it and its term."""
    owner = site.add_daemon('front-0', pass_ms=pass_ms)
    site.run_until(lambda: owner.is_owner, 20 * pass_ms + 5_000)
    site.run(10_000)
    return owner, owner.kernel.find('cell')._owner_term


def submit_tasks(site, owner):
    """Submit jobs of one task each."""
    step = scheduling.StepSpec(count=1, cpu=10)
    for number in range(TASKS):
        site.submit(owner, f'{number:016x}', (step,), duration_ms=60_000)


def silent_count(site, term):
    """Return how many workers count as silent."""
    states = term._scheduler.figures.workers_by_state(site.clock.now())
    return states.get(_eligibility.WorkerState.SILENT, 0)


def test_burst_of_starts_is_sent_in_parts_without_a_break(site):
    # All starts of a burst at once kept the owner from reading reports. The
    # rest must not wait for the next round.
    pass_ms = 20
    owner, _ = add_owner(site, pass_ms)
    starts = collections.Counter()
    clock = owner.kernel.clock
    now = clock.now
    clock.now = lambda: now() + COST_MS * starts.total()
    on_start = owner.orders._start

    async def start(msg):
        starts[site.clock.now() // pass_ms] += 1
        # The workers' clocks do not advance with that of the busy owner.
        return dataclasses.replace(await on_start(msg), clock_ms=None)

    owner.orders._start = start
    submit_tasks(site, owner)
    site.run(const.TICK_MS)
    assert starts.total() == TASKS
    assert max(starts.values()) <= const.SEND_BUDGET_MS // COST_MS + 1
    assert max(starts) - min(starts) < len(starts) + 2


def test_worker_that_is_polled_late_is_not_silent(site):
    # A busy owner counted workers as silent that it had not polled.
    _, term = add_owner(site, PASS_MS)
    for _ in range(200):
        site.run(100)
        assert not silent_count(site, term)


def test_worker_is_silent_soon_once_the_owner_is_not_busy(site):
    # A longer limit for the age of reports must not stay.
    owner, term = add_owner(site, PASS_MS)
    owner.kernel.clock.set_pass_ms(20)
    site.run(10_000)
    site.workers['w0'].crash()
    site.run(4_000)
    assert silent_count(site, term) == 1


def test_busy_owner_decides_few_starts_at_once(site):
    # Starts that are decided long before they are sent hold capacity.
    owner, term = add_owner(site, PASS_MS)
    decide = term._scheduler.decide
    counts = []

    def count_starts(*args):
        before = sum(len(w.runs) for w in term._scheduler.workers.values())
        decide(*args)
        after = sum(len(w.runs) for w in term._scheduler.workers.values())
        counts.append(after - before)

    term._scheduler.decide = count_starts
    submit_tasks(site, owner)
    site.run(10_000)
    assert sum(counts) == TASKS
    assert max(counts) <= 16


@pytest.mark.parametrize('round_ms', [50, 120])
def test_rounds_leave_time_for_other_work(site, round_ms):
    # Rounds that followed each other left no time to read reports.
    owner, term = add_owner(site, 10)
    clock = owner.kernel.clock
    now = clock.now
    times = []
    clock.now = lambda: now() + round_ms * len(times)
    decide = term._scheduler.decide

    def count_rounds(*args):
        times.append(now())
        decide(*args)

    term._scheduler.decide = count_rounds
    for _ in range(100):
        site.run(20)
        term.request_round()
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(gaps) > 5
    assert min(gaps) >= 2 * round_ms


@pytest.mark.parametrize(
    ('state', 'wait_ms'),
    [
        ('idle', 2_000),
        ('mixed', const.POLL_WAIT_MS),
        ('slow service', const.MIXED_POLL_WAIT_MS),
        ('probation', const.PROBATION_POLL_WAIT_MS),
        ('leaving', const.POLL_WAIT_MS),
    ],
)
def test_important_reports_of_a_busy_owner_are_not_delayed(
    site, state, wait_ms
):
    # Services slowed down, and ends on leaving workers came late, behind the
    # longer polls of a busy owner.
    _, term = add_owner(site, PASS_MS)
    poller = term._pollers['w0']
    worker = term._scheduler.workers['w0']
    if state in ('mixed', 'slow service'):
        worker.capacity.service_cpu = worker.capacity.filling_cpu = 1
    if state == 'slow service':
        run = scheduling.Run(
            key=scheduling.TaskKey('5c0e', 0, 0, 0),
            number=1,
            spec=scheduling.StepSpec(count=1, cpu=1, is_service=True),
            phase=scheduling.RunPhase.RUNNING,
            since_ms=0,
            progress_changed_ms=0,
            is_whole=True,
        )
        run.over_since_ms = 0
        worker.runs[(run.key, run.number)] = run
    worker.is_on_probation = state == 'probation'
    if state == 'leaving':
        worker.info = dataclasses.replace(worker.info, is_leaving=True)
    now = site.clock.now()
    assert poller._make_poll(worker, now).wait_ms == wait_ms
