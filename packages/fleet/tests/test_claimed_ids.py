"""Tests of start times that are wrong, and of ids that two workers claim."""

import dataclasses

import pytest
import structlog

from oriolestand_fleet.messages import orders
from oriolestand_policy import scheduling
from oriolestand_standins import fleet
from oriolestand_standins.fleet import _workers
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
LATER = 'b' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
START_MS = 50
OTHER_MS = 90
HEARTBEAT_MS = 1_500
FUTURE_MS = 2**53 - 1
"""Latest time that an entry can hold."""

RUN_MS = 12_000
MAX_POLLS = 10
"""Polls of a worker in a second: one each 250 ms while tasks wait for the
next report, or after a failure, and as many again for ends."""

MAX_LOG_LINES = 20
"""Lines of one event in a second."""


@pytest.fixture
def lines():
    """Return the log lines."""
    with structlog.testing.capture_logs() as found:
        yield found


@pytest.fixture
def cell(lines):
    """Return a site with a worker whose id is claimed, and its daemons."""
    site = fleet.FleetSimulation()
    site.add_worker('w0', process_start_ms=START_MS, clock_ms=900_000)
    daemons = [site.add_daemon(f'front-{number}') for number in range(3)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(500)
    return site, daemons


def write_entry(site, process_start_ms, **changes):
    """Write an entry under the id of the worker."""
    site.store.register_worker(
        dataclasses.replace(
            site.workers['w0'].info,
            process_start_ms=process_start_ms,
            **changes,
        )
    )


def change_owner(site, daemons):
    """Shut the owner down."""
    owner = owner_of(daemons)
    daemons.remove(owner)
    site.shut_down(owner)


def submit(site, daemon, job, duration_ms, accepted):
    """Submit a job, and add it to ``accepted`` once it is."""
    fut = site.submit(daemon, job, ONE_TASK, duration_ms=duration_ms)
    fut.addCallback(lambda _: accepted.append(job))
    fut.addErrback(lambda _: None)


def check_work(site, daemons, lines, jobs=(JOB, LATER)):
    """Check that all tasks have run once, and that nobody was kept busy."""
    check_done(site, daemons, jobs)
    assert site.overlapping_runs() == []
    done = [run.key for run in site.history if run.outcome == 'done']
    assert len(done) == len(set(done))
    check_load(site, daemons, lines)


def check_done(site, daemons, jobs):
    """Check that jobs are shown as completed."""
    assert [site.state(daemons[-1], job) for job in jobs] == [
        'completed' for _ in jobs
    ]


def check_load(site, daemons, lines):
    """Check that there is an owner that neither spins nor fills the log."""
    assert owner_of(daemons).is_owner
    assert [x for x in lines if x['log_level'] in ('error', 'critical')] == []
    seconds = site.clock.now() / 1_000
    polls = sum(daemon.orders.poll_count for daemon in daemons)
    assert polls <= MAX_POLLS * seconds * len(
        [x for x in site.workers if ':' not in x]
    )
    counts = {}
    for line in lines:
        counts[line['event']] = counts.get(line['event'], 0) + 1
    assert max(counts.values()) <= MAX_LOG_LINES * seconds, counts


def count_of(lines, event):
    """Return how many log lines have an event."""
    return sum(line['event'] == event for line in lines)


ENTRIES = {
    'future': [FUTURE_MS],
    'rising': [START_MS + 10**6 * number for number in range(1, 30)],
    'back': [START_MS - 1],
    'falling': [START_MS - number for number in range(1, 30)],
    'none': [0],
    'none and own': [0, START_MS],
    'none and future': [0, FUTURE_MS],
    'future and own': [FUTURE_MS, START_MS],
    'future, back and none': [FUTURE_MS, START_MS - 1, 0],
    'not a number': [None],
    'not a number and future': [None, FUTURE_MS],
}


ENTRY_EVENTS = ('Entry refuted', 'Entry ignored', 'Worker not described')


def write_next(site, entries, number):
    """Write the next entry; None is one that cannot be read."""
    start_ms = entries[number % len(entries)]
    if start_ms is None:
        site.store.unregister_worker('w0')
    else:
        write_entry(site, start_ms)


@pytest.mark.parametrize('has_new_owner', [False, True])
@pytest.mark.parametrize('tells_start', [True, False])
@pytest.mark.parametrize('name', ENTRIES)
def test_start_time_in_entries(cell, lines, name, tells_start, has_new_owner):
    # Guards against work that is lost or repeated, as an entry has a start
    # time that no process of the worker has had, or has none.
    site, daemons = cell
    if not tells_start:
        hide_start(site, lambda: True)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=RUN_MS)
    site.run(1_000)
    if has_new_owner:
        change_owner(site, daemons)
    for number in range(6):
        write_next(site, ENTRIES[name], number)
        site.run(HEARTBEAT_MS)
    site.submit(daemons[-1], LATER, ONE_TASK, duration_ms=500)
    for number in range(4):
        write_next(site, ENTRIES[name], number)
        site.run(HEARTBEAT_MS)
    if ENTRIES[name] == [None]:
        # Without an entry the worker gets no tasks.
        write_entry(site, START_MS)
        site.run(HEARTBEAT_MS)
    assert len([r for r in site.history if r.key.job == JOB]) == 1
    check_work(site, daemons, lines)
    if not tells_start:
        restarts = count_of(lines, 'Worker gone')
        assert 1 <= count_of(lines, 'Start time missing') <= 2 + restarts
    elif ENTRIES[name] != [None]:
        # The platform logs those that cannot be read.
        assert any(count_of(lines, event) for event in ENTRY_EVENTS)


def hide_start(site, is_hidden):
    """Let reports have no start time while ``is_hidden`` returns True."""
    worker = site.workers['w0']
    poll = worker.poll

    async def poll_without_start(msg):
        report = await poll(msg)
        if is_hidden():
            report = dataclasses.replace(report, process_start_ms=0)
        return report

    worker.poll = poll_without_start


@pytest.mark.parametrize('mode', ['never', 'in turn', 'by time'])
def test_reports_without_a_start_time(cell, lines, mode):
    # Guards against ends that are never acknowledged, and against runs that
    # count as those of a former process.
    site, daemons = cell
    count = [0]

    def is_hidden():
        count[0] += 1
        if mode == 'never':
            return True
        if mode == 'in turn':
            return count[0] % 2 == 0
        return site.clock.now() // 3_000 % 2 == 0

    hide_start(site, is_hidden)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=RUN_MS)
    names = [f'{number:016x}' for number in range(12)]
    for name in names:
        site.submit(daemons[0], name, ONE_TASK, duration_ms=300)
        site.run(1_000)
        write_entry(site, START_MS)
    site.run(3_000)
    check_work(site, daemons, lines, (JOB, *names))
    assert [run.is_acknowledged for run in site.history] == [True] * 13
    assert count_of(lines, 'Start time missing') == 1


@pytest.mark.parametrize('entry_ms', [0, START_MS])
def test_restart_without_a_start_time(cell, lines, entry_ms):
    # Guards against ends of the next process that are acknowledged unread, as
    # they are numbered anew and nothing else tells of the restart.
    site, daemons = cell
    write_entry(site, entry_ms)
    hide_start(site, lambda: True)
    names = [f'{number:016x}' for number in range(8)]
    for name in names[:4]:
        site.submit(daemons[0], name, ONE_TASK, duration_ms=300)
        site.run(500)
    site.run(1_000)
    site.workers['w0'].crash(is_refusing=True)
    site.add_worker('w0', process_start_ms=entry_ms, clock_ms=10_000)
    hide_start(site, lambda: True)
    for name in names[4:]:
        site.submit(daemons[0], name, ONE_TASK, duration_ms=300)
        site.run(500)
    site.run(3_000)
    check_work(site, daemons, lines, names)
    assert len(site.history) == 8


@pytest.mark.parametrize(
    ('former_clock_ms', 'clock_ms'), [(900_000, 10_000), (10_000, 900_000)]
)
@pytest.mark.parametrize('entry_ms', [0, START_MS])
def test_lease_after_a_restart_without_a_start_time(
    lines, entry_ms, former_clock_ms, clock_ms
):
    # Guards against a lease that is compared with the clock of the former
    # process: a task that waits for minutes, or runs twice.
    site = fleet.FleetSimulation()
    site.add_worker('w0', entry_ms, clock_ms=former_clock_ms)
    hide_start(site, lambda: True)
    daemons = [site.add_daemon('front-0')]
    site.run(3_000)
    site.submit(daemons[0], LATER, ONE_TASK, duration_ms=300)
    site.run(2_000)
    site.workers['w0'].crash(is_refusing=True)
    site.add_worker('w0', entry_ms, clock_ms=clock_ms)
    hide_start(site, lambda: True)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=RUN_MS)
    site.run(4_000)
    assert len(site.history) == 2
    daemons[0].orders.faults.unreachable.add('w0')
    site.add_worker('w1')
    site.run(10_000)
    assert len(site.history) == 3
    assert site.overlapping_runs() == []
    check_load(site, daemons, lines)


def break_reports(site, is_broken):
    """Let reports have no clock while ``is_broken`` returns True."""
    worker = site.workers['w0']
    poll = worker.poll

    async def poll_without_clock(msg):
        report = await poll(msg)
        if is_broken():
            raise orders.WorkerError(
                'the response of the worker is malformed', worker='w0'
            )
        return report

    worker.poll = poll_without_clock


@pytest.mark.parametrize('has_new_owner', [False, True])
@pytest.mark.parametrize('every', [2, 3, 5])
def test_some_reports_without_a_clock(cell, lines, every, has_new_owner):
    # Guards against work that is lost with reports that cannot be read.
    site, daemons = cell
    count = [0]

    def is_broken():
        count[0] += 1
        return count[0] % every != 0

    break_reports(site, is_broken)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=RUN_MS)
    site.run(3_000)
    if has_new_owner:
        change_owner(site, daemons)
    site.run(3_000)
    site.submit(daemons[-1], LATER, ONE_TASK, duration_ms=500)
    site.run(12_000)
    check_work(site, daemons, lines)
    assert len(site.history) == 2
    assert count_of(lines, 'Worker cannot be reached')


def test_reports_without_a_clock_for_good(cell, lines):
    # Guards against a task that waits for a worker whose reports can't be
    # read, or that runs elsewhere beside the run there.
    site, daemons = cell
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=RUN_MS)
    site.run(2_000)
    break_reports(site, lambda: True)
    site.add_worker('w1')
    site.submit(daemons[0], LATER, ONE_TASK, duration_ms=500)
    site.run(RUN_MS + 10_000)
    check_work(site, daemons, lines)


def claim_id(site, address, process_start_ms, clock_ms=10_000):
    """Start another worker under the id of w0; return it."""
    info = dataclasses.replace(
        site.workers['w0'].info,
        address=address,
        process_start_ms=process_start_ms,
    )
    other = _workers.FleetWorker(
        site.clock,
        info,
        site.history,
        lambda key: site.durations.get(key.job, 1_000),
        lambda key, number: 'done',
        clock_ms,
    )
    return other


@pytest.mark.parametrize('has_new_owner', [False, True])
@pytest.mark.parametrize('has_sound_worker', [True, False])
@pytest.mark.parametrize('other_ms', [START_MS, OTHER_MS, START_MS - 1, 0])
@pytest.mark.parametrize('every_ms', [100, 700, HEARTBEAT_MS])
def test_two_workers_that_write_entries_in_turn(
    cell, lines, every_ms, other_ms, has_sound_worker, has_new_owner
):
    # Guards against a task that runs on both, or on none.
    site, daemons = cell
    if has_sound_worker:
        site.add_worker('w1')
    other = claim_id(site, 'other:1', other_ms)
    site.workers['other:1'] = other
    own = site.workers['w0']
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=RUN_MS)
    site.run(1_000)
    accepted = [JOB]
    for number, at_ms in enumerate(range(0, 12_000, every_ms)):
        site.store.register_worker((other if number % 2 == 0 else own).info)
        if at_ms // 1_500 != (at_ms - every_ms) // 1_500:
            name = f'{at_ms:016x}'
            submit(site, daemons[-1], name, 2_000, accepted)
        if has_new_owner and at_ms // 4_000 != (at_ms - every_ms) // 4_000:
            if at_ms // 4_000 == 1:
                change_owner(site, daemons)
        site.run(every_ms)
    site.run(10_000)
    check_work(site, daemons, lines, accepted)
    assert len(accepted) >= 7


CHANGE_MS = 4_000
TWICE = 'Id claimed twice'


def answer_in_turn(
    site, daemons, lines, other_ms, every_ms, has_new_owner=False
):
    """Let another worker answer orders to w0 in turn with it, for 12 s.

    Return the jobs that were accepted, and the times of the first log line of
    each owner that the id is claimed twice.
    """
    own = site.workers['w0']
    other = claim_id(site, own.info.address, other_ms)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=RUN_MS)
    site.run(1_000)
    accepted = [JOB]
    known_ms = []
    counts = [0]
    for number, at_ms in enumerate(range(0, 12_000, every_ms)):
        site.workers['w0'] = other if number % 2 == 0 else own
        if at_ms // 1_500 != (at_ms - every_ms) // 1_500:
            site.store.register_worker(site.workers['w0'].info)
            submit(site, daemons[-1], f'{at_ms:016x}', 2_000, accepted)
        if has_new_owner and at_ms - every_ms < CHANGE_MS <= at_ms:
            counts.append(count_of(lines, TWICE))
            change_owner(site, daemons)
        for _ in range(0, every_ms, 50):
            site.run(50)
            if len(known_ms) < len(counts) and (
                count_of(lines, TWICE) > counts[-1]
            ):
                known_ms.append(site.clock.now())
    # One of them is left.
    site.workers['w0'] = own
    site.store.register_worker(own.info)
    site.run(20_000)
    return accepted, known_ms


@pytest.mark.parametrize('has_sound_worker', [True, False])
@pytest.mark.parametrize('other_ms', [START_MS, OTHER_MS, START_MS - 1, 0])
@pytest.mark.parametrize('every_ms', [150, 700, 2_000])
def test_two_workers_that_answer_in_turn(
    cell, lines, every_ms, other_ms, has_sound_worker
):
    # Guards against a task that runs on both, or on none, once an answer has
    # shown that there are two. The first one looks like a restart.
    site, daemons = cell
    if has_sound_worker:
        site.add_worker('w1')
    accepted, known_ms = answer_in_turn(
        site, daemons, lines, other_ms, every_ms
    )
    check_done(site, daemons, accepted)
    check_load(site, daemons, lines)
    assert len(accepted) >= 7
    assert len(known_ms) == 1
    assert [
        pair
        for pair in site.overlapping_runs()
        if pair[1].started_ms >= known_ms[0]
    ] == []


@pytest.mark.parametrize('has_sound_worker', [True, False])
@pytest.mark.parametrize('other_ms', [START_MS, OTHER_MS, START_MS - 1, 0])
@pytest.mark.parametrize('every_ms', [150, 700, 2_000])
def test_new_owner_while_two_workers_answer_in_turn(
    cell, lines, every_ms, other_ms, has_sound_worker
):
    # Guards against work that is lost with what the former owner has known.
    site, daemons = cell
    if has_sound_worker:
        site.add_worker('w1')
    accepted, known_ms = answer_in_turn(
        site, daemons, lines, other_ms, every_ms, has_new_owner=True
    )
    check_done(site, daemons, accepted)
    check_load(site, daemons, lines)
    assert len(accepted) >= 6
    assert len(known_ms) == 2
    assert [
        pair
        for pair in site.overlapping_runs()
        if pair[1].started_ms >= known_ms[1]
    ] == []


@pytest.mark.parametrize('has_new_owner', [False, True])
def test_first_answer_of_a_second_worker(cell, lines, has_new_owner):
    # Guards against a second run beside one that goes on: the first answer of
    # the other process cannot be told from a restart.
    site, daemons = cell
    site.add_worker('w1')
    answer_in_turn(site, daemons, lines, OTHER_MS, 700, has_new_owner)
    assert site.overlapping_runs() == []


def test_worker_that_restarts_again_and_again_claims_no_id(cell, lines):
    # Guards against a worker that gets no tasks as it has restarted twice.
    site, daemons = cell
    for number in range(3):
        site.workers['w0'].crash(is_refusing=True)
        site.add_worker('w0', 60 + number, clock_ms=10_000 * (number + 1))
        site.submit(daemons[0], f'{number:016x}', ONE_TASK, duration_ms=300)
        site.run(2_500)
        assert site.history[-1].outcome == 'done'
    assert count_of(lines, TWICE) == 0
